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

    /// Returns the worker to start the task on, or null if it fits on none or should wait.
    /// `mayWait`: the task has time to wait for a worker where it causes less interference.
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

    /// Up to `count` random workers that the task fits on; all such workers if the sampling finds
    /// none or the cluster is small.
    std::vector<WorkerView *> sample(ClusterView &view, const Task &task, const Resources &size,
                                     std::size_t count);
    WorkerView *spread(ClusterView &view, const Task &task, const Resources &size);

    /// Number of replicas of one service in each failure domain, in each rack and on each worker.
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

    /// Counts the replicas once a round; spread() then adds those that it places.
    SpreadCounts &spreadCountsOf(ClusterView &view, const ServiceId &service);

    PlacementPolicy m_policy;
    bool m_spreadsServices;
    InterferenceEstimator &m_interference;
    std::mt19937_64 &m_random;
    WallMs m_spreadRound = -1;
    std::map<ServiceId, SpreadCounts> m_spreadCounts;
};

} // namespace guavashift
