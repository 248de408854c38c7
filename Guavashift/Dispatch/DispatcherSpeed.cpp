#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that learns how fast workers are and avoids slow ones.

namespace guavashift {

namespace {

/// Name of a lifetime in WorkerSpeeds: the next one may be of another speed.
std::string speedKey(const Lifetime &lifetime)
{
    return fmt::format("{}/{}", lifetime.worker, lifetime.startedAt);
}

/// Tasks of one step in one occurrence of a job are alike.
std::string kindOf(const TaskRef &task)
{
    return fmt::format("{}.{}.{}", task.job, task.occurrence, task.step);
}

} // namespace

bool Dispatcher::showsSpeed(const TaskRef &ref) const
{
    const StepPlan &step = m_jobTable.find(ref.job)->plan.steps[ref.step];
    const StageTask *task = m_jobTable.find(ref);
    // The speed of a best-effort task depends on its share, a task that resumes has less to do, and
    // one with data elsewhere is slower on any worker.
    return !step.bestEffort && !step.longRunning && step.dataRack.empty() && !step.sameRack
        && (task == nullptr || task->checkpoint.empty());
}

void Dispatcher::learnSpeed(const PlacedRun &run, const Lifetime &lifetime, Instant now)
{
    if (m_settings.avoidsSlowWorkers && run.showsSpeed && run.committed)
        m_speeds.observe({speedKey(lifetime), kindOf(run.task), run.task.text(), now - run.boundAt},
                         now);
}

Duration Dispatcher::projectedDuration(const PlacedRun &run, Instant now)
{
    constexpr std::int32_t whole = 100;
    const Duration age = now - run.boundAt;
    const std::int32_t percent = std::clamp(run.lastStatus.percent, 1, whole);
    return age * whole / percent;
}

void Dispatcher::learnFromLongRuns(const PoolWorker &worker, Instant now)
{
    if (!m_settings.avoidsSlowWorkers)
        return;
    for (const auto &[task, run] : worker.runs) {
        if (!run.showsSpeed || !run.committed || !run.listed || run.stopRequested)
            continue;
        const std::string kind = kindOf(task);
        const std::optional<Duration> typical = m_speeds.typicalDuration(kind);
        // The progress is some time old: of a run that has just begun it says little.
        if (typical && now - run.boundAt > m_settings.longRunFactor * *typical)
            m_speeds.observe(
                {speedKey(worker.facts.lifetime), kind, task.text(), projectedDuration(run, now)},
                now);
    }
}

double Dispatcher::slownessPenalty(const PoolWorker &worker) const
{
    const auto slow = m_slowWorkers.find(worker.facts.lifetime);
    return slow == m_slowWorkers.end()
        ? 0
        : std::min(1 / slow->second - 1, m_settings.maxSlownessPenalty);
}

void Dispatcher::updateSlowWorkers(Instant now)
{
    if (!m_settings.avoidsSlowWorkers || now < m_nextSpeedCheck)
        return;
    m_nextSpeedCheck = now + m_settings.moveInterval;
    m_speeds.expire(now);
    std::map<Lifetime, double> slow;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        const double speed = m_speeds.speed(speedKey(lifetime));
        if (speed >= m_settings.slowWorkerSpeed)
            continue;
        slow.emplace(lifetime, speed);
        if (!m_slowWorkers.contains(lifetime))
            logEvent(LogLevel::Info, "worker-slow",
                     {{"worker", lifetime.worker}, {"speed", speed}, {"runs", worker.runs.size()}});
    }
    for (const auto &[lifetime, speed] : m_slowWorkers) {
        if (!slow.contains(lifetime))
            logEvent(LogLevel::Info, "worker-not-slow", {{"worker", lifetime.worker}});
    }
    m_slowWorkers = std::move(slow);
    restartSlowRuns(now);
}

bool Dispatcher::endsSoonerElsewhere(const PoolWorker &worker, const PlacedRun &run,
                                     Instant now) const
{
    const std::optional<Duration> typical = m_speeds.typicalDuration(kindOf(run.task));
    if (!typical)
        return false;
    const double speed = m_slowWorkers.at(worker.facts.lifetime);
    const auto whole = static_cast<double>(typical->count()) / speed;
    const double left = whole - static_cast<double>((now - run.boundAt).count());
    return left > m_settings.minRestartGain
        * static_cast<double>((*typical + m_settings.restartCost).count());
}

void Dispatcher::restartSlowRuns(Instant now)
{
    const HeldWorkers noneHeld(m_pool.workers(), m_settings.maxHeldShare);
    for (const auto &[lifetime, speed] : m_slowWorkers) {
        PoolWorker &worker = *m_pool.find(lifetime);
        if (worker.node.empty() || worker.unreachable)
            continue;
        PlacedRun *first = nullptr;
        WallMs firstObjective = 0;
        for (auto &[task, run] : worker.runs) {
            const StageJob *job = m_jobTable.find(task.job);
            // A member of a gang would end all others.
            if (!run.showsSpeed || !run.committed || !run.listed || run.stopRequested
                || !job->isActive() || job->plan.steps[task.step].gang
                || !allowsDisruption(*job, task) || !endsSoonerElsewhere(worker, run, now))
                continue;
            const WallMs objective = readyTask(*job, task, chainsOf(job->plan)).objective;
            if (first == nullptr || objective < firstObjective) {
                first = &run;
                firstObjective = objective;
            }
        }
        if (first == nullptr)
            continue;
        const PoolWorker *other =
            chooseWorker(*m_jobTable.find(first->task.job), first->task, now, noneHeld);
        if (other == nullptr || m_slowWorkers.contains(other->facts.lifetime))
            continue;
        logEvent(LogLevel::Info, "slow-run-restarted",
                 {{"task", first->task.text()},
                  {"from", lifetime.worker},
                  {"speed", speed},
                  {"age_ms", toMs(now - first->boundAt)},
                  {"to", other->facts.lifetime.worker}});
        orderStop(lifetime, worker, *first);
    }
}

} // namespace guavashift
