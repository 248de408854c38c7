#pragma once

#include <Guavashift/Dispatch/WorkerPool.h>

namespace guavashift {

/// Workers that one placement round holds for long-running tasks that found no room. Without that,
/// short tasks that fit sooner take all capacity as it becomes free. Valid for one round, in which
/// the pool may not lose a worker.
class HeldWorkers final
{
public:
    /// `maxShare`: the share of a service's workers that may be held; one worker always may.
    HeldWorkers(const WorkerPool::Workers &workers, double maxShare);

    /// Whether one more worker of the service may be held.
    [[nodiscard]] bool mayHold(const std::string &service);
    /// Holds a worker for a task that needs `size`.
    void hold(const PoolWorker &worker, const Resources &size);

    [[nodiscard]] bool contains(const PoolWorker &worker) const;
    /// Whether the worker may take a task of `step`: it is not held, or the task reserves nothing
    /// that the waiting one lacks or would lack then.
    [[nodiscard]] bool allows(const PoolWorker &worker, const StepPlan &step) const;

private:
    const WorkerPool::Workers &m_workers;
    double m_maxShare;
    std::map<const PoolWorker *, Resources> m_sizes; ///< What the held workers are to take.
    std::map<std::string, std::size_t> m_left; ///< Workers that may still be held, by service.
};

} // namespace guavashift
