#include <Daemon/AdminServer.h>

#include <Guavashift/Rpc/Rpc.h>

namespace guavashift {

namespace {

constexpr unsigned maxConnections = 64;
/// Larger bodies, such as patches, are refused before they are read.
constexpr std::size_t maxBodyBytes = 4 << 20;

} // namespace

HttpServerSettings AdminServer::serverSettings(const DaemonSettings &settings)
{
    HttpServerSettings http;
    if (const Result<Address> address = Address::parse(settings.adminListen)) {
        http.ip = address->ip;
        http.port = address->port;
    }
    http.maxConnections = maxConnections;
    http.maxBodyBytes = maxBodyBytes;
    return http;
}

AdminServer::AdminServer(const DaemonSettings &settings, Telemetry &telemetry,
                         const RoleHealth &health)
    : m_telemetry(telemetry)
    , m_health(health)
    , m_server(serverSettings(settings),
               [this](const HttpRequest &request) { return m_router.route(request); })
{
    m_router.add("GET", "/health", [](const HttpRequest &) {
        return HttpResponse::json(200, {{"alive", true}});
    });
    m_router.add("GET", "/ready", [this](const HttpRequest &) { return describeHealth(); });
    m_router.add("GET", "/metrics", [this](const HttpRequest &) {
        return HttpResponse::text(200, m_telemetry.metrics().exposition());
    });
}

HttpResponse AdminServer::describeHealth() const
{
    const Findings problems = m_health.problems();
    return HttpResponse::json(problems.empty() ? 200 : 503,
                              {{"ready", problems.empty()}, {"problems", problems}});
}

Result<void> AdminServer::start()
{
    return m_server.start();
}

} // namespace guavashift
