#include <Guavashift/Fleet/GatewayNode.h>

namespace guavashift {

namespace {

/// Time that callers are asked to wait before they send a refused call again.
constexpr std::int64_t retryAfterSeconds = 1;

} // namespace

GatewayNode::GatewayNode(EventLoop &loop, const GatewaySettings &gateway,
                         const FleetSettings &settings, const ChannelSettings &channel,
                         FleetMetrics &metrics, std::uint64_t seed)
    : m_loop(loop)
    , m_gateway(gateway)
    , m_metrics(metrics)
    , m_rounds(loop, {}, metrics)
    , m_link(loop, {channel}, settings, NodeRole::Gateway,
             {[this](const SessionOpened &) { opened(); }, [] {},
              [this](const FleetMessage &message) { received(message); }},
             seed)
    , m_relay(loop, channel,
              [this](const std::string &address) {
                  const std::vector<std::string> &cores = m_link.directory().cores;
                  return std::find(cores.begin(), cores.end(), address) != cores.end();
              })
    , m_address(settings.channelAddress())
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
    call.id = id;
    Pending &pending = m_pending[id];
    pending.call = std::move(call);
    pending.answer = std::move(answer);
    pending.receivedAt = BootClock::now();
    m_metrics.setWaiting(m_pending.size());
    logEvent(LogLevel::Info, "call-received",
             {{"request", pending.call.request},
              {"kind", nameOf(pending.call.kind)},
              {"path", pending.call.path},
              {"deadline_ms", toMs(deadline)}});
    if (m_refusing)
        return abandon(id, "this process stops");
    Duration limit = m_gateway.answerTimeout;
    if (deadline > m_gateway.deadlineMargin)
        limit = std::min(limit, deadline - m_gateway.deadlineMargin);
    pending.deadlineTimer = m_loop.after(limit, [this, id] { abandon(id, "no answer in time"); });
    if (m_link.isOpen())
        return forward(pending);
    pending.leaderTimer = m_loop.after(std::min(m_gateway.leaderTimeout, limit), [this, id] {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return;
        found->second.leaderTimer = 0;
        if (found->second.sent == 0)
            abandon(id, "no leader is known");
    });
}

void GatewayNode::opened()
{
    for (auto &[id, pending] : m_pending)
        forward(pending);
}

void GatewayNode::forward(Pending &pending)
{
    if (pending.resendTimer != 0)
        m_loop.cancel(std::exchange(pending.resendTimer, 0));
    ++pending.sent;
    m_link.send(pending.call);
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
            forward(found->second);
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
    const auto found = m_pending.find(answer->id);
    if (found == m_pending.end())
        return;
    // The outcome is not known, so the call is forwarded again, to this leader or the next one.
    Pending &pending = found->second;
    const bool isRefused = answer->result == CallResult::Unavailable;
    if (answer->result == CallResult::Unknown || (isRefused && pending.sent > 1))
        return forwardLater(answer->id, pending);
    finish(answer->id, *answer);
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
    if (found->second.sent > 0)
        finish(id, {id, CallResult::Unknown, std::string(reason), 0});
    else
        finish(id, {id, CallResult::Unavailable, std::string(reason), retryAfterSeconds});
}

void GatewayNode::finish(std::uint64_t id, FleetAnswer answer)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const Pending pending = std::move(found->second);
    m_pending.erase(found);
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
              {"passed_on", pending.sent > 0},
              {"sent", pending.sent},
              {"waited_ms", toMs(waited)}});
    if (answer.result == CallResult::Unavailable || answer.result == CallResult::Unknown)
        logEvent(LogLevel::Warning, "call-unanswered",
                 {{"request", pending.call.request},
                  {"path", pending.call.path},
                  {"passed_on", pending.sent > 0},
                  {"reason", answer.text}});
    pending.answer(std::move(answer));
}

} // namespace guavashift
