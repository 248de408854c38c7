#pragma once

#include <Guavashift/Agent/AgentLoop.h>
#include <Guavashift/Agent/HttpPlatform.h>
#include <Guavashift/Settings/Settings.h>
#include <Guavashift/Telemetry/Telemetry.h>

namespace guavashift {

/// The role `agent`: passes requests to the backend servers of one worker, and runs the tasks that
/// the scheduler places on the worker.
class AgentRole final : public Role
{
public:
    explicit AgentRole(const RoleContext &context);

    Result<void> start() override;
    void drain() override;
    void stop() override;

private:
    /// Reports to control what has run, with the answers that callers may still ask for.
    void handOver();
    void addAdminEndpoints();
    HttpResponse serve(const HttpRequest &request);

    const DaemonSettings &m_settings;
    Telemetry &m_telemetry;
    RoleHealth &m_health;
    HttpRouter &m_admin;
    LeasedConfiguration m_configuration;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<ControlClient> m_control;
    std::unique_ptr<HttpPlatform> m_platform;
    std::unique_ptr<AgentRequestHandler> m_requestHandler;
    std::unique_ptr<AgentLoop> m_loop;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<RpcServer> m_rpcServer;
};

} // namespace guavashift
