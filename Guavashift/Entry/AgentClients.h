#pragma once

#include <Guavashift/Control/Control.h>

#include <map>
#include <memory>
#include <mutex>

namespace guavashift {

/// Asks agents about requests. Connections stay open. Thread-safe.
class AgentClients final
{
public:
    explicit AgentClients(const RpcSettings &settings);

    Result<RevokeReply> revoke(const std::string &address, const RevokeRequest &request,
                               Duration timeout);
    Result<WindowReply> window(const std::string &address, Duration timeout);

private:
    Result<Json> call(const std::string &address, const std::string &method, const Json &parameters,
                      Duration timeout);

    RpcSettings m_settings;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<RpcClient>> m_clients;
};

} // namespace guavashift
