#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that limits disruption of long-running steps and finds tasks that wait.

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

void Dispatcher::updateLastListed(const PlacedRun &run)
{
    const auto found = m_lastListed.find(run.task);
    if (found != m_lastListed.end())
        found->second = std::max(found->second, run.lastStatusAt);
}

std::optional<LongRunningWaits> Dispatcher::takeLongRunningWaits(Instant now)
{
    if (now < m_nextLongRunningCheck)
        return std::nullopt;
    m_nextLongRunningCheck = now + m_settings.longRunningCheckInterval;
    LongRunningWaits waits;
    for (auto at = m_lastListed.begin(); at != m_lastListed.end();) {
        const TaskRef &ref = at->first;
        const StageJob *job = m_jobTable.find(ref.job);
        const StageTask *task = m_jobTable.find(ref);
        if (job == nullptr || !job->isActive()
            || (task != nullptr && task->stage == TaskStage::Done)) {
            at = m_lastListed.erase(at);
            continue;
        }
        if (const auto placed = m_placed.find(ref); placed != m_placed.end())
            updateLastListed(m_pool.workers().at(placed->second).runs.at(ref));
        const Duration age = now - at->second;
        if (age > m_settings.longRunningWaitLimit) {
            ++waits.count;
            if (age > waits.age) {
                waits.oldest = ref;
                waits.age = age;
            }
        }
        ++at;
    }
    if (waits.count == 0)
        return waits;
    if (const auto placed = m_placed.find(waits.oldest); placed != m_placed.end())
        waits.state = boundState(waits.oldest, placed->second, now);
    else if (m_readyByTask.contains(waits.oldest))
        waits.state = queuedState(waits.oldest, now);
    return waits;
}

QueuedState Dispatcher::queuedState(const TaskRef &ref, Instant now) const
{
    const StageJob &job = *m_jobTable.find(ref.job);
    const QueueSettings &queue = m_jobTable.queueSettingsOf(job);
    const StepPlan &step = job.plan.steps[ref.step];
    QueuedState state;
    state.awaitsTrial = !mayStart(ref, trialOf(job, ref, now));
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (const std::optional<Exclusion> reason = exclusionOf(worker, queue, step, ref, now))
            ++state.excluded.at(static_cast<std::size_t>(*reason));
        else
            ++state.eligible;
    }
    return state;
}

BoundState Dispatcher::boundState(const TaskRef &ref, const Lifetime &lifetime, Instant now) const
{
    const PoolWorker &worker = m_pool.workers().at(lifetime);
    const PlacedRun &run = worker.runs.at(ref);
    BoundState state;
    state.run = run.run;
    state.worker = lifetime.worker;
    state.committed = run.committed;
    state.stopRequested = run.stopRequested;
    state.endProposed = m_endsProposed.contains({ref, run.run});
    if (worker.activityAt != Instant()) {
        state.reportAge = now - worker.activityAt;
        state.listed = run.lastStatusAt == worker.activityAt;
    }
    return state;
}

} // namespace guavashift
