#include <Guavashift/State/StateMachine.h>

// Part of StateMachine: the start and end of attempts.

namespace guavashift {

namespace {

/// Limit on how often the length of a quarantine doubles.
constexpr std::uint32_t maxQuarantineDoublings = 6;

constexpr std::int64_t millisecondsPerSecond = 1000;

} // namespace

std::optional<std::string> StateMachine::startRejection(const StartAttempt &command,
                                                        const Task &task) const
{
    const auto found = m_workers.find(command.worker);
    if (found == m_workers.end() || found->second.facts.incarnation != command.incarnation)
        return "the agent is not announced";
    const Worker &worker = found->second;
    if (worker.status != WorkerStatus::Up)
        return "the worker takes no new tasks";
    if (task.kind == TaskKind::Batch && worker.quarantinedUntil > m_time)
        return "the worker is in quarantine";
    if (task.releaseAt > m_time)
        return "the task is not released yet";
    if (m_rules.checkCapacity
        && !(worker.reserved + command.size).fitsWithin(worker.facts.capacity))
        return "the worker has no room";
    if (!task.size.fitsWithin(command.size))
        return "the reservation is smaller than the declared size";
    const auto &teams = m_configuration.document().teams;
    const auto team = teams.find(task.team);
    const auto usage = m_teamUsage.find(task.team);
    const Resources used = usage == m_teamUsage.end() ? Resources() : usage->second;
    if (team == teams.end())
        return "the team is not configured";
    if (!(used + command.size).fitsWithin(team->second.quota))
        return "the team's quota is used up";
    return std::nullopt;
}

Outcome StateMachine::handle(const StartAttempt &command)
{
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end())
        return Rejected{"there is no such task"};
    Task &task = found->second;
    if (task.phase != TaskPhase::Queued)
        return Rejected{"the task is not queued"};
    if (std::optional<std::string> reason = startRejection(command, task))
        return Rejected{std::move(*reason)};

    Worker &worker = m_workers.at(command.worker);
    dequeue(task);
    task.size = command.size;
    task.phase = TaskPhase::Starting;
    task.worker = command.worker;
    task.stopReason = StopReason::None;
    task.speedPercent = 100;
    task.startedAt = m_time;
    ++task.attempt;
    worker.reserved += task.size;
    worker.tasks.insert(task.id);
    m_teamUsage[task.team] += task.size;
    incrementOrdersVersion(worker);
    return AttemptStarted{task.attempt};
}

Outcome StateMachine::handle(const EvictAttempt &command)
{
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end() || found->second.attempt != command.attempt)
        return Rejected{"not the current attempt"};
    Task &task = found->second;
    if (task.phase != TaskPhase::Starting && task.phase != TaskPhase::Running)
        return Rejected{"the task does not run"};
    ++task.evictions;
    if (const auto job = m_jobs.find(task.job); job != m_jobs.end())
        ++job->second.evictions;
    stopTask(task, StopReason::Eviction);
    if (!m_rules.keepReservationUntilEnd) {
        releaseAttempt(task);
        requeue(task);
    }
    return Applied{};
}

Outcome StateMachine::handle(const ThrottleAttempt &command)
{
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end() || found->second.attempt != command.attempt
        || !found->second.isPlaced())
        return Rejected{"not the current attempt"};
    Task &task = found->second;
    if (command.speedPercent < 1 || command.speedPercent > 100)
        return Rejected{"the speed is not within 1 to 100 percent"};
    if (task.speedPercent == command.speedPercent)
        return Applied{false};
    task.speedPercent = command.speedPercent;
    incrementOrdersVersion(m_workers.at(task.worker));
    return Applied{};
}

Outcome StateMachine::handle(const ReportAttempt &command)
{
    const auto found = m_tasks.find(command.task);
    if (found == m_tasks.end())
        return Rejected{"there is no such task"};
    Task &task = found->second;
    const bool current =
        task.isPlaced() && task.worker == command.worker && task.attempt == command.attempt;
    if (!current && (m_rules.checkAttempt || !task.isPlaced()))
        return Rejected{"not the current attempt"};
    // A checkpoint never goes back: a late report may carry an older one.
    if (command.doneMs >= task.doneMs && !command.checkpoint.empty()) {
        task.checkpoint = command.checkpoint;
        task.doneMs = command.doneMs;
    }
    switch (command.event) {
    case AttemptEvent::Started:
        if (task.phase != TaskPhase::Starting)
            return Applied{false};
        task.phase = TaskPhase::Running;
        break;
    case AttemptEvent::Completed:
        taskCompleted(task);
        break;
    case AttemptEvent::Failed:
        taskFailed(task);
        break;
    case AttemptEvent::Stopped:
        taskStopped(task);
        break;
    }
    return Applied{};
}

void StateMachine::stopTask(Task &task, StopReason reason)
{
    // A cancellation or removal overrides an eviction, never the other way round.
    if (task.phase == TaskPhase::Stopping && task.stopReason != StopReason::Eviction)
        return;
    task.phase = TaskPhase::Stopping;
    task.stopReason = reason;
    incrementOrdersVersion(m_workers.at(task.worker));
}

void StateMachine::releaseAttempt(Task &task)
{
    Worker &worker = m_workers.at(task.worker);
    worker.reserved -= task.size;
    worker.tasks.erase(task.id);
    incrementOrdersVersion(worker);
    Resources &usage = m_teamUsage[task.team];
    usage -= task.size;
    if (usage == Resources())
        m_teamUsage.erase(task.team);
    task.worker = {};
    task.speedPercent = 100;
}

void StateMachine::requeue(Task &task)
{
    task.phase = TaskPhase::Queued;
    task.stopReason = StopReason::None;
    task.queuedAt = m_time;
    // A replica of a service takes its size from the current configuration.
    if (task.kind == TaskKind::LatencyCritical) {
        const auto &services = m_configuration.document().services;
        if (const auto service = services.find(task.service); service != services.end())
            task.size = service->second.size;
    }
    enqueue(task);
}

void StateMachine::taskCompleted(Task &task)
{
    Worker &worker = m_workers.at(task.worker);
    worker.failedJobs.clear();
    worker.probation = false;
    worker.quarantines = 0;
    releaseAttempt(task);
    // A replica of a service is not meant to end, so it is queued again unless it is removed.
    if (task.kind == TaskKind::LatencyCritical) {
        if (task.stopReason == StopReason::Removal)
            removeTask(task.id);
        else
            requeue(task);
        return;
    }
    Job &job = m_jobs.at(task.job);
    if (job.status != JobStatus::Active) {
        removeTask(task.id);
        return;
    }
    task.phase = TaskPhase::Done;
    ++job.completedTasks;
    --job.openTasks;
    if (job.openTasks == 0)
        endJob(job, JobStatus::Completed);
}

void StateMachine::taskFailed(Task &task)
{
    Worker &worker = m_workers.at(task.worker);
    recordFailure(worker, task);
    task.failedOn.insert(worker.id);
    const auto job = m_jobs.find(task.job);
    if (job != m_jobs.end())
        ++job->second.failures;
    const bool jobAtFault =
        task.failedOn.size() >= m_configuration.document().policy.maxTaskFailures;
    taskStopped(task);
    if (job == m_jobs.end() || job->second.status != JobStatus::Active || !jobAtFault)
        return;
    // The task failed on several VMs, so its failures count against the job, not against the VMs.
    for (auto &[id, other] : m_workers)
        other.failedJobs.erase(job->first);
    endJob(job->second, JobStatus::Failed);
}

void StateMachine::taskStopped(Task &task)
{
    releaseAttempt(task);
    const bool remove =
        task.stopReason == StopReason::Cancellation || task.stopReason == StopReason::Removal;
    if (remove)
        removeTask(task.id);
    else
        requeue(task);
}

void StateMachine::recordFailure(Worker &worker, const Task &task)
{
    const PolicyConfig &policy = m_configuration.document().policy;
    worker.failedJobs.insert(task.job.empty() ? task.family : task.job);
    // During probation a single failure is enough.
    const std::size_t limit = worker.probation ? 1 : policy.quarantineFailures;
    if (worker.failedJobs.size() < limit)
        return;
    const std::uint32_t doublings = std::min(worker.quarantines, maxQuarantineDoublings);
    worker.quarantinedUntil =
        m_time + (millisecondsPerSecond * policy.quarantineSeconds << doublings);
    ++worker.quarantines;
    worker.probation = true;
    worker.failedJobs.clear();
}

} // namespace guavashift
