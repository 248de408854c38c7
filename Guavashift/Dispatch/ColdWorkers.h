#pragma once

#include <Guavashift/Dispatch/WorkerPool.h>
#include <Guavashift/Scheduling/WarmUp.h>

namespace guavashift {

/// Which workers are cold, or return from an evacuation, in one round of decisions.
class ColdWorkers final
{
public:
    explicit ColdWorkers(const WarmUpSettings &settings);

    /// To be called before the decisions of each round.
    void update(const WorkerPool::Workers &workers, const EvacuatedDomains &domains, Instant now,
                WallMs wallNow);
    /// Whether the worker may get one more run now.
    [[nodiscard]] bool mayStart(const PoolWorker &worker) const;
    /// Deduction from the worker's score for tasks that suffer most from a slow start.
    [[nodiscard]] double penaltyOf(const PoolWorker &worker) const;

private:
    WarmUp m_warmUp;
    double m_penalty;
    std::map<Lifetime, double> m_warmth;         ///< Of workers that are not warm.
    std::map<std::string, double> m_averageRuns; ///< On warm workers, by service.
};

} // namespace guavashift
