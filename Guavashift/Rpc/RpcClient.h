#pragma once

#include <Guavashift/Core/Address.h>
#include <Guavashift/Rpc/RpcSettings.h>

#include <memory>
#include <mutex>

namespace guavashift {

class JsonRpcCaller;

/// Calls methods of one other process over one connection that stays open. Calls from several
/// threads follow one another.
class RpcClient final
{
public:
    RpcClient(const RpcSettings &settings, const Address &address);
    ~RpcClient();
    RpcClient(const RpcClient &) = delete;
    RpcClient &operator=(const RpcClient &) = delete;

    /// Calls `method` with the object `parameters`. Unavailable if nothing was sent, Timeout if no
    /// answer came; errors of the server come back with their own code.
    Result<Json> call(const std::string &method, const Json &parameters, Duration timeout);

    [[nodiscard]] const Address &address() const { return m_address; }

private:
    Address m_address;
    std::mutex m_mutex;
    std::unique_ptr<JsonRpcCaller> m_caller;
};

} // namespace guavashift
