#pragma once

#include <Guavashift/Placement/ClusterView.h>
#include <Guavashift/Placement/InterferenceEstimator.h>
#include <Guavashift/Placement/Policies.h>

namespace guavashift {

/// Helps counter services that are slowed down: by slower or fewer batch tasks beside them.
class Mitigator final
{
public:
    Mitigator(const MitigationPolicy &policy, InterferenceEstimator &interference);

    /// Adds commands for the workers where something must be done.
    void decide(const ClusterView &view, std::vector<CommandBody> &commands);

private:
    /// What was done on a worker and how it stands.
    struct WorkerState
    {
        WallMs actedAt = 0;
        WallMs seenAt = 0; ///< Newest measurement looked at.
        WallMs recoveredSince = 0;
        unsigned violations = 0;
    };

    /// A batch task beside a counter service.
    struct Aggressor
    {
        double interference =
            0; ///< Expected slowdown that it causes, summed over the services there.
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
    void unthrottle(const ClusterView &view, const Worker &worker, double room, WorkerState &state,
                    std::vector<CommandBody> &commands);

    /// Batch tasks that run on the worker, the most harmful first.
    [[nodiscard]] std::vector<Aggressor> batchByInterference(const ClusterView &view,
                                                             const Worker &worker);
    /// Whether another worker has room where the task would do much less interference.
    [[nodiscard]] bool hasBetterWorker(const ThrottleThenEvict &policy, const ClusterView &view,
                                       const Aggressor &aggressor) const;

    MitigationPolicy m_policy;
    InterferenceEstimator &m_interference;
    std::unordered_map<WorkerId, WorkerState> m_workers;
};

} // namespace guavashift
