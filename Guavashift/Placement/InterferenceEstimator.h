#pragma once

#include <Guavashift/Placement/InterferenceModel.h>
#include <Guavashift/Placement/ResidentHistory.h>
#include <Guavashift/Placement/UsageReport.h>

#include <unordered_map>

namespace guavashift {

/// Tracks the measured slowdown of tasks and predicts the effect of an additional neighbour.
class InterferenceEstimator final
{
public:
    InterferenceEstimator(const InterferenceSettings &settings, bool attributesToPast);

    /// Records which tasks run on which worker. To be called once a round.
    void track(const StateMachine &state, WallMs now);

    /// Processes a measurement, which may arrive late.
    void observe(const UsageReport &report, const StateMachine &state);

    /// Predicted effect of starting a task of a family on the latency-critical tasks of a worker.
    struct Forecast
    {
        /// Largest slowdown of one of them, as a factor; from the upper bound of the estimate if
        /// that is asked for.
        double worstSlowdown = 1;
        /// Sum over them of the predicted additional slowdown.
        double addedInterference = 0;
        /// Growth of the sum of the squared slowdowns beyond 1. Weights interference more where
        /// there is some already, because that is where the latency tail arises.
        double addedSquares = 0;
    };
    [[nodiscard]] Forecast forecast(const WorkerId &worker, FamilyId family, bool useBound) const;

    /// Slowdown that a task of family `aggressor` at that speed is expected to cause, summed over
    /// the worker's latency-critical tasks.
    [[nodiscard]] double expectedInterference(const WorkerId &worker, FamilyId aggressor,
                                              std::uint32_t speedPercent) const;

    /// Latest measurement of the most slowed-down latency-critical task of a worker.
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
        double load = 0; ///< Recent maximum, which decays slowly.
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
