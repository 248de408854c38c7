#pragma once

#include <Guavashift/Entry/AdminApi.h>
#include <Guavashift/Entry/RequestForwarder.h>
#include <Guavashift/Settings/Settings.h>

#include <atomic>
#include <thread>

namespace guavashift {

/// Role `entry`: serves callers' requests and the administration API for operators.
class EntryRole final : public Role
{
public:
    explicit EntryRole(const RoleContext &context);

    Result<void> start() override;
    void drain() override;
    void stop() override;

private:
    HttpResponse serve(const HttpRequest &request);
    void runHeartbeats();
    void sendHeartbeat();
    void startServing();
    [[nodiscard]] std::optional<std::string> problem() const;

    const DaemonSettings &m_settings;
    Telemetry &m_telemetry;
    RoleHealth &m_health;
    HttpRouter &m_admin;
    LeasedConfiguration m_configuration;
    std::unique_ptr<HttpClient> m_client;
    std::unique_ptr<ControlClient> m_heartbeatControl;
    std::unique_ptr<ControlClient> m_commandControl;
    std::unique_ptr<ControlClient> m_adminControl;
    std::unique_ptr<RoutingTable> m_routing;
    std::unique_ptr<CommandBatcher> m_commands;
    std::unique_ptr<AgentClients> m_agents;
    std::unique_ptr<RequestForwarder> m_forwarder;
    // Destroyed before the forwarder, which the slower copy of a hedged request may still use.
    std::unique_ptr<ThreadPool> m_pool;
    std::unique_ptr<AdminApi> m_adminApi;
    std::unique_ptr<HttpServer> m_server;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_stopping = false;
    std::atomic<bool> m_serving = false;
    std::atomic<bool> m_draining = false;
    std::atomic<std::size_t> m_inFlight = 0;
    std::thread m_heartbeats;
};

} // namespace guavashift
