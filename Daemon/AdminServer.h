#pragma once

#include <Guavashift/Http/Http.h>
#include <Guavashift/Settings/Settings.h>
#include <Guavashift/Telemetry/Telemetry.h>

namespace guavashift {

/// Administration server of the process: /health, /ready, /metrics and the endpoints of its roles.
class AdminServer final
{
public:
    AdminServer(const DaemonSettings &settings, Telemetry &telemetry, const RoleHealth &health);

    [[nodiscard]] HttpRouter &router() { return m_router; }

    Result<void> start();
    void stop() { m_server.stop(); }
    [[nodiscard]] std::uint16_t port() const { return m_server.port(); }

private:
    static HttpServerSettings serverSettings(const DaemonSettings &settings);
    [[nodiscard]] HttpResponse describeHealth() const;

    Telemetry &m_telemetry;
    const RoleHealth &m_health;
    HttpRouter m_router;
    HttpServer m_server;
};

} // namespace guavashift
