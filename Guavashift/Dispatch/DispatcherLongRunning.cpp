#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that limits disruption of long-running steps.

namespace guavashift {

namespace {

/// Progress that a worker reports for a long-running task that has started up.
constexpr std::int32_t startedUpPercent = 100;

} // namespace

bool Dispatcher::isRunning(const TaskRef &ref) const
{
    const auto placed = m_placed.find(ref);
    if (placed == m_placed.end())
        return false;
    const PoolWorker &worker = m_pool.workers().at(placed->second);
    const PlacedRun &run = worker.runs.at(ref);
    return run.committed && !run.stopRequested && !worker.unreachable
        && run.lastStatus.percent >= startedUpPercent;
}

bool Dispatcher::allowsDisruption(const StageJob &job, const TaskRef &ref) const
{
    const StepPlan &step = job.plan.steps[ref.step];
    if (step.maxUnavailable == 0)
        return true;
    std::uint32_t unavailable = 0;
    for (std::uint32_t t = 0; t < step.tasks; ++t) {
        const TaskRef other{ref.job, ref.occurrence, ref.step, t};
        if (other != ref && !isRunning(other))
            ++unavailable;
    }
    return unavailable < step.maxUnavailable;
}

} // namespace guavashift
