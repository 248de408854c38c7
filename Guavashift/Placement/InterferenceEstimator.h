#pragma once

#include <Guavashift/Placement/InterferenceModel.h>
#include <Guavashift/Placement/ResidentHistory.h>
#include <Guavashift/Placement/UsageReport.h>

#include <unordered_map>

namespace guavashift {

/// Keeps what is known of the slowdown of tasks and predicts what a further neighbour would do.
class InterferenceEstimator final
{
public:
    InterferenceEstimator(const InterferenceSettings &settings, bool attributesToPast);

    /// Notes what runs where. Call once a round.
    void track(const StateMachine &state, WallMs now);

    /// Takes in a late measurement.
    void observe(const UsageReport &report, const StateMachine &state);

    /// What starting a task of `family` would do to the latency-critical tasks of a worker.
    struct Forecast
    {
        /// Largest slowdown of one of them, as a factor, at the bound of what is known.
        double worstSlowdown = 1;
        /// Sum over them of the expected further slowdown.
        double addedInterference = 0;
        /// Growth of the sum of the squared slowdowns beyond 1: interference counts more where
        /// there is interference already, because the tail of the latencies is made there.
        double addedSquares = 0;
    };
    [[nodiscard]] Forecast forecast(const WorkerId &worker, FamilyId family, bool useBound) const;

    /// Slowdown of a latency-critical task that its present neighbours are expected to cause.
    [[nodiscard]] double expectedInterference(const WorkerId &worker, FamilyId aggressor,
                                              std::uint32_t speedPercent) const;

    /// The measurement of a worker's slowest latency-critical task.
    struct MeasuredSlowdown
    {
        double slowdown = 0; ///< 0 if nothing was measured.
        WallMs measuredAt = 0;
    };
    [[nodiscard]] MeasuredSlowdown measuredSlowdownOf(const WorkerId &worker) const;

    [[nodiscard]] FamilyTable &families() { return m_families; }

private:
    struct Measured
    {
        double load = 0; ///< Highest of late, slowly forgotten.
        double slowdown = 1;
        WallMs at = 0;
    };

    [[nodiscard]] double loadOf(const TaskId &task) const;

    InterferenceModel m_model;
    bool m_attributesToPast;
    FamilyTable m_families;
    ResidentHistory m_history;
    std::unordered_map<TaskId, Measured> m_measured;
    std::unordered_map<WorkerId, std::vector<TaskId>> m_latencyCritical;
    std::unordered_map<TaskId, FamilyId> m_familyOf;
};

} // namespace guavashift
