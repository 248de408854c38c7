#include <Guavashift/Agent/AgentRequestHandler.h>
#include <Guavashift/Routing/DispatchHeaders.h>

#include <charconv>

namespace guavashift {

namespace {

/// The caller's deadline does not end a run: the slot stays taken until the run has certainly
/// ended.
constexpr Duration maxRunTime = std::chrono::hours(1);

constexpr int statusBadRequest = 400;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusTimeout = 504;

template <typename Integer>
bool readNumber(const HttpRequest &request, std::string_view name, Integer &value)
{
    const std::optional<std::string_view> text = request.headers.find(name);
    if (!text)
        return false;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), value);
    return error == std::errc() && end == text->data() + text->size();
}

std::string textOf(const HttpRequest &request, std::string_view name)
{
    return std::string(request.headers.find(name).value_or(std::string_view()));
}

HttpResponse refusalResponse(int status, std::string_view run, std::string message)
{
    HttpResponse response = HttpResponse::json(status, {{"error", std::move(message)}});
    response.headers.add(std::string(header::run), std::string(run));
    return response;
}

std::string_view nameOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::WrongIncarnation:
        return "wrong-incarnation";
    case RefusalReason::StaleWindow:
        return "stale-window";
    case RefusalReason::Forgotten:
        return "forgotten";
    case RefusalReason::Revoked:
        return "revoked";
    case RefusalReason::Leaving:
        return "leaving";
    case RefusalReason::NoBackend:
        return "no-backend";
    case RefusalReason::LeaseExpired:
        return "lease-expired";
    case RefusalReason::Full:
        return "full";
    case RefusalReason::AlreadyRan:
        break;
    }
    return "already-ran";
}

/// Whether a header is about one connection, or only for the hop between entry and agent.
bool isHopHeader(std::string_view name)
{
    static constexpr std::string_view names[] = {"Connection",
                                                 "Keep-Alive",
                                                 "Transfer-Encoding",
                                                 "Content-Length",
                                                 "Host",
                                                 "TE",
                                                 "Trailer",
                                                 "Upgrade",
                                                 "Expect",
                                                 header::service,
                                                 header::incarnation,
                                                 header::window,
                                                 header::keyed,
                                                 header::once,
                                                 header::run,
                                                 header::refusal};
    return std::any_of(std::begin(names), std::end(names),
                       [&](std::string_view each) { return equalsIgnoringCase(each, name); });
}

} // namespace

AgentRequestHandler::AgentRequestHandler(const RequestGateSettings &settings,
                                         const Incarnation &incarnation, Duration backendLease,
                                         HttpClient &client)
    : m_client(client)
    , m_gate(settings, incarnation, BootClock::now())
    , m_registry(backendLease)
{
}

tl::expected<AgentRequestHandler::ParsedRequest, Findings>
AgentRequestHandler::parse(const HttpRequest &request)
{
    ParsedRequest parsed;
    Findings findings;
    parsed.dispatch.id.value = textOf(request, header::requestId);
    parsed.dispatch.incarnation.value = textOf(request, header::incarnation);
    parsed.dispatch.service.value = textOf(request, header::service);
    parsed.dispatch.keyed = request.headers.find(header::keyed).has_value();
    parsed.once = request.headers.find(header::once).has_value();
    std::int64_t timeoutMs = 0;
    if (parsed.dispatch.id.isEmpty())
        findings.push_back({std::string(header::requestId), "is missing"});
    if (parsed.dispatch.service.isEmpty())
        findings.push_back({std::string(header::service), "is missing"});
    if (!readNumber(request, header::window, parsed.dispatch.window))
        findings.push_back({std::string(header::window), "must be a number"});
    if (!readNumber(request, header::timeoutMs, timeoutMs) || timeoutMs < 0)
        findings.push_back({std::string(header::timeoutMs), "must be a number"});
    parsed.timeLeft = std::chrono::milliseconds(timeoutMs);
    if (!findings.empty())
        return tl::unexpected(std::move(findings));
    return parsed;
}

HttpResponse AgentRequestHandler::handle(const HttpRequest &request, bool leaseHeld)
{
    const auto parsed = parse(request);
    if (!parsed)
        return refusalResponse(statusBadRequest, header::runNotRun, describe(parsed.error()));
    const Instant now = BootClock::now();
    const Instant deadline = now + parsed->timeLeft;
    RequestDecision decision;
    {
        const std::lock_guard lock(m_mutex);
        m_gate.advance(now);
        m_gate.setLeaseHeld(leaseHeld);
        decision = m_gate.arrive(parsed->dispatch);
    }
    if (const auto *refusal = std::get_if<RefuseRequest>(&decision))
        logEvent(LogLevel::Info, "request-refused",
                 {{"request", parsed->dispatch.id},
                  {"keyed", parsed->dispatch.keyed},
                  {"reason", nameOf(refusal->reason)},
                  {"not_run", refusal->certainlyNotRun},
                  {"incarnation", parsed->dispatch.incarnation},
                  {"window", parsed->dispatch.window},
                  {"lease_held", leaseHeld}});
    HttpResponse response = std::visit(
        Overloaded{[&](const RunRequest &now) { return run(*parsed, request, now.backend); },
                   [&](const WaitForSlot &) { return waitAndRun(*parsed, request, deadline); },
                   [&](const JoinRunning &) { return waitForAnswer(*parsed, deadline); },
                   [](const RepeatAnswer &repeat) { return *repeat.answer; },
                   [&](const RefuseRequest &refusal) { return refuse(refusal); }},
        decision);
    // Entries take the window from each answer and check that the answer belongs to their request.
    const std::lock_guard lock(m_mutex);
    response.headers.set(header::window, std::to_string(m_gate.window()));
    response.headers.set(header::incarnation, m_gate.incarnation().value);
    response.headers.set(header::requestId, parsed->dispatch.id.value);
    return response;
}

HttpResponse AgentRequestHandler::refuse(const RefuseRequest &refusal) const
{
    std::string_view run = header::runUnknown;
    if (refusal.certainlyNotRun)
        run = header::runNotRun;
    else if (refusal.reason == RefusalReason::AlreadyRan)
        run = header::runRan;
    HttpResponse response = refusalResponse(
        statusUnavailable, run, fmt::format("refused by the agent: {}", nameOf(refusal.reason)));
    response.headers.add(std::string(header::refusal), std::string(nameOf(refusal.reason)));
    return response;
}

HttpResponse AgentRequestHandler::waitAndRun(const ParsedRequest &parsed,
                                             const HttpRequest &request, Instant deadline)
{
    std::optional<TaskId> backend;
    {
        std::unique_lock lock(m_mutex);
        const auto settled = [&] {
            backend = m_gate.grantedBackend(parsed.dispatch.id);
            return backend.has_value() || !m_gate.isRunningOrWaiting(parsed.dispatch.id);
        };
        m_changed.wait_for(lock, deadline - BootClock::now(), settled);
        if (!backend) {
            // The deadline has passed, or the entry has revoked the request.
            m_gate.withdraw(parsed.dispatch.id);
            return refusalResponse(statusUnavailable, header::runNotRun,
                                   "no slot became free in time");
        }
    }
    return run(parsed, request, *backend);
}

HttpResponse AgentRequestHandler::waitForAnswer(const ParsedRequest &parsed, Instant deadline)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, deadline - BootClock::now(),
                       [&] { return !m_gate.isRunningOrWaiting(parsed.dispatch.id); });
    if (std::shared_ptr<const HttpResponse> answer = m_gate.answerOf(parsed.dispatch.id))
        return *answer;
    if (m_gate.isRunningOrWaiting(parsed.dispatch.id))
        return refusalResponse(statusTimeout, header::runUnknown, "the request still runs");
    return refusalResponse(statusBadGateway, header::runUnknown,
                           "the request ended without a whole answer");
}

HttpResponse AgentRequestHandler::run(const ParsedRequest &parsed, const HttpRequest &request,
                                      const TaskId &backend)
{
    std::string address;
    {
        const std::lock_guard lock(m_mutex);
        address = m_registry.addressOf(backend).value_or(std::string());
    }
    HttpCall call;
    call.address = address;
    call.method = request.method;
    call.target = request.target();
    call.body = request.body;
    call.timeout = maxRunTime;
    call.reuseConnection = !parsed.once;
    for (const HttpHeader &each : request.headers.all()) {
        if (!isHopHeader(each.name))
            call.headers.add(each.name, each.value);
    }
    tl::expected<HttpResponse, HttpFailure> answer =
        tl::unexpected(HttpFailure{HttpFailureStage::NotConnected, "the backend server left"});
    if (!address.empty())
        answer = m_client.send(call);

    RunEnd end;
    HttpResponse response;
    if (answer) {
        HttpHeaders headers;
        for (const HttpHeader &each : answer->headers.all()) {
            if (!isHopHeader(each.name))
                headers.add(each.name, each.value);
        }
        answer->headers = std::move(headers);
        end.answer = std::make_shared<HttpResponse>(std::move(*answer));
        response = *end.answer;
    } else if (answer.error().stage == HttpFailureStage::NotConnected) {
        end.notRun = true;
        response = refusalResponse(statusUnavailable, header::runNotRun,
                                   "backend server: " + answer.error().message);
    } else {
        response = refusalResponse(statusBadGateway, header::runUnknown,
                                   "backend server: " + answer.error().message);
    }
    {
        const std::lock_guard lock(m_mutex);
        (void)m_gate.finish(parsed.dispatch.id, end);
    }
    m_changed.notify_all();
    return response;
}

RevokeReply AgentRequestHandler::revoke(const RevokeRequest &request)
{
    RevokeReply reply;
    {
        const std::lock_guard lock(m_mutex);
        m_gate.advance(BootClock::now());
        reply = {m_gate.revoke(request), m_gate.window()};
    }
    m_changed.notify_all();
    return reply;
}

WindowReply AgentRequestHandler::window()
{
    const std::lock_guard lock(m_mutex);
    m_gate.advance(BootClock::now());
    return {m_gate.incarnation(), m_gate.window()};
}

void AgentRequestHandler::refreshBackends(Instant now)
{
    m_registry.expire(now);
    m_gate.updateBackends(m_registry.servers(m_leaving));
}

void AgentRequestHandler::announce(const BackendAnnouncement &announcement)
{
    const std::lock_guard lock(m_mutex);
    const Instant now = BootClock::now();
    if (m_registry.announce(announcement, now)) {
        logEvent(LogLevel::Info, "backend-announced",
                 {{"service", announcement.service},
                  {"task", announcement.task},
                  {"address", announcement.address},
                  {"leaving", announcement.leaving}});
        refreshBackends(now);
    }
}

std::vector<BackendServer> AgentRequestHandler::currentBackends()
{
    const std::lock_guard lock(m_mutex);
    refreshBackends(BootClock::now());
    return m_registry.servers(m_leaving);
}

void AgentRequestHandler::startLeaving()
{
    const std::lock_guard lock(m_mutex);
    m_leaving = true;
    m_gate.startLeaving();
    refreshBackends(BootClock::now());
}

bool AgentRequestHandler::waitUntilIdle(Duration timeout)
{
    std::unique_lock lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [this] { return m_gate.inFlight() == 0; });
}

HandOver AgentRequestHandler::handOver(std::size_t maxBytes)
{
    const std::lock_guard lock(m_mutex);
    m_gate.advance(BootClock::now());
    HandOver report;
    report.incarnation = m_gate.incarnation();
    report.oldestWindow = m_gate.oldestWindow(true);
    std::set<RequestId> answered;
    for (const auto &[id, response] : m_gate.newestAnswers(maxBytes)) {
        KeptAnswer answer;
        answer.requestId = id;
        answer.status = response->status;
        for (const HttpHeader &each : response->headers.all())
            answer.headers.emplace_back(each.name, each.value);
        answer.body.assign(response->body.begin(), response->body.end());
        answered.insert(id);
        report.answers.push_back(std::move(answer));
    }
    // The state keeps answers while there is room; the newest come last.
    std::reverse(report.answers.begin(), report.answers.end());
    for (RequestId &id : m_gate.acceptedKeyedRequests()) {
        if (!answered.contains(id))
            report.withoutAnswer.push_back(std::move(id));
    }
    return report;
}

std::size_t AgentRequestHandler::inFlight() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.inFlight();
}

std::size_t AgentRequestHandler::remembered() const
{
    const std::lock_guard lock(m_mutex);
    return m_gate.remembered();
}

} // namespace guavashift
