#include <Guavashift/Entry/EntryRole.h>

#include <random>

namespace guavashift {

namespace {

constexpr Duration heartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration heartbeatTimeout = std::chrono::milliseconds(1500);
constexpr Duration commandTimeout = std::chrono::seconds(4);
constexpr Duration pollInterval = std::chrono::milliseconds(10);
/// Time for the platform's load balancer to detect that this entry is no longer ready.
constexpr Duration balancerDetectionTime = std::chrono::seconds(1);
constexpr std::size_t maxDispatchThreads = 512;
constexpr std::size_t maxBodyBytes = 64 << 20;

const RoleRegistration registration("entry", [](const RoleContext &context) {
    return std::make_unique<EntryRole>(context);
});

} // namespace

EntryRole::EntryRole(const RoleContext &context)
    : m_settings(context.settings)
    , m_telemetry(context.telemetry)
    , m_health(context.health)
    , m_admin(context.admin)
{
}

Result<void> EntryRole::start()
{
    RpcSettings rpc;
    rpc.clusterId = m_settings.clusterId;
    rpc.clusterKey = m_settings.clusterKey;
    const auto makeControl = [&] {
        return std::make_unique<ControlClient>(rpc, m_settings.controlAddresses);
    };
    // Separate connections, so that heartbeats never wait behind a commit.
    m_heartbeatControl = makeControl();
    m_commandControl = makeControl();
    m_adminControl = makeControl();

    std::random_device device;
    HttpClientSettings client;
    client.maxAnswerBytes = maxBodyBytes;
    m_client = std::make_unique<HttpClient>(client);
    m_routing = std::make_unique<RoutingTable>(RouterSettings(), device());
    m_commands = std::make_unique<CommandBatcher>(*m_commandControl, commandTimeout);
    m_agents = std::make_unique<AgentClients>(rpc);
    m_pool = std::make_unique<ThreadPool>(maxDispatchThreads);
    m_forwarder = std::make_unique<RequestForwarder>(RequestForwarderSettings(), m_configuration,
                                                     *m_routing, *m_client, *m_commands, *m_agents,
                                                     *m_pool, m_telemetry, m_settings.vm);
    m_adminApi = std::make_unique<AdminApi>(*m_adminControl, TokenGuard(m_settings.operatorToken));
    m_adminApi->addTo(m_admin);
    m_health.add("entry", [this] { return problem(); });

    const Result<Address> listen = Address::parse(m_settings.entryListen);
    if (!listen)
        return tl::unexpected(listen.error());
    HttpServerSettings http;
    http.ip = listen->ip;
    http.port = listen->port;
    http.maxConnections = m_settings.entryConnections;
    http.maxBodyBytes = maxBodyBytes;
    m_server = std::make_unique<HttpServer>(
        http, [this](const HttpRequest &request) { return serve(request); });
    // startServing() starts the server once the first configuration lease has been obtained.
    m_heartbeats = std::thread([this] { runHeartbeats(); });
    return {};
}

std::optional<std::string> EntryRole::problem() const
{
    if (m_draining)
        return "leaving";
    if (!m_serving)
        return "not listening yet";
    if (!m_configuration.documentAt(BootClock::now()))
        return "the configuration lease has run out";
    return std::nullopt;
}

HttpResponse EntryRole::serve(const HttpRequest &request)
{
    ++m_inFlight;
    HttpResponse response = m_forwarder->handle(request, m_settings.traceSamplePermille / 1000.0);
    --m_inFlight;
    return response;
}

void EntryRole::runHeartbeats()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        lock.unlock();
        sendHeartbeat();
        startServing();
        lock.lock();
        m_wakeUp.wait_for(lock, heartbeatInterval, [this] { return m_stopping; });
    }
}

void EntryRole::startServing()
{
    if (m_serving || m_draining || !m_configuration.documentAt(BootClock::now()))
        return;
    // The server starts only now, because a refused connection tells the load balancer more
    // clearly than an error response to use another entry.
    if (const Result<void> started = m_server->start(); !started) {
        logEvent(LogLevel::Error, "listen-failed", {{"reason", started.error().message}});
        return;
    }
    m_serving = true;
    logEvent(LogLevel::Info, "serving", {{"listen", m_settings.entryListen}});
}

void EntryRole::sendHeartbeat()
{
    HeartbeatRequest request;
    request.node = m_settings.vm;
    request.nodeKind = NodeKind::Entry;
    request.configVersion = m_configuration.version();
    request.routingVersion = m_routing->version();
    const Instant sent = BootClock::now();
    const Result<Json> answer =
        m_heartbeatControl->call(method::heartbeat, request, heartbeatTimeout);
    if (!answer) {
        logEvent(LogLevel::Warning, "heartbeat-failed", {{"reason", answer.error().message}});
        return;
    }
    try {
        const auto reply = answer->get<HeartbeatReply>();
        m_configuration.update(sent, reply);
        if (reply.routing)
            m_routing->update(*reply.routing);
    } catch (const Json::exception &error) {
        logEvent(LogLevel::Error, "heartbeat-unreadable", {{"reason", error.what()}});
    }
}

void EntryRole::drain()
{
    // The entry first reports that it is not ready, so that the load balancer stops sending.
    // Requests that still arrive are served.
    m_draining = true;
    m_server->startClosing();
    const Instant start = BootClock::now();
    const Instant end = start + std::chrono::seconds(m_settings.drainSeconds);
    while (BootClock::now() < start + balancerDetectionTime
           || (m_inFlight > 0 && BootClock::now() < end))
        std::this_thread::sleep_for(pollInterval);
    if (m_inFlight > 0)
        logEvent(LogLevel::Warning, "drain-incomplete", {{"in_flight", m_inFlight.load()}});
    m_server->stop();
}

void EntryRole::stop()
{
    m_health.remove("entry");
    if (m_server)
        m_server->stop();
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    if (m_heartbeats.joinable())
        m_heartbeats.join();
}

} // namespace guavashift
