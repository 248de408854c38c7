#include <StandIns/PlatformStandIn.h>

namespace guavashift {

namespace {

constexpr std::uint32_t noSlowdownPercent = 100;

} // namespace

PlatformStandIn::PlatformStandIn(const PlatformStandInSettings &settings, RecordFile &record)
    : m_settings(settings)
    , m_record(record)
{
}

PlatformStatus PlatformStandIn::renew(Instant leaseEnd, Instant now)
{
    advance(now);
    const std::lock_guard lock(m_mutex);
    m_leaseEnd = std::max(m_leaseEnd, leaseEnd);
    PlatformStatus status;
    status.bootId = m_settings.bootId;
    for (const auto &[id, task] : m_tasks)
        status.tasks.push_back(describe(task, now));
    return status;
}

PlatformTask PlatformStandIn::describe(const HostedTask &task, Instant now) const
{
    PlatformTask description;
    description.task = task.order.task;
    description.attempt = task.order.attempt;
    description.state = task.state;
    description.doneMs = static_cast<std::int64_t>(task.doneMs);
    description.checkpoint = "done=" + std::to_string(description.doneMs);
    description.speedPercent = task.speedPercent;
    if (task.state != PlatformTaskState::Running)
        return description;
    // As on the platform, measurements are dated in whole seconds, one to two seconds in the past.
    constexpr std::int64_t measurementLagMs = 1000;
    const std::int64_t age = toMs(now - task.startedAt);
    if (age > 2 * measurementLagMs) {
        UsageReport usage;
        usage.task = task.order.task;
        usage.attempt = task.order.attempt;
        usage.measuredAt = wallNow() / measurementLagMs * measurementLagMs - measurementLagMs;
        usage.used = task.order.size;
        usage.slowdownPercent = noSlowdownPercent;
        usage.doneMs = description.doneMs;
        description.usage = usage;
    }
    return description;
}

Result<void> PlatformStandIn::start(const TaskOrder &order, Instant leaseEnd, Instant now)
{
    advance(now);
    const std::lock_guard lock(m_mutex);
    // The call may have been delayed on its way, so the lease is checked again here.
    if (m_settings.checkLease && now >= leaseEnd)
        return fail(ErrorCode::Unavailable, "the lease has run out");
    Attempt &highest = m_highestAttempt[order.task];
    if (m_settings.checkAttempt && order.attempt <= highest)
        return fail(ErrorCode::Conflict, "this or a higher attempt was here before");
    highest = std::max(highest, order.attempt);
    m_leaseEnd = std::max(m_leaseEnd, leaseEnd);
    HostedTask task;
    task.order = order;
    task.doneMs = static_cast<double>(order.doneMs);
    task.speedPercent = order.speedPercent;
    task.startedAt = now;
    task.progressAt = now;
    m_tasks[order.task] = task;
    m_record.write(fmt::format("start {} {} {} {}", order.task, order.attempt,
                               toMs(now.time_since_epoch()), order.doneMs));
    return {};
}

void PlatformStandIn::updateProgress(HostedTask &task, Instant now) const
{
    const double elapsedMs =
        std::chrono::duration<double, std::milli>(now - task.progressAt).count();
    task.doneMs += elapsedMs * task.speedPercent / 100;
    task.progressAt = now;
}

void PlatformStandIn::end(HostedTask &task, PlatformTaskState state, Instant now)
{
    task.state = state;
    m_record.write(fmt::format("end {} {} {} {}", task.order.task, task.order.attempt,
                               toMs(now.time_since_epoch()), static_cast<int>(state)));
}

void PlatformStandIn::advance(Instant now)
{
    const std::lock_guard lock(m_mutex);
    for (auto &[id, task] : m_tasks) {
        if (task.state != PlatformTaskState::Running)
            continue;
        updateProgress(task, now);
        if (m_settings.checkLease && now >= m_leaseEnd)
            end(task, PlatformTaskState::Stopped, now);
        else if (m_settings.failEveryTask && now >= task.startedAt + m_settings.failAfter)
            end(task, PlatformTaskState::Failed, now);
        else if (task.order.kind == TaskKind::Batch
                 && task.doneMs >= static_cast<double>(task.order.runtimeMs))
            end(task, PlatformTaskState::Completed, now);
    }
}

void PlatformStandIn::stop(const TaskId &id, Attempt attempt, Instant now)
{
    advance(now);
    const std::lock_guard lock(m_mutex);
    Attempt &highest = m_highestAttempt[id];
    highest = std::max(highest, attempt);
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end() && found->second.order.attempt <= attempt
        && found->second.state == PlatformTaskState::Running)
        end(found->second, PlatformTaskState::Stopped, now);
}

void PlatformStandIn::throttle(const TaskId &id, Attempt attempt, std::uint32_t speedPercent,
                               Instant now)
{
    advance(now);
    const std::lock_guard lock(m_mutex);
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end() && found->second.order.attempt == attempt)
        found->second.speedPercent = speedPercent;
}

void PlatformStandIn::forget(const TaskId &id, Attempt attempt)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_tasks.find(id);
    if (found != m_tasks.end() && found->second.order.attempt == attempt
        && found->second.state != PlatformTaskState::Running)
        m_tasks.erase(found);
}

std::map<TaskId, TaskOrder> PlatformStandIn::runningServices() const
{
    const std::lock_guard lock(m_mutex);
    std::map<TaskId, TaskOrder> services;
    for (const auto &[id, task] : m_tasks) {
        if (task.state == PlatformTaskState::Running
            && task.order.kind == TaskKind::LatencyCritical)
            services.emplace(id, task.order);
    }
    return services;
}

} // namespace guavashift
