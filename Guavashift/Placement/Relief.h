#pragma once

#include <Guavashift/Placement/ClusterView.h>
#include <Guavashift/Placement/HarmEstimator.h>
#include <Guavashift/Placement/Policies.h>

namespace guavashift {

/// Helps counter services that are slowed down: by slower or fewer batch tasks beside them.
class Relief final
{
public:
    Relief(const ReliefPolicy &policy, HarmEstimator &harm);

    /// Adds commands for the workers where something must be done.
    void decide(const ClusterView &view, std::vector<CommandBody> &commands);

private:
    /// What was done on a worker and how it stands.
    struct WorkerState
    {
        WallMs actedAt = 0;
        WallMs seenAt = 0; ///< Newest measurement looked at.
        WallMs calmSince = 0;
        unsigned strikes = 0;
    };

    /// A batch task beside a counter service.
    struct Aggressor
    {
        double harm = 0; ///< Expected slowdown that it causes, summed over the services there.
        FamilyId family = 0;
        const Task *task = nullptr;
    };

    void decideBy(const NoRelief &policy, const ClusterView &view,
                  std::vector<CommandBody> &commands);
    void decideBy(const ThresholdEviction &policy, const ClusterView &view,
                  std::vector<CommandBody> &commands);
    void decideBy(const ThrottleThenEvict &policy, const ClusterView &view,
                  std::vector<CommandBody> &commands);

    void relieve(const ThrottleThenEvict &policy, const ClusterView &view, const Worker &worker,
                 double excess, WorkerState &state, std::vector<CommandBody> &commands);
    void loosen(const ClusterView &view, const Worker &worker, double room, WorkerState &state,
                std::vector<CommandBody> &commands);

    /// Batch tasks that run on the worker, the most harmful first.
    [[nodiscard]] std::vector<Aggressor> batchByHarm(const ClusterView &view, const Worker &worker);
    /// Whether another worker has room where the task would do much less harm.
    [[nodiscard]] bool hasBetterPlace(const ThrottleThenEvict &policy, const ClusterView &view,
                                      const Aggressor &aggressor) const;

    ReliefPolicy m_policy;
    HarmEstimator &m_harm;
    std::unordered_map<WorkerId, WorkerState> m_workers;
};

} // namespace guavashift
