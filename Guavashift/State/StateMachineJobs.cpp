#include <Guavashift/Configuration/FieldReader.h>
#include <Guavashift/State/StateMachine.h>

// Part of StateMachine: services, jobs and the queue.

namespace guavashift {

namespace {

constexpr std::uint32_t maxTasksPerJob = 10'000;
constexpr std::int64_t maxRuntimeMs = 30LL * 24 * 3600 * 1000;
constexpr std::size_t maxFamilyBytes = 256;
/// Time for which an ended job is kept, so that a repeated submission is recognized.
constexpr WallMs endedJobRetentionMs = 7LL * 24 * 3600 * 1000;

} // namespace

TaskId batchTaskId(std::string_view jobKey, std::uint32_t number)
{
    return TaskId{fmt::format("{}/{}", jobKey, number)};
}

TaskId serviceTaskId(const ServiceId &service, std::uint32_t number)
{
    return TaskId{fmt::format("service/{}/{}", service.value, number)};
}

void StateMachine::addTask(Task task)
{
    task.queuedAt = m_time;
    enqueue(task);
    const TaskId id = task.id;
    m_tasks.emplace(id, std::move(task));
}

void StateMachine::removeTask(const TaskId &id)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end())
        return;
    if (found->second.phase == TaskPhase::Queued)
        dequeue(found->second);
    m_tasks.erase(found);
}

QueuePosition queuePositionOf(const Task &task)
{
    enum Rank { LatencyCriticalRank, UrgentRank, DueRank, NoDueTimeRank };
    if (task.kind == TaskKind::LatencyCritical)
        return {LatencyCriticalRank, task.queuedAt, task.id};
    if (task.urgent)
        return {UrgentRank, task.queuedAt, task.id};
    if (task.dueAt != 0)
        return {DueRank, task.dueAt - std::max<WallMs>(0, task.declaredRuntimeMs - task.doneMs),
                task.id};
    return {NoDueTimeRank, task.queuedAt, task.id};
}

void StateMachine::enqueue(const Task &task)
{
    if (task.releaseAt > m_time)
        m_unreleased.emplace(task.releaseAt, task.id);
    else
        m_queued.insert(queuePositionOf(task));
}

void StateMachine::dequeue(const Task &task)
{
    m_unreleased.erase({task.releaseAt, task.id});
    m_queued.erase(queuePositionOf(task));
}

void StateMachine::releaseDueTasks()
{
    while (!m_unreleased.empty() && m_unreleased.begin()->first <= m_time) {
        m_queued.insert(queuePositionOf(m_tasks.at(m_unreleased.begin()->second)));
        m_unreleased.erase(m_unreleased.begin());
    }
}

void StateMachine::reconcileServices()
{
    const ConfigurationDocument &document = m_configuration.document();
    // Missing replicas are queued; those whose size changed are replaced.
    for (const auto &[name, service] : document.services) {
        for (std::uint32_t number = 0; number < service.replicas; ++number) {
            const TaskId id = serviceTaskId(name, number);
            const auto found = m_tasks.find(id);
            if (found == m_tasks.end()) {
                Task task;
                task.id = id;
                task.kind = TaskKind::LatencyCritical;
                task.team = service.team;
                task.service = name;
                task.family = "service/" + name.value;
                task.size = service.size;
                addTask(std::move(task));
                continue;
            }
            Task &task = found->second;
            task.team = service.team;
            // A replica that was being removed is wanted again: it ends and is queued again.
            if (task.stopReason == StopReason::Removal)
                task.stopReason = StopReason::Eviction;
            if (task.size == service.size)
                continue;
            if (task.phase == TaskPhase::Queued)
                task.size = service.size;
            else
                stopTask(task, StopReason::Eviction);
        }
    }
    // Replicas that are no longer wanted are removed.
    std::vector<TaskId> unwanted;
    for (const auto &[id, task] : m_tasks) {
        if (task.kind != TaskKind::LatencyCritical)
            continue;
        const auto service = document.services.find(task.service);
        bool wanted = false;
        if (service != document.services.end()) {
            const std::string &text = id.value;
            const auto number = std::stoul(text.substr(text.rfind('/') + 1));
            wanted = number < service->second.replicas;
        }
        if (!wanted)
            unwanted.push_back(id);
    }
    for (const TaskId &id : unwanted) {
        Task &task = m_tasks.at(id);
        if (task.isPlaced())
            stopTask(task, StopReason::Removal);
        else
            removeTask(id);
    }
}

Findings StateMachine::checkJob(const JobSpec &spec) const
{
    Findings findings;
    const auto require = [&](bool condition, const char *place, std::string message) {
        if (!condition)
            findings.push_back({place, std::move(message)});
    };
    const auto &teams = m_configuration.document().teams;
    const auto team = teams.find(spec.team);
    require(isValidName(spec.id), "/id", "is not a valid name");
    require(team != teams.end(), "/team", fmt::format("there is no team '{}'", spec.team.value));
    require(spec.family.size() <= maxFamilyBytes, "/family", "is too long");
    require(spec.tasks >= 1 && spec.tasks <= maxTasksPerJob, "/tasks",
            fmt::format("must be within 1 to {}", maxTasksPerJob));
    require(spec.size.milliCores >= 0 && spec.size.memoryMb >= 0 && spec.size.accelerators >= 0,
            "/size", "must not be negative");
    require(spec.size != Resources(), "/size", "must not be empty");
    require(spec.runtimeMs >= 0 && spec.runtimeMs <= maxRuntimeMs, "/runtimeMs",
            fmt::format("must be within 0 to {}", maxRuntimeMs));
    require(spec.releaseAt >= 0, "/releaseAt", "must not be negative");
    require(spec.dueAt >= 0, "/dueAt", "must not be negative");
    require(spec.dueAt == 0 || spec.dueAt >= spec.releaseAt, "/dueAt",
            "is before the release time");
    if (team != teams.end())
        require(spec.size.fitsWithin(team->second.quota), "/size", "exceeds the team's quota");
    return findings;
}

Findings StateMachine::explainInfeasible(const JobSpec &spec) const
{
    Resources largest;
    for (const auto &[id, worker] : m_workers) {
        const Resources &capacity = worker.facts.capacity;
        if (spec.size.fitsWithin(capacity))
            return {};
        largest.milliCores = std::max(largest.milliCores, capacity.milliCores);
        largest.memoryMb = std::max(largest.memoryMb, capacity.memoryMb);
        largest.accelerators = std::max(largest.accelerators, capacity.accelerators);
    }
    Findings findings;
    const auto compare = [&](const char *place, std::int64_t needed, std::int64_t offered) {
        if (needed > offered)
            findings.push_back(
                {place, fmt::format("needs {}, the largest VM has {}", needed, offered)});
    };
    compare("/size/milliCores", spec.size.milliCores, largest.milliCores);
    compare("/size/memoryMb", spec.size.memoryMb, largest.memoryMb);
    compare("/size/accelerators", spec.size.accelerators, largest.accelerators);
    if (findings.empty())
        findings.push_back({"/size", "no single VM has all of this"});
    return findings;
}

Outcome StateMachine::handle(const SubmitJob &command)
{
    const JobSpec &spec = command.spec;
    const std::string key = spec.key();
    if (const auto found = m_jobs.find(key); found != m_jobs.end()) {
        if (found->second.spec == spec)
            return JobAccepted{true, explainInfeasible(spec)};
        return JobRefused{{{"/id", "the team has another job with this id"}}};
    }
    if (Findings findings = checkJob(spec); !findings.empty())
        return JobRefused{std::move(findings)};

    Job job;
    job.spec = spec;
    job.submittedAt = m_time;
    job.openTasks = spec.tasks;
    m_jobs.emplace(key, std::move(job));
    for (std::uint32_t number = 0; number < spec.tasks; ++number) {
        Task task;
        task.id = batchTaskId(key, number);
        task.team = spec.team;
        task.job = key;
        task.family = spec.family.empty() ? key : spec.team.value + "/" + spec.family;
        task.size = spec.size;
        task.urgent = spec.urgent;
        task.releaseAt = spec.releaseAt;
        task.dueAt = spec.dueAt;
        task.declaredRuntimeMs = spec.runtimeMs;
        addTask(std::move(task));
    }
    return JobAccepted{false, explainInfeasible(spec)};
}

Outcome StateMachine::handle(const CancelJobs &command)
{
    JobsCancelled outcome;
    for (const std::string &id : command.jobs) {
        const std::string key = command.team.value + "/" + id;
        const auto found = m_jobs.find(key);
        if (found == m_jobs.end()) {
            outcome.unknown.push_back(id);
            continue;
        }
        Job &job = found->second;
        const bool ended = job.status == JobStatus::Completed || job.status == JobStatus::Failed;
        (ended ? outcome.ended : outcome.cancelled).push_back(id);
        if (job.status == JobStatus::Active)
            endJob(job, JobStatus::Cancelled);
    }
    return outcome;
}

void StateMachine::endJob(Job &job, JobStatus status)
{
    job.status = status;
    job.endedAt = m_time;
    const std::string key = job.spec.key();
    m_endedJobs.emplace(m_time, key);
    stopJobTasks(key);
}

void StateMachine::stopJobTasks(const std::string &key)
{
    // Placed tasks are removed once their end is certain, all others at once.
    std::vector<TaskId> removable;
    const std::string prefix = key + "/";
    for (auto at = m_tasks.lower_bound(TaskId{prefix});
         at != m_tasks.end() && at->first.value.starts_with(prefix); ++at) {
        if (at->second.isPlaced())
            stopTask(at->second, StopReason::Cancellation);
        else
            removable.push_back(at->first);
    }
    for (const TaskId &id : removable)
        removeTask(id);
}

void StateMachine::removeExpiredJobs()
{
    while (!m_endedJobs.empty() && m_endedJobs.begin()->first + endedJobRetentionMs < m_time) {
        m_jobs.erase(m_endedJobs.begin()->second);
        m_endedJobs.erase(m_endedJobs.begin());
    }
}

} // namespace guavashift
