#include <Guavashift/Agent/AgentLoop.h>

namespace guavashift {

AgentLoop::AgentLoop(const AgentLoopSettings &settings, WorkerId worker, WorkerFacts facts,
                     ControlClient &control, Platform &platform,
                     AgentRequestHandler &requestHandler, LeasedConfiguration &configuration)
    : m_settings(settings)
    , m_worker(std::move(worker))
    , m_facts(std::move(facts))
    , m_control(control)
    , m_platform(platform)
    , m_requestHandler(requestHandler)
    , m_configuration(configuration)
    , m_reconciler(m_worker)
{
}

AgentLoop::~AgentLoop()
{
    stop();
}

void AgentLoop::start()
{
    m_thread = std::thread([this] { run(); });
}

void AgentLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void AgentLoop::wake()
{
    {
        const std::lock_guard lock(m_mutex);
        m_woken = true;
    }
    m_wakeUp.notify_all();
}

bool AgentLoop::isConnected() const
{
    const std::lock_guard lock(m_mutex);
    return m_connected;
}

void AgentLoop::run()
{
    for (;;) {
        const bool again = runRound();
        std::unique_lock lock(m_mutex);
        if (!again)
            m_wakeUp.wait_for(lock, m_settings.heartbeatInterval,
                              [this] { return m_stopping || m_woken; });
        m_woken = false;
        if (m_stopping)
            return;
    }
}

bool AgentLoop::runRound()
{
    // The platform comes first: the announcement needs its boot id, and the reports its tasks.
    if (!renewPlatformLease())
        return false;
    if (m_announceNeeded)
        announce();
    updateBackends();
    const std::uint64_t ordersBefore = m_orders.version;
    sendHeartbeat();

    const bool leaseHeld = m_lease.isHeld(BootClock::now());
    const WorkerReconciler::Result plan =
        m_reconciler.reconcile(m_orders, m_status, m_ordersKnown, leaseHeld);
    m_reports = plan.reports;
    bool acted = false;
    for (const PlatformAction &action : plan.actions)
        acted = performAction(action) || acted;
    // After an action or new orders, the next heartbeat follows at once, so that the leader's next
    // decision does not have to wait.
    return acted || m_orders.version != ordersBefore;
}

bool AgentLoop::renewPlatformLease()
{
    Result<PlatformStatus> status = m_platform.renew(
        BootClock::now() + m_lease.remaining(BootClock::now()) - m_settings.leaseMargin);
    if (!status) {
        logEvent(LogLevel::Warning, "platform-unreachable", {{"reason", status.error().message}});
        return false;
    }
    m_status = std::move(*status);
    if (m_facts.bootId != m_status.bootId) {
        m_facts.bootId = m_status.bootId;
        m_announceNeeded = true;
    }
    return true;
}

void AgentLoop::announce()
{
    const Result<Outcome> outcome =
        m_control.execute(AnnounceWorker{m_worker, m_facts}, m_settings.callTimeout);
    if (!outcome) {
        logEvent(LogLevel::Warning, "announce-failed", {{"reason", outcome.error().message}});
        return;
    }
    m_announceNeeded = false;
    m_reportedBackends.reset();
    logEvent(LogLevel::Info, "announced",
             {{"worker", m_worker}, {"incarnation", m_facts.incarnation}});
}

void AgentLoop::updateBackends()
{
    if (m_announceNeeded)
        return;
    std::vector<BackendServer> backends = m_requestHandler.currentBackends();
    if (m_reportedBackends == backends)
        return;
    const Result<Outcome> outcome = m_control.execute(
        UpdateBackends{m_worker, m_facts.incarnation, backends}, m_settings.callTimeout);
    if (!outcome)
        return;
    if (std::holds_alternative<Rejected>(*outcome))
        m_announceNeeded = true;
    else
        m_reportedBackends = std::move(backends);
}

void AgentLoop::sendHeartbeat()
{
    HeartbeatRequest request;
    request.node = m_worker.value;
    request.nodeKind = NodeKind::Agent;
    request.incarnation = m_facts.incarnation;
    request.configVersion = m_configuration.version();
    request.ordersVersion = m_orders.version;
    request.reports = undeliveredReports();
    for (const PlatformTask &task : m_status.tasks) {
        if (!task.usage || m_usageSent[task.task] >= task.usage->measuredAt)
            continue;
        m_usageSent[task.task] = task.usage->measuredAt;
        request.usage.push_back(*task.usage);
    }
    std::erase_if(m_usageSent, [this](const auto &item) {
        return std::none_of(m_status.tasks.begin(), m_status.tasks.end(),
                            [&](const PlatformTask &task) { return task.task == item.first; });
    });
    // Leases start before the request is sent.
    const Instant sent = BootClock::now();
    Result<Json> answer = m_control.call(method::heartbeat, request, m_settings.callTimeout);
    if (!answer) {
        logEvent(LogLevel::Warning, "heartbeat-failed", {{"reason", answer.error().message}});
        return;
    }
    try {
        auto reply = answer->get<HeartbeatReply>();
        m_configuration.update(sent, reply);
        m_lease.renew(sent, std::chrono::milliseconds(reply.workerLeaseMs));
        markReportsDelivered(request, reply);
        applyOrders(reply);
    } catch (const Json::exception &error) {
        logEvent(LogLevel::Error, "heartbeat-unreadable", {{"reason", error.what()}});
    }
}

std::vector<ReportAttempt> AgentLoop::undeliveredReports() const
{
    std::vector<ReportAttempt> undelivered;
    for (const ReportAttempt &report : m_reports) {
        if (report.event != AttemptEvent::Started
            || !m_deliveredStarts.contains({report.task, report.attempt}))
            undelivered.push_back(report);
    }
    return undelivered;
}

void AgentLoop::markReportsDelivered(const HeartbeatRequest &request, const HeartbeatReply &reply)
{
    // Reports to an earlier leader may not have been committed, so the new one gets them again.
    if (reply.epoch != m_epoch) {
        m_deliveredStarts.clear();
        m_epoch = reply.epoch;
        return;
    }
    std::set<std::pair<TaskId, Attempt>> reported;
    for (const ReportAttempt &report : m_reports)
        reported.emplace(report.task, report.attempt);
    std::erase_if(m_deliveredStarts, [&](const auto &start) { return !reported.contains(start); });
    for (const ReportAttempt &report : request.reports) {
        if (report.event == AttemptEvent::Started)
            m_deliveredStarts.emplace(report.task, report.attempt);
    }
}

void AgentLoop::applyOrders(HeartbeatReply &reply)
{
    if (reply.announceNeeded) {
        m_announceNeeded = true;
        return;
    }
    if (reply.orders) {
        m_orders = std::move(*reply.orders);
        m_ordersKnown = true;
    }
    const std::lock_guard lock(m_mutex);
    m_connected = true;
}

bool AgentLoop::performAction(const PlatformAction &action)
{
    const auto logResult = [](const char *event, const TaskId &task, Attempt attempt,
                              const Result<void> &result) {
        const bool done = result.has_value();
        logEvent(done ? LogLevel::Info : LogLevel::Warning, event,
                 {{"task", task},
                  {"attempt", attempt},
                  {"done", done},
                  {"reason", done ? std::string() : result.error().message}});
        return done;
    };
    return std::visit(
        Overloaded{
            [&](const StartOnPlatform &start) {
                // The platform checks the lease again when it receives the call.
                const Instant now = BootClock::now();
                const Instant leaseEnd = now + m_lease.remaining(now) - m_settings.leaseMargin;
                const Result<void> started = m_platform.start(start.order, leaseEnd);
                if (!started && started.error().code == ErrorCode::Conflict)
                    m_reconciler.startRefused(start.order.task, start.order.attempt);
                return logResult("task-start", start.order.task, start.order.attempt, started);
            },
            [&](const StopOnPlatform &stop) {
                const Result<void> stopped = m_platform.stop(stop.task, stop.attempt);
                if (stopped)
                    m_reconciler.stopConfirmed(stop.task, stop.attempt);
                return logResult("task-stop", stop.task, stop.attempt, stopped);
            },
            [&](const ThrottleOnPlatform &throttle) {
                return logResult(
                    "task-throttle", throttle.task, throttle.attempt,
                    m_platform.throttle(throttle.task, throttle.attempt, throttle.speedPercent));
            },
            [&](const ForgetOnPlatform &forget) {
                return m_platform.forget(forget.task, forget.attempt).has_value();
            }},
        action);
}

} // namespace guavashift
