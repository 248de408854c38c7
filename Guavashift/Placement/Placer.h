#pragma once

#include <Guavashift/Placement/ClusterView.h>
#include <Guavashift/Placement/InterferenceEstimator.h>
#include <Guavashift/Placement/Policies.h>

namespace guavashift {

/// Chooses the worker for one task.
class Placer final
{
public:
    Placer(const PlacementPolicy &policy, bool spreadsServices, InterferenceEstimator &interference,
           std::mt19937_64 &random);

    /// The worker to start on, or null if none has room or waiting is better. `mayWait` tells
    /// whether the task has the time to wait for a worker where it does less interference.
    WorkerView *choose(ClusterView &view, const Task &task, const Resources &size, bool mayWait);

private:
    WorkerView *chooseBy(const FirstFit &policy, ClusterView &view, const Task &task,
                         const Resources &size, bool mayWait);
    WorkerView *chooseBy(const LeastLoaded &policy, ClusterView &view, const Task &task,
                         const Resources &size, bool mayWait);
    WorkerView *chooseBy(const RandomFeasible &policy, ClusterView &view, const Task &task,
                         const Resources &size, bool mayWait);
    WorkerView *chooseBy(const InterferenceAware &policy, ClusterView &view, const Task &task,
                         const Resources &size, bool mayWait);

    /// Some workers with room, at random; all of them if the sample finds none.
    std::vector<WorkerView *> sample(ClusterView &view, const Task &task, const Resources &size,
                                     std::size_t count);
    WorkerView *spread(ClusterView &view, const Task &task, const Resources &size);

    /// Replicas of one service in each failure domain and rack, and on each worker.
    struct SpreadCounts
    {
        std::map<FailureDomain, int> inDomain;
        std::map<RackId, int> inRack;
        std::map<WorkerId, int> onWorker;

        void add(const Worker &worker)
        {
            ++inDomain[worker.facts.failureDomain];
            ++inRack[worker.facts.rack];
            ++onWorker[worker.id];
        }
    };

    /// Counted once in each round, then kept up with what the round places.
    SpreadCounts &spreadCountsOf(ClusterView &view, const ServiceId &service);

    PlacementPolicy m_policy;
    bool m_spreadsServices;
    InterferenceEstimator &m_interference;
    std::mt19937_64 &m_random;
    WallMs m_spreadRound = -1;
    std::map<ServiceId, SpreadCounts> m_spreadCounts;
};

} // namespace guavashift
