#include <Guavashift/Agent/AgentRole.h>
#include <Guavashift/Routing/DispatchHeaders.h>

#include <random>

namespace guavashift {

namespace {

constexpr Duration backendLease = std::chrono::seconds(3);
constexpr unsigned maxEntryConnections = 64;
constexpr unsigned rpcHandlerThreads = 2;
/// Limit of the bodies of kept answers that a stopping agent hands over.
constexpr std::size_t maxHandedOverBytes = 1 << 20;
constexpr Duration handOverTimeout = std::chrono::seconds(2);

const RoleRegistration registration("agent", [](const RoleContext &context) {
    return std::make_unique<AgentRole>(context);
});

Incarnation newIncarnation()
{
    std::random_device device;
    return Incarnation{hexOf((static_cast<std::uint64_t>(device()) << 32U) | device())};
}

} // namespace

AgentRole::AgentRole(const RoleContext &context)
    : m_settings(context.settings)
    , m_telemetry(context.telemetry)
    , m_health(context.health)
    , m_admin(context.admin)
{
}

Result<void> AgentRole::start()
{
    const Incarnation incarnation = newIncarnation();
    m_client = std::make_unique<HttpClient>(HttpClientSettings());
    m_platform = std::make_unique<HttpPlatform>(*m_client, m_settings.platformAddress);
    m_requestHandler = std::make_unique<AgentRequestHandler>(RequestGateSettings(), incarnation,
                                                             backendLease, *m_client);

    RpcSettings rpc;
    rpc.clusterId = m_settings.clusterId;
    rpc.clusterKey = m_settings.clusterKey;
    m_control = std::make_unique<ControlClient>(rpc, m_settings.controlAddresses);

    // Servers listen before the first announcement, which contains their addresses.
    const Result<Address> listen = Address::parse(m_settings.agentListen);
    const Result<Address> rpcListen = Address::parse(m_settings.agentRpcListen);
    if (!listen)
        return tl::unexpected(listen.error());
    if (!rpcListen)
        return tl::unexpected(rpcListen.error());
    HttpServerSettings http;
    http.ip = listen->ip;
    http.port = listen->port;
    http.maxConnections = maxEntryConnections;
    http.maxBodyBytes = 64 << 20;
    m_server = std::make_unique<HttpServer>(
        http, [this](const HttpRequest &request) { return serve(request); });
    if (Result<void> started = m_server->start(); !started)
        return started;
    rpc.handlerThreads = rpcHandlerThreads;
    m_rpcServer = std::make_unique<RpcServer>(rpc, *rpcListen);
    m_rpcServer->add(method::revoke, [this](const Json &json) -> Result<Json> {
        return Json(m_requestHandler->revoke(json.get<RevokeRequest>()));
    });
    m_rpcServer->add(method::window, [this](const Json &) -> Result<Json> {
        return Json(m_requestHandler->window());
    });
    if (Result<void> started = m_rpcServer->start(); !started)
        return started;

    WorkerFacts facts;
    facts.incarnation = incarnation;
    facts.failureDomain = m_settings.failureDomain;
    facts.rack = m_settings.rack;
    facts.capacity = m_settings.capacity;
    facts.httpAddress = Address{listen->ip, m_server->port()}.text();
    facts.rpcAddress = m_rpcServer->address().text();
    m_loop =
        std::make_unique<AgentLoop>(AgentLoopSettings(), WorkerId{m_settings.vm}, facts, *m_control,
                                    *m_platform, *m_requestHandler, m_configuration);
    addAdminEndpoints();
    m_loop->start();
    return {};
}

void AgentRole::addAdminEndpoints()
{
    m_health.add("agent", [this]() -> std::optional<std::string> {
        if (!m_loop->isConnected())
            return "no control leader has answered yet";
        return std::nullopt;
    });
    m_admin.add("POST", "/backend/announce", [this](const HttpRequest &request) {
        try {
            m_requestHandler->announce(Json::parse(request.body).get<BackendAnnouncement>());
            m_loop->wake();
            return HttpResponse::json(200, {{"announced", true}});
        } catch (const Json::exception &error) {
            return HttpResponse::json(400, {{"error", error.what()}});
        }
    });
}

HttpResponse AgentRole::serve(const HttpRequest &request)
{
    Span span = m_telemetry.tracer().startSpan("agent", request.headers.find(header::traceparent));
    HttpRequest forwarded = request;
    forwarded.headers.set(header::traceparent, span.context().header());
    HttpResponse response = m_requestHandler->handle(
        forwarded, m_configuration.documentAt(BootClock::now()) != nullptr);
    span.tag("status", std::to_string(response.status));
    return response;
}

void AgentRole::drain()
{
    m_health.add("agent", [] { return std::optional<std::string>("leaving"); });
    m_requestHandler->startLeaving();
    m_loop->wake();
    if (!m_requestHandler->waitUntilIdle(std::chrono::seconds(m_settings.drainSeconds)))
        logEvent(LogLevel::Warning, "drain-incomplete",
                 {{"in_flight", m_requestHandler->inFlight()}});
    handOver();
}

void AgentRole::handOver()
{
    const HandOver report = m_requestHandler->handOver(maxHandedOverBytes);
    const std::vector<CommandBody> commands = report.commands(WorkerId{m_settings.vm});
    for (std::size_t i = 0; i < commands.size(); ++i) {
        const Result<Outcome> outcome = m_control->execute(commands[i], handOverTimeout);
        if (!outcome) {
            logEvent(LogLevel::Warning, "hand-over-failed",
                     {{"incarnation", report.incarnation},
                      {"answers", report.answers.size()},
                      {"without_answer", report.withoutAnswer.size()},
                      {"commands", commands.size()},
                      {"committed", i},
                      {"error", outcome.error().message}});
            return;
        }
    }
    logEvent(LogLevel::Info, "handed-over",
             {{"incarnation", report.incarnation},
              {"answers", report.answers.size()},
              {"without_answer", report.withoutAnswer.size()},
              {"oldest_window", report.oldestWindow}});
}

void AgentRole::stop()
{
    m_health.remove("agent");
    if (m_loop)
        m_loop->stop();
    if (m_server)
        m_server->stop();
    if (m_rpcServer)
        m_rpcServer->stop();
}

} // namespace guavashift
