#include <Guavashift/Entry/RequestFlow.h>

#include <charconv>
#include <condition_variable>

// The part of RequestFlow that sends a request to an agent and judges what came of it.

namespace guavashift {

namespace {

std::string_view nameOf(const DispatchEvent &event)
{
    return std::visit(
        Overloaded{[](const Answered &) -> std::string_view { return "answered"; },
                   [](const CertainlyNotRun &) -> std::string_view { return "not-run"; },
                   [](const ContactLost &) -> std::string_view { return "contact-lost"; },
                   [](const RunUnknown &) -> std::string_view { return "run-unknown"; },
                   [](const RevokedAtAgent &) -> std::string_view { return "revoked"; },
                   [](const StillRunning &) -> std::string_view { return "still-running"; },
                   [](const RanToCompletion &) -> std::string_view { return "ran"; },
                   [](const RevokeUnanswered &) -> std::string_view { return "unanswered"; }},
        event);
}

std::string_view nameOf(RevokeOutcome outcome)
{
    switch (outcome) {
    case RevokeOutcome::Revoked:
        return "revoked";
    case RevokeOutcome::Running:
        return "running";
    case RevokeOutcome::Done:
        return "done";
    case RevokeOutcome::Unknown:
        break;
    }
    return "unknown";
}

bool isRefusal(const HttpResponse &response)
{
    return response.headers.find(header::run).has_value();
}

} // namespace

/// Shared by the dispatches, because the slower one may end after the request has been answered.
struct RequestFlow::HedgeState
{
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<DispatchOutcome> firstAnswer;
    std::optional<DispatchOutcome> lastFailure;
    unsigned running = 0;
    bool anyMayHaveRun = false;
};

bool RequestFlow::mayHedge() const
{
    return m_forwarder.m_settings.hedging && m_traits.idempotent && !m_traits.exclusive
        && !m_traits.keyed && m_attempts == 1;
}

RequestFlow::DispatchOutcome RequestFlow::dispatch()
{
    if (mayHedge()) {
        const std::optional<Duration> delay =
            m_forwarder.m_routing.hedgeDelay(m_route.service, m_limits.hedgePercentile);
        if (delay)
            return dispatchHedged(std::max(*delay, m_forwarder.m_settings.minHedgeDelay));
    }
    return dispatchTo(m_forwarder, *m_request, m_route, m_traits, m_trace, m_plan, m_deadline);
}

RequestFlow::DispatchOutcome RequestFlow::dispatchHedged(Duration delay)
{
    const auto hedge = std::make_shared<HedgeState>();
    const auto start = [&](const DispatchPlan &plan) {
        {
            const std::lock_guard lock(hedge->mutex);
            ++hedge->running;
        }
        m_forwarder.m_pool.post([&forwarder = m_forwarder, request = m_request, route = m_route,
                                 traits = m_traits, trace = m_trace, plan, deadline = m_deadline,
                                 hedge] {
            DispatchOutcome outcome =
                dispatchTo(forwarder, *request, route, traits, trace, plan, deadline);
            const std::lock_guard lock(hedge->mutex);
            --hedge->running;
            const bool answered = std::holds_alternative<Answered>(outcome.event);
            if (!answered && !std::holds_alternative<CertainlyNotRun>(outcome.event))
                hedge->anyMayHaveRun = true;
            if (answered && !hedge->firstAnswer)
                hedge->firstAnswer = std::move(outcome);
            else if (!answered)
                hedge->lastFailure = std::move(outcome);
            hedge->changed.notify_all();
        });
    };
    const auto decided = [&] { return hedge->firstAnswer.has_value() || hedge->running == 0; };

    start(m_plan);
    std::unique_lock lock(hedge->mutex);
    if (!hedge->changed.wait_for(lock, delay, decided)) {
        // Slower than usual: a second copy is sent to another worker if one is available now.
        lock.unlock();
        const WorkerId first = m_plan.target.worker;
        const std::optional<RouteTarget> second =
            m_forwarder.m_routing.tryAcquire(m_route.service, std::span(&first, 1));
        if (second && second->worker != first && m_forwarder.takeFromBudget()) {
            m_forwarder.m_hedges.Increment();
            start({*second, m_forwarder.newRequestId(), second->window});
        } else if (second) {
            m_forwarder.m_routing.release(m_route.service, second->worker, DispatchResult::Busy,
                                          {});
        }
        lock.lock();
        hedge->changed.wait_until(
            lock, std::chrono::steady_clock::now() + (m_deadline - BootClock::now()), decided);
    }
    if (hedge->firstAnswer)
        return std::move(*hedge->firstAnswer);
    m_mayHaveRun = m_mayHaveRun || hedge->anyMayHaveRun || hedge->running > 0;
    if (hedge->lastFailure && hedge->running == 0)
        return std::move(*hedge->lastFailure);
    return {ContactLost{}, {}};
}

RequestFlow::DispatchOutcome
RequestFlow::dispatchTo(RequestForwarder &forwarder, const HttpRequest &request,
                        const RouteConfig &route, const RequestTraits &traits,
                        const TraceContext &trace, const DispatchPlan &plan, Instant deadline)
{
    const Instant started = BootClock::now();
    const Duration timeLeft = std::max<Duration>(deadline - started, std::chrono::milliseconds(1));
    HttpCall call;
    call.address = plan.target.httpAddress;
    call.method = request.method;
    call.target = request.target();
    call.headers = request.headers;
    call.headers.remove("Host");
    call.headers.remove("Content-Length");
    call.headers.remove("Transfer-Encoding");
    call.headers.remove("Connection");
    call.headers.remove("Expect");
    call.headers.set(header::requestId, plan.id.value);
    call.headers.set(header::service, route.service.value);
    call.headers.set(header::incarnation, plan.target.incarnation.value);
    call.headers.set(header::window, std::to_string(plan.window));
    call.headers.set(header::timeoutMs, std::to_string(toMs(timeLeft)));
    call.headers.set(header::traceparent, trace.header());
    call.headers.remove(header::keyed);
    call.headers.remove(header::once);
    const bool once = !traits.idempotent || traits.exclusive || traits.keyed;
    if (traits.keyed)
        call.headers.set(header::keyed, "1");
    if (once)
        call.headers.set(header::once, "1");
    call.body = request.body;
    call.timeout = timeLeft;
    call.reuseConnection = !once;

    tl::expected<HttpResponse, HttpFailure> answer = forwarder.m_client.send(call);
    const std::string failure = answer ? std::string() : answer.error().message;
    DispatchOutcome outcome = classify(traits, plan, std::move(answer));
    if (!std::holds_alternative<Answered>(outcome.event)) {
        const HttpHeaders &headers = outcome.response.headers;
        logEvent(LogLevel::Info, "dispatch-failed",
                 {{"request", plan.id},
                  {"keyed", traits.keyed},
                  {"worker", plan.target.worker},
                  {"incarnation", plan.target.incarnation},
                  {"window", plan.window},
                  {"outcome", nameOf(outcome.event)},
                  {"status", outcome.response.status},
                  {"refusal", headers.find(header::refusal).value_or("")},
                  {"failure", failure},
                  {"elapsed_ms", toMs(BootClock::now() - started)}});
    }
    if (const auto window = outcome.response.headers.find(header::window)) {
        std::uint64_t number = 0;
        std::from_chars(window->data(), window->data() + window->size(), number);
        forwarder.m_routing.updateWindow(plan.target.worker, number);
    }
    const DispatchResult result =
        std::visit(Overloaded{[](const Answered &) { return DispatchResult::Succeeded; },
                              [&](const CertainlyNotRun &) {
                                  // A refusal shows a working agent, a failed connection does not.
                                  return outcome.response.body.empty() ? DispatchResult::Failed
                                                                       : DispatchResult::Busy;
                              },
                              [](const auto &) { return DispatchResult::Failed; }},
                   outcome.event);
    forwarder.m_routing.release(route.service, plan.target.worker, result,
                                BootClock::now() - started);
    return outcome;
}

RequestFlow::DispatchOutcome RequestFlow::classify(const RequestTraits &traits,
                                                   const DispatchPlan &plan,
                                                   tl::expected<HttpResponse, HttpFailure> answer)
{
    if (!answer) {
        // Another entry may have sent the request under the same claim, so only the agent can
        // confirm that it did not run.
        const bool certain =
            answer.error().stage == HttpFailureStage::NotConnected && !traits.keyed;
        if (certain)
            return {CertainlyNotRun{}, {}};
        return {ContactLost{}, {}};
    }
    // A response with another request id does not answer this request.
    if (answer->headers.find(header::requestId) != plan.id.value)
        return {ContactLost{}, {}};
    if (!isRefusal(*answer))
        return {Answered{}, std::move(*answer)};

    const std::string_view run = *answer->headers.find(header::run);
    const std::string_view reason = answer->headers.find(header::refusal).value_or("");
    if (run == header::runNotRun)
        return {CertainlyNotRun{reason == "stale-window"}, std::move(*answer)};
    // The id of a request without a key was sent once, over a new connection, to this agent, so
    // an agent with another incarnation has not run it.
    const bool once = !traits.idempotent || traits.exclusive;
    if (reason == "wrong-incarnation" && !traits.keyed && once)
        return {CertainlyNotRun{}, std::move(*answer)};
    if (run == header::runRan)
        return {traits.idempotent ? DispatchEvent(RunUnknown{}) : DispatchEvent(RanToCompletion{}),
                std::move(*answer)};
    return {RunUnknown{}, std::move(*answer)};
}

DispatchEvent RequestFlow::revoke()
{
    const RevokeRequest request{m_plan.id, m_plan.target.incarnation, m_plan.window,
                                m_traits.keyed};
    const Result<RevokeReply> reply = m_forwarder.m_agents.revoke(
        m_plan.target.rpcAddress, request, m_forwarder.m_settings.revokeTimeout);
    logEvent(LogLevel::Info, "request-revoked",
             {{"request", m_plan.id},
              {"worker", m_plan.target.worker},
              {"incarnation", m_plan.target.incarnation},
              {"window", m_plan.window},
              {"outcome", reply ? nameOf(reply->outcome) : "no-answer"},
              {"failure", reply ? std::string() : reply.error().message}});
    if (!reply)
        return RevokeUnanswered{};
    m_forwarder.m_routing.updateWindow(m_plan.target.worker, reply->window);
    switch (reply->outcome) {
    case RevokeOutcome::Revoked:
        return RevokedAtAgent{};
    case RevokeOutcome::Running:
        return StillRunning{};
    case RevokeOutcome::Done:
        return RanToCompletion{};
    case RevokeOutcome::Unknown:
        break;
    }
    return RevokeUnanswered{};
}

} // namespace guavashift
