#include <Guavashift/Entry/RequestFlow.h>

#include <charconv>
#include <condition_variable>

namespace guavashift {

namespace {

constexpr int statusConflict = 409;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;
constexpr int statusBadGateway = 502;
constexpr int statusUnprocessable = 422;
constexpr std::size_t maxKeyBytes = 256;

Duration timeoutOf(const HttpRequest &request, const RouteConfig &route)
{
    std::int64_t timeoutMs = route.timeoutMs;
    if (const std::optional<std::string_view> text = request.headers.find(header::timeoutMs)) {
        std::int64_t requestedMs = 0;
        const auto [end, error] =
            std::from_chars(text->data(), text->data() + text->size(), requestedMs);
        if (error == std::errc() && end == text->data() + text->size() && requestedMs > 0)
            timeoutMs = std::min(timeoutMs, requestedMs);
    }
    return std::chrono::milliseconds(timeoutMs);
}

/// Distinguishes different requests that use the same key.
std::uint64_t hashOf(const HttpRequest &request)
{
    return hashBytes(request.method + "\n" + request.target() + "\n" + request.body);
}

HttpResponse responseOf(const KeptAnswer &answer)
{
    HttpResponse response;
    response.status = answer.status;
    for (const auto &[name, value] : answer.headers)
        response.headers.add(name, value);
    response.body.assign(answer.body.begin(), answer.body.end());
    return response;
}

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

/// What a claim says of its request.
std::string_view nameOf(const Claim &claim)
{
    if (claim.answer)
        return "answer";
    switch (claim.end) {
    case ClaimEnd::NotRun:
        return "not-run";
    case ClaimEnd::MayHaveRun:
        return "may-have-run";
    case ClaimEnd::Open:
        break;
    }
    return "open";
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

RequestFlow::RequestFlow(RequestForwarder &forwarder, std::shared_ptr<const HttpRequest> request,
                         const RouteConfig &route, const LimitsConfig &limits,
                         const TraceContext &trace)
    : m_forwarder(forwarder)
    , m_request(std::move(request))
    , m_route(route)
    , m_limits(limits)
    , m_trace(trace)
    , m_deadline(BootClock::now() + timeoutOf(*m_request, route))
{
    m_key = std::string(m_request->headers.find(header::idempotencyKey).value_or(""));
    m_traits.idempotent =
        route.idempotent && !m_request->headers.find(header::nonIdempotent).has_value();
    m_traits.exclusive = route.exclusive;
    m_traits.keyed = !m_key.empty();
}

HttpResponse RequestFlow::run()
{
    if (m_key.size() > maxKeyBytes)
        return finish(refuseNotRun(400, "the idempotency key exceeds 256 bytes"));
    // A request with a key is sent to the worker that its claim names.
    if (std::optional<HttpResponse> refusal = m_traits.keyed ? claim() : chooseTarget())
        return finish(std::move(*refusal));
    for (;;) {
        ++m_attempts;
        DispatchOutcome outcome = dispatch();
        RequestAction action = decideNext(m_traits, outcome.event, allowance(outcome.event));
        if (action == RequestAction::Revoke) {
            outcome.event = revoke();
            action = decideNext(m_traits, outcome.event, allowance(outcome.event));
        } else if (action == RequestAction::RetryElsewhere
                   && !std::holds_alternative<CertainlyNotRun>(outcome.event)) {
            m_mayHaveRun = true;
        }
        std::optional<HttpResponse> refusal;
        switch (action) {
        case RequestAction::ForwardAnswer:
            return finish(std::move(outcome.response));
        case RequestAction::RetryElsewhere:
            m_forwarder.m_retries.Increment();
            m_triedWorkers.push_back(m_plan.target.worker);
            refusal = m_traits.keyed ? claim() : chooseTarget();
            break;
        case RequestAction::RetrySameAgent:
        case RequestAction::Rejoin: {
            const std::optional<RouteTarget> target =
                m_forwarder.m_routing.acquireAt(m_plan.target.worker, m_plan.target.incarnation);
            if (!target) {
                refusal = followClaimAgain(statusUnavailable, "the agent is gone");
            } else if (!m_traits.keyed)
                m_plan.window = target->window;
            break;
        }
        case RequestAction::AnswerNotRun:
            refusal = refuseNotRun(statusUnavailable, "no backend server could take it");
            break;
        case RequestAction::AnswerRan:
            refusal = refuse(statusBadGateway, header::runRan, "it ran, but its answer is lost");
            break;
        case RequestAction::Revoke:
        case RequestAction::AnswerUnknown:
            // The agent may have been stopped as planned since the claim was read.
            refusal = followClaimAgain(statusTimeout,
                                       "no whole answer came; whether it ran is not known");
            break;
        }
        if (refusal)
            return finish(std::move(*refusal));
    }
}

RetryAllowance RequestFlow::allowance(const DispatchEvent &event)
{
    RetryAllowance allowance;
    allowance.timeLeft = BootClock::now() + m_forwarder.m_settings.minTimeForRetry < m_deadline;
    allowance.attemptsLeft = m_attempts < m_forwarder.m_settings.maxAttempts;
    // Of all retries, only those that may run an idempotent request again consume the budget.
    const bool needsBudget =
        std::holds_alternative<ContactLost>(event) || std::holds_alternative<RunUnknown>(event);
    if (needsBudget && m_traits.idempotent && !m_traits.exclusive && allowance.timeLeft
        && allowance.attemptsLeft)
        allowance.budgetLeft = m_forwarder.takeFromBudget();
    return allowance;
}

std::optional<HttpResponse> RequestFlow::chooseTarget()
{
    const auto target = m_forwarder.m_routing.acquire(m_route.service, m_deadline,
                                                      m_limits.queueLength, m_triedWorkers);
    if (target) {
        m_plan = {*target, m_forwarder.newRequestId(), target->window};
        return std::nullopt;
    }
    switch (target.error()) {
    case RoutingTable::Refusal::NoBackend:
        return refuseNotRun(statusUnavailable, "no backend server is there for the service");
    case RoutingTable::Refusal::Overloaded:
        return refuseNotRun(statusUnavailable, "overloaded");
    case RoutingTable::Refusal::DeadlineExceeded:
        break;
    }
    return refuseNotRun(statusTimeout, "no backend server became free in time");
}

std::uint64_t RequestFlow::windowOf(const RouteTarget &target)
{
    if (target.window != 0)
        return target.window;
    const Result<WindowReply> reply =
        m_forwarder.m_agents.window(target.rpcAddress, m_forwarder.m_settings.revokeTimeout);
    if (!reply || reply->incarnation != target.incarnation)
        return 0;
    m_forwarder.m_routing.updateWindow(target.worker, reply->window);
    return reply->window;
}

Result<Outcome> RequestFlow::commitClaim(const RouteTarget &target, std::uint64_t window)
{
    Claim proposed;
    proposed.service = m_route.service;
    proposed.key = m_key;
    proposed.requestHash = hashOf(*m_request);
    proposed.requestId = m_forwarder.newRequestId();
    proposed.worker = target.worker;
    proposed.incarnation = target.incarnation;
    proposed.window = window;
    if (m_claim)
        return m_forwarder.m_commands.execute(MoveClaim{m_claim->requestId, proposed});
    return m_forwarder.m_commands.execute(ClaimKey{proposed});
}

bool RequestFlow::mayClaimAgain() const
{
    return m_claimAttempts < m_forwarder.m_settings.maxAttempts
        && BootClock::now() + m_forwarder.m_settings.minTimeForRetry < m_deadline;
}

std::optional<HttpResponse> RequestFlow::claim()
{
    ++m_claimAttempts;
    // A claim needs a backend server. If there is none, an earlier claim may still exist, so
    // whether the request ran is unknown.
    if (chooseTarget())
        return refuse(statusUnavailable, header::runUnknown,
                      "no backend server can take it; whether an earlier copy ran is not known");
    const RouteTarget target = m_plan.target;
    const std::uint64_t window = windowOf(target);
    if (window == 0) {
        // The agent may have been stopped. Nothing has been claimed for it by this request.
        m_forwarder.m_routing.release(m_route.service, target.worker, DispatchResult::Failed, {});
        m_triedWorkers.push_back(target.worker);
        logEvent(LogLevel::Info, "agent-without-window",
                 {{"key_hash", hexOf(hashBytes(m_key))},
                  {"worker", target.worker},
                  {"incarnation", target.incarnation},
                  {"claim_attempts", m_claimAttempts}});
        if (mayClaimAgain())
            return claim();
        return refuse(statusUnavailable, header::runUnknown,
                      "the key could not be claimed: the agent does not answer");
    }
    Result<Outcome> outcome = commitClaim(target, window);
    m_forwarder.m_routing.release(m_route.service, target.worker, DispatchResult::Busy, {});
    if (!outcome)
        return refuse(statusUnavailable, header::runUnknown,
                      "the key could not be claimed: " + outcome.error().message);
    return std::visit(
        Overloaded{[&](const ClaimGranted &granted) { return followClaim(granted.claim); },
                   [&](const Rejected &rejected) -> std::optional<HttpResponse> {
                       return refuseNotRun(statusUnprocessable, rejected.reason);
                   },
                   [&](const auto &) -> std::optional<HttpResponse> {
                       return refuse(statusUnavailable, header::runUnknown,
                                     "the key could not be claimed");
                   }},
        *outcome);
}

std::optional<HttpResponse> RequestFlow::followClaimAgain(int status, const std::string &refusal)
{
    if (!m_claim)
        return refuse(status, header::runUnknown, refusal);
    ++m_claimAttempts;
    // The claim exists, so this only reads it.
    const Result<Outcome> outcome = m_forwarder.m_commands.execute(ClaimKey{*m_claim});
    const auto *granted = outcome ? std::get_if<ClaimGranted>(&*outcome) : nullptr;
    const Claim none;
    const Claim &claim = granted != nullptr ? granted->claim : none;
    logEvent(LogLevel::Info, "claim-read-again",
             {{"from_request", m_claim->requestId},
              {"request", claim.requestId},
              {"worker", claim.worker},
              {"incarnation", claim.incarnation},
              {"end", nameOf(claim)},
              {"failure", outcome ? std::string() : outcome.error().message}});
    // A claim with another expiry replaces one that has expired and tells nothing about that one.
    const bool known = granted != nullptr && claim.expiresAt == m_claim->expiresAt;
    const bool goesOn = claim.end == ClaimEnd::NotRun || claim.requestId != m_claim->requestId;
    if (known && (claim.answer || (goesOn && mayClaimAgain())))
        return followClaim(claim);
    return refuse(status, header::runUnknown, refusal);
}

std::optional<HttpResponse> RequestFlow::followClaim(const Claim &claim)
{
    if (m_claim && m_claim->requestId != claim.requestId)
        logEvent(LogLevel::Info, "claim-moved",
                 {{"from_request", m_claim->requestId},
                  {"request", claim.requestId},
                  {"worker", claim.worker},
                  {"incarnation", claim.incarnation}});
    m_claim = claim;
    m_plan.id = claim.requestId;
    if (claim.answer)
        return responseOf(*claim.answer);
    if (claim.end == ClaimEnd::NotRun && mayClaimAgain()) {
        // Its agent was stopped as planned and has not run it: the claim moves to another.
        m_triedWorkers.push_back(claim.worker);
        return this->claim();
    }
    if (claim.end != ClaimEnd::Open)
        return refuse(statusBadGateway, header::runUnknown,
                      "the agent that may have run it was stopped, and its answer is not kept");
    const std::optional<RouteTarget> target =
        m_forwarder.m_routing.acquireAt(claim.worker, claim.incarnation);
    if (!target) {
        // The record of what ran is lost with the agent's process, unless it was stopped as
        // planned since the claim was read.
        return followClaimAgain(statusConflict,
                                "the agent that may have run it is gone; it will not be run again");
    }
    m_plan = {*target, claim.requestId, claim.window};
    return std::nullopt;
}

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

HttpResponse RequestFlow::refuse(int status, std::string_view run, const std::string &message) const
{
    m_forwarder.m_refusals.Increment();
    const Claim none;
    const Claim &claim = m_claim ? *m_claim : none;
    logEvent(LogLevel::Info, "request-refused",
             {{"request", m_plan.id},
              {"key_hash", m_traits.keyed ? hexOf(hashBytes(m_key)) : std::string()},
              {"run", run},
              {"status", status},
              {"reason", message},
              {"attempts", m_attempts},
              {"claim_worker", claim.worker},
              {"claim_incarnation", claim.incarnation},
              {"claim_window", claim.window},
              {"time_left_ms", toMs(m_deadline - BootClock::now())}});
    HttpResponse response = HttpResponse::json(status, {{"error", message}, {"run", run}});
    response.headers.set(header::run, std::string(run));
    return response;
}

HttpResponse RequestFlow::refuseNotRun(int status, const std::string &message) const
{
    // An earlier dispatch whose answer was lost may have run the request.
    return refuse(status, m_mayHaveRun ? header::runUnknown : header::runNotRun, message);
}

HttpResponse RequestFlow::finish(HttpResponse response) const
{
    response.headers.remove(header::window);
    response.headers.remove(header::incarnation);
    response.headers.remove(header::refusal);
    response.headers.remove("Content-Length");
    response.headers.remove("Connection");
    response.headers.set(header::requestId, m_plan.id.value);
    response.headers.set(header::traceparent, m_trace.header());
    if (m_claim)
        response.headers.set(header::keyExpires, std::to_string(m_claim->expiresAt));
    return response;
}

} // namespace guavashift
