#pragma once

#include <Guavashift/Placement/ClusterView.h>
#include <Guavashift/Placement/InterferenceEstimator.h>
#include <Guavashift/Placement/Policies.h>

namespace guavashift {

/// Reduces the slowdown of latency-critical tasks by throttling or evicting co-located batch tasks.
class Mitigator final
{
public:
    Mitigator(const MitigationPolicy &policy, InterferenceEstimator &interference);

    /// Appends commands for the workers on which action is needed.
    void decide(const ClusterView &view, std::vector<CommandBody> &commands);

private:
    /// State of the mitigation on one worker.
    struct WorkerState
    {
        WallMs actedAt = 0;
        WallMs seenAt = 0; ///< Time of the newest measurement that was processed.
        WallMs recoveredSince = 0;
        unsigned violations = 0;
    };

    /// A batch task on a worker with latency-critical tasks.
    struct Aggressor
    {
        /// Expected slowdown that it causes, summed over the latency-critical tasks there.
        double interference = 0;
        FamilyId family = 0;
        const Task *task = nullptr;
    };

    void decideBy(const NoMitigation &policy, const ClusterView &view,
                  std::vector<CommandBody> &commands);
    void decideBy(const ThresholdEviction &policy, const ClusterView &view,
                  std::vector<CommandBody> &commands);
    void decideBy(const ThrottleThenEvict &policy, const ClusterView &view,
                  std::vector<CommandBody> &commands);

    void mitigate(const ThrottleThenEvict &policy, const ClusterView &view, const Worker &worker,
                  double excess, WorkerState &state, std::vector<CommandBody> &commands);
    void unthrottle(const ClusterView &view, const Worker &worker, double headroom,
                    WorkerState &state, std::vector<CommandBody> &commands);

    /// Batch tasks that run on the worker, in descending order of interference.
    [[nodiscard]] std::vector<Aggressor> batchByInterference(const ClusterView &view,
                                                             const Worker &worker);
    /// Whether the task fits on another worker where it would cause much less interference.
    [[nodiscard]] bool hasBetterWorker(const ThrottleThenEvict &policy, const ClusterView &view,
                                       const Aggressor &aggressor) const;

    MitigationPolicy m_policy;
    InterferenceEstimator &m_interference;
    std::unordered_map<WorkerId, WorkerState> m_workers;
};

} // namespace guavashift
