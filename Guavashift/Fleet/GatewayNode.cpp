#include <Guavashift/Fleet/GatewayNode.h>

namespace guavashift {

namespace {

/// Memory that a pending call takes, about.
std::size_t bytesOf(const FleetCall &call)
{
    std::size_t bytes = sizeof(FleetCall) + call.host.size() + call.path.size()
        + call.document.size() + call.request.size();
    if (!call.plan)
        return bytes;
    bytes += call.plan->payload.size();
    for (const StepPlan &step : call.plan->steps)
        bytes += sizeof(StepPlan) + step.after.size() * sizeof(std::uint32_t)
            + step.requiredLabel.size() + step.dataRack.size() + step.image.size();
    return bytes;
}

} // namespace

GatewayNode::GatewayNode(EventLoop &loop, const GatewaySettings &gateway,
                         const FleetSettings &settings, const ChannelSettings &channel,
                         FleetMetrics &metrics, std::uint64_t seed)
    : m_loop(loop)
    , m_gateway(gateway)
    , m_metrics(metrics)
    , m_rounds(loop, {}, metrics)
    , m_link(loop, {channel}, settings, NodeRole::Gateway,
             {[this](const SessionOpened &) { opened(); }, [this] { lost(); },
              [this](const FleetMessage &message) { received(message); }},
             seed)
    , m_relay(loop, channel,
              [this](const std::string &address) {
                  const std::vector<std::string> &cores = m_link.directory().cores;
                  return std::find(cores.begin(), cores.end(), address) != cores.end();
              })
    , m_address(settings.channelAddress())
    , m_retryAdvice(gateway.retryAdvice)
{
}

Result<void> GatewayNode::start()
{
    m_link.setEnabled(true);
    return m_relay.open(m_address);
}

void GatewayNode::call(FleetCall call, Duration deadline, Answer answer)
{
    const std::uint64_t id = m_nextCall++;
    const std::size_t bytes = bytesOf(call);
    const std::string_view refusal = refusalOf(bytes);
    Pending &pending = m_pending[id];
    pending.call = std::move(call);
    pending.answer = std::move(answer);
    pending.receivedAt = BootClock::now();
    pending.deadline = deadline;
    pending.bytes = bytes;
    m_pendingBytes += bytes;
    m_metrics.setWaiting(m_pending.size());
    logEvent(LogLevel::Info, "call-received",
             {{"request", pending.call.request},
              {"kind", nameOf(pending.call.kind)},
              {"path", pending.call.path},
              {"deadline_ms", toMs(deadline)}});
    if (!refusal.empty())
        return abandon(id, refusal);
    Duration limit = m_gateway.answerTimeout;
    if (deadline > m_gateway.deadlineMargin)
        limit = std::min(limit, deadline - m_gateway.deadlineMargin);
    pending.deadlineTimer = m_loop.after(limit, [this, id] { abandon(id, "no answer in time"); });
    if (m_link.isOpen())
        return forward(id, pending);
    awaitLeader(id, pending);
}

std::string_view GatewayNode::refusalOf(std::size_t bytes) const
{
    if (m_refusing)
        return "this process stops";
    if (m_pending.size() >= m_gateway.maxPendingCalls
        || m_pendingBytes + bytes > m_gateway.maxPendingBytes)
        return "too many calls wait";
    if (m_link.withoutLeader(BootClock::now()) >= m_gateway.failoverTime)
        return "there is no leader";
    return {};
}

void GatewayNode::awaitLeader(std::uint64_t id, Pending &pending)
{
    if (pending.leaderTimer != 0)
        return;
    pending.leaderTimer = m_loop.after(m_gateway.leaderTimeout, [this, id] {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return;
        found->second.leaderTimer = 0;
        abandon(id, "no leader is known");
    });
}

void GatewayNode::opened()
{
    m_unheardSince = {};
    for (auto &[id, pending] : m_pending)
        forward(id, pending);
}

void GatewayNode::lost()
{
    m_callOfAttempt.clear();
    m_held.clear();
    if (m_heldTimer != 0)
        m_loop.cancel(std::exchange(m_heldTimer, 0));
    for (auto &[id, pending] : m_pending) {
        pending.attempts.sessionEnded(m_link.bytesWritten());
        if (pending.attempts.certainlyNotDone())
            awaitLeader(id, pending);
    }
}

bool GatewayNode::leaderIsSilent() const
{
    return m_unheardSince > m_link.lastHeard()
        && BootClock::now() - m_unheardSince >= m_gateway.silenceLimit;
}

void GatewayNode::forward(std::uint64_t id, Pending &pending)
{
    for (EventLoop::TimerId *timer : {&pending.leaderTimer, &pending.resendTimer}) {
        if (*timer != 0)
            m_loop.cancel(std::exchange(*timer, 0));
    }
    if (leaderIsSilent()) {
        m_held.push_back(id);
        if (m_heldTimer == 0)
            m_heldTimer = m_loop.after(m_gateway.silenceCheckInterval, [this] { forwardHeld(); });
        return;
    }
    pending.call.id = m_nextAttempt++;
    const std::optional<std::uint64_t> position = m_link.send(pending.call);
    if (!position)
        return;
    pending.attempts.sent(pending.call.id, *position);
    m_callOfAttempt[pending.call.id] = id;
    if (m_unheardSince <= m_link.lastHeard())
        m_unheardSince = BootClock::now();
}

void GatewayNode::forwardHeld()
{
    m_heldTimer = 0;
    for (const std::uint64_t id : std::exchange(m_held, {})) {
        const auto found = m_pending.find(id);
        if (found != m_pending.end())
            forward(id, found->second);
    }
}

void GatewayNode::forwardLater(std::uint64_t id, Pending &pending)
{
    if (pending.resendTimer != 0)
        return;
    pending.resendTimer = m_loop.after(m_gateway.resendDelay, [this, id] {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return;
        found->second.resendTimer = 0;
        // Without a session, opened() forwards the call once there is one.
        if (m_link.isOpen())
            forward(id, found->second);
    });
}

void GatewayNode::received(const FleetMessage &message)
{
    if (const auto *inForce = std::get_if<CallerLimitsInForce>(&message)) {
        if (m_gateway.limitsReceived)
            m_gateway.limitsReceived(inForce->limits);
        return;
    }
    const auto *answer = std::get_if<FleetAnswer>(&message);
    if (answer == nullptr)
        return;
    const auto attempt = m_callOfAttempt.find(answer->id);
    if (attempt == m_callOfAttempt.end())
        return;
    const std::uint64_t id = attempt->second;
    m_callOfAttempt.erase(attempt);
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    Pending &pending = found->second;
    if (answer->result == CallResult::Unknown)
        pending.attempts.undecided(answer->id);
    else if (answer->result == CallResult::Unavailable)
        pending.attempts.refused(answer->id);
    else
        return finish(id, *answer);
    if (pending.attempts.certainlyNotDone())
        return finish(id, *answer);
    // The outcome is not known, so the call is forwarded again, to this leader or the next one.
    forwardLater(id, pending);
}

void GatewayNode::endCalls(std::string_view reason)
{
    refuseNewCalls();
    while (!m_pending.empty())
        abandon(m_pending.begin()->first, reason);
}

void GatewayNode::abandon(std::uint64_t id, std::string_view reason)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const Pending &pending = found->second;
    if (!pending.attempts.certainlyNotDone())
        return finish(id, {id, CallResult::Unknown, std::string(reason), 0});
    const Duration left = pending.deadline == Duration::zero()
        ? pending.deadline
        : pending.deadline - (BootClock::now() - pending.receivedAt);
    // When there will be a leader is not known, so callers return as soon as they may.
    const std::int64_t seconds = m_retryAdvice.seconds(pending.call.path, Duration::zero(),
                                                       std::max(left, Duration::zero()));
    m_metrics.refused(reason);
    finish(id, {id, CallResult::Unavailable, std::string(reason), seconds});
}

void GatewayNode::finish(std::uint64_t id, FleetAnswer answer)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
    m_pendingBytes -= pending.bytes;
    for (const EventLoop::TimerId timer :
         {pending.leaderTimer, pending.deadlineTimer, pending.resendTimer}) {
        if (timer != 0)
            m_loop.cancel(timer);
    }
    const Duration waited = BootClock::now() - pending.receivedAt;
    m_metrics.finished(answer.result, waited);
    m_metrics.setWaiting(m_pending.size());
    logEvent(LogLevel::Info, "call-finished",
             {{"request", pending.call.request},
              {"result", nameOf(answer.result)},
              {"passed_on", !pending.attempts.certainlyNotDone()},
              {"sent", pending.attempts.count()},
              {"waited_ms", toMs(waited)}});
    if (answer.result == CallResult::Unavailable || answer.result == CallResult::Unknown)
        logEvent(LogLevel::Warning, "call-unanswered",
                 {{"request", pending.call.request},
                  {"path", pending.call.path},
                  {"passed_on", !pending.attempts.certainlyNotDone()},
                  {"sent", pending.attempts.count()},
                  {"retry_s", answer.number},
                  {"reason", answer.text}});
    pending.answer(std::move(answer));
}

} // namespace guavashift
