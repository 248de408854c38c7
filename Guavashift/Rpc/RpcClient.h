#pragma once

#include <Guavashift/Core/Address.h>
#include <Guavashift/Rpc/RpcSettings.h>

#include <memory>
#include <mutex>

namespace guavashift {

class JsonRpcCaller;

/// Calls methods of one other process over a persistent connection. Thread-safe; calls are
/// serialized.
class RpcClient final
{
public:
    RpcClient(const RpcSettings &settings, const Address &address);
    ~RpcClient();
    RpcClient(const RpcClient &) = delete;
    RpcClient &operator=(const RpcClient &) = delete;

    /// Calls `method` with the object `parameters`. Errors: Unavailable if nothing was sent,
    /// Timeout if no readable answer came, InvalidArgument if the server refused the call. Errors
    /// of the handler keep their own code.
    Result<Json> call(const std::string &method, const Json &parameters, Duration timeout);

    [[nodiscard]] const Address &address() const { return m_address; }

private:
    Address m_address;
    std::mutex m_mutex;
    std::unique_ptr<JsonRpcCaller> m_caller;
};

} // namespace guavashift
