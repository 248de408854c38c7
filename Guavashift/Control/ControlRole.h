#pragma once

#include <Guavashift/Control/ControlNode.h>
#include <Guavashift/Http/Http.h>
#include <Guavashift/Settings/Settings.h>

namespace guavashift {

/// The role `control`: runs a ControlNode and its RPC server.
class ControlRole final : public Role
{
public:
    explicit ControlRole(const RoleContext &context);

    Result<void> start() override;
    void drain() override;
    void stop() override;

private:
    void addAdminEndpoints();

    const DaemonSettings &m_settings;
    Telemetry &m_telemetry;
    RoleHealth &m_health;
    HttpRouter &m_admin;
    std::unique_ptr<ControlNode> m_node;
    std::unique_ptr<RpcServer> m_server;
};

} // namespace guavashift
