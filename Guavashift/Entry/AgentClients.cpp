#include <Guavashift/Entry/AgentClients.h>

namespace guavashift {

AgentClients::AgentClients(const RpcSettings &settings)
    : m_settings(settings)
{
}

Result<Json> AgentClients::call(const std::string &address, const std::string &method,
                                const Json &parameters, Duration timeout)
{
    const Result<Address> parsed = Address::parse(address);
    if (!parsed)
        return tl::unexpected(parsed.error());
    std::shared_ptr<RpcClient> client;
    {
        const std::lock_guard lock(m_mutex);
        std::shared_ptr<RpcClient> &cached = m_clients[address];
        if (!cached)
            cached = std::make_shared<RpcClient>(m_settings, *parsed);
        client = cached;
    }
    return client->call(method, parameters, timeout);
}

Result<RevokeReply> AgentClients::revoke(const std::string &address, const RevokeRequest &request,
                                         Duration timeout)
{
    const Result<Json> answer = call(address, method::revoke, request, timeout);
    if (!answer)
        return tl::unexpected(answer.error());
    return answer->get<RevokeReply>();
}

Result<WindowReply> AgentClients::window(const std::string &address, Duration timeout)
{
    const Result<Json> answer = call(address, method::window, Json::object(), timeout);
    if (!answer)
        return tl::unexpected(answer.error());
    return answer->get<WindowReply>();
}

} // namespace guavashift
