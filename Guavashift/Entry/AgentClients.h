#pragma once

#include <Guavashift/Control/Control.h>

#include <map>
#include <memory>
#include <mutex>

namespace guavashift {

/// Calls agents by RPC, over one client per address whose connections stay open. Thread-safe.
class AgentClients final
{
public:
    explicit AgentClients(const RpcSettings &settings);

    /// Asks the agent to revoke a request.
    Result<RevokeReply> revoke(const std::string &address, const RevokeRequest &request,
                               Duration timeout);
    /// Asks the agent for its incarnation and current window.
    Result<WindowReply> window(const std::string &address, Duration timeout);

private:
    Result<Json> call(const std::string &address, const std::string &method, const Json &parameters,
                      Duration timeout);

    RpcSettings m_settings;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<RpcClient>> m_clients;
};

} // namespace guavashift
