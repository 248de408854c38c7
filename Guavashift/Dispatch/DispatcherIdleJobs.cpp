#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that finds and starts jobs of which nothing runs.

namespace guavashift {

namespace {

/// More tasks than this are not counted.
constexpr std::uint32_t mostFitting = 99;

/// Whether the last report of the worker lists the run.
bool isListed(const PoolWorker &worker, const PlacedRun &run)
{
    return run.lastStatusAt != Instant() && run.lastStatusAt == worker.activityAt
        && !worker.unreachable;
}

} // namespace

std::map<std::string, IdleJob> Dispatcher::jobsWithoutRuns(Instant now)
{
    std::map<std::string, IdleJob> idle;
    std::set<std::string> running;
    const auto note = [&](const TaskRef &ref, Instant since, std::uint32_t IdleJob::*count) {
        IdleJob &job = idle[ref.job];
        if (job.queued + job.bound == 0 || now - since > job.age) {
            job.oldest = ref;
            job.age = now - since;
        }
        ++(job.*count);
    };
    for (const auto &[ref, ready] : m_readyByTask) {
        if (!ready.longRunning)
            note(ref, ready.readyAt, &IdleJob::queued);
    }
    for (const auto &[ref, lifetime] : m_placed) {
        const PoolWorker &worker = m_pool.workers().at(lifetime);
        const PlacedRun &run = worker.runs.at(ref);
        // Runs outlast their job, and its plan, until their ends are known.
        const StageJob *job = m_jobTable.find(ref.job);
        if (run.longRunning || job == nullptr || !job->isActive())
            continue;
        if (isListed(worker, run))
            running.insert(ref.job);
        else
            note(ref, run.readyAt == Instant() ? run.boundAt : run.readyAt, &IdleJob::bound);
    }
    for (const std::string &job : running) {
        m_lastRunning[job] = now;
        idle.erase(job);
    }
    for (auto &[id, job] : idle) {
        if (const auto last = m_lastRunning.find(id); last != m_lastRunning.end())
            job.age = std::min(job.age, now - last->second);
    }
    return idle;
}

void Dispatcher::describe(IdleJob &idle, Instant now) const
{
    const StageJob &job = *m_jobTable.find(idle.oldest.job);
    const QueueSettings &queue = m_jobTable.queueSettingsOf(job);
    const StepPlan &step = job.plan.steps[idle.oldest.step];
    const Resources size = reservationOf(step);
    std::uint32_t fitting = 0;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (!worker.takesRunsOf(queue.service))
            continue;
        fitting += countThatFit(worker.available(), size, mostFitting);
        if (worker.bestEffortMilliCores == 0
            && exclusionOf(worker, queue, step, idle.oldest, now) == Exclusion::Interference) {
            ++idle.unobserved;
            idle.bestSpeed = std::max(idle.bestSpeed, predictedSpeed(worker, step));
        }
    }
    idle.fitting = std::min(fitting, mostFitting);
    const ServiceUse use = m_pool.useOf(queue.service);
    if (use.capacity > 0)
        idle.reservedShare = static_cast<double>(use.reserved) / static_cast<double>(use.capacity);
}

void Dispatcher::logWaiting(const StageJob &job, const ReadyTask &ready) const
{
    const StepPlan &step = job.plan.steps[ready.task.step];
    std::int64_t mostUnusedMilliCores = 0;
    Resources mostAvailable;
    double bestSpeed = 0;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (!worker.hasFacts || worker.node.empty())
            continue;
        mostUnusedMilliCores = std::max(mostUnusedMilliCores, unusedMilliCores(worker));
        mostAvailable.milliCores =
            std::max(mostAvailable.milliCores, worker.available().milliCores);
        mostAvailable.memoryMb = std::max(mostAvailable.memoryMb, worker.available().memoryMb);
        bestSpeed = std::max(bestSpeed, predictedSpeed(worker, step));
    }
    logEvent(LogLevel::Debug, "step-waits",
             {{"job", ready.task.job},
              {"step", ready.task.step},
              {"image", step.image},
              {"needs_milli_cores", step.size.milliCores},
              {"needs_memory_mb", step.size.memoryMb},
              {"most_left", mostUnusedMilliCores},
              {"most_milli_cores", mostAvailable.milliCores},
              {"most_memory_mb", mostAvailable.memoryMb},
              {"best_speed", bestSpeed}});
}

Instant Dispatcher::idleSince(const ReadyTask &ready) const
{
    if (ready.longRunning) {
        const auto listed = m_lastListed.find(ready.task);
        return listed == m_lastListed.end() ? ready.readyAt : listed->second;
    }
    const auto last = m_lastRunning.find(ready.task.job);
    return last == m_lastRunning.end() ? ready.readyAt : std::max(ready.readyAt, last->second);
}

bool Dispatcher::hasRuns(const std::string &job, Instant now) const
{
    for (auto placed = m_placed.lower_bound({job, 0, 0, 0});
         placed != m_placed.end() && placed->first.job == job; ++placed) {
        const PoolWorker &worker = m_pool.workers().at(placed->second);
        const PlacedRun &run = worker.runs.at(placed->first);
        if (isListed(worker, run) || now - run.boundAt < m_settings.longestIdle)
            return true;
    }
    return false;
}

bool Dispatcher::placeIdle(const ReadyTask &ready, Instant now)
{
    const Duration idle = now - idleSince(ready);
    if (idle < m_settings.longestIdle || (!ready.longRunning && hasRuns(ready.task.job, now)))
        return false;
    const StageJob &job = *m_jobTable.find(ready.task.job);
    const std::string &service = m_jobTable.queueSettingsOf(job).service;
    Instant &next = m_nextIdleStarts[service];
    if (now < next)
        return false;
    // No worker is held from a job that has waited as long as a long-running task may.
    const HeldWorkers noneHeld(m_pool.workers(), m_settings.maxHeldShare);
    if (!place(ready, now, noneHeld, AcceptedPlaces::Any))
        return false;
    const ServiceUse use = m_pool.useOf(service);
    if (static_cast<double>(use.reserved + use.bestEffort)
        >= m_settings.muchInUse * static_cast<double>(use.capacity))
        next = now + m_settings.idleStartInterval;
    const PoolWorker &worker = m_pool.workers().at(m_placed.at(ready.task));
    logEvent(LogLevel::Info, "idle-job-started",
             {{"task", ready.task.text()},
              {"worker", worker.facts.lifetime.worker},
              {"idle_ms", toMs(idle)},
              {"best_effort_milli_cores", worker.bestEffortMilliCores}});
    return true;
}

std::optional<IdleJobs> Dispatcher::takeIdleJobs(Instant now)
{
    constexpr std::size_t maxDescribed = 32;
    constexpr std::size_t maxNamed = 4;
    if (now < m_nextIdleCheck)
        return std::nullopt;
    m_nextIdleCheck = now + m_settings.idleJobInterval;
    IdleJobs idle;
    for (auto &[id, job] : jobsWithoutRuns(now)) {
        if (job.age < m_settings.idleJobLimit)
            continue;
        ++idle.count;
        idle.longest.push_back(std::move(job));
    }
    std::stable_sort(
        idle.longest.begin(), idle.longest.end(),
        [](const IdleJob &left, const IdleJob &right) { return left.age > right.age; });
    idle.longest.resize(std::min(idle.longest.size(), maxDescribed));
    for (IdleJob &job : idle.longest) {
        describe(job, now);
        idle.withCapacity += job.fitting >= 2 ? 1 : 0;
    }
    idle.longest.resize(std::min(idle.longest.size(), maxNamed));
    for (IdleJob &job : idle.longest) {
        const auto placed = m_placed.find(job.oldest);
        if (placed != m_placed.end())
            job.state = boundState(job.oldest, placed->second, now);
        else
            job.state = queuedState(job.oldest, now);
    }
    return idle;
}

} // namespace guavashift
