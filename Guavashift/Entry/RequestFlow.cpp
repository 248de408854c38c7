#include <Guavashift/Entry/RequestFlow.h>

#include <charconv>

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

} // namespace

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
