#pragma once

#include <memory>
#include <string>

namespace guavashift {

/// One connection to a JSON-RPC server over ACE TCP. Plain C++14, because the client headers of
/// libjsonrpccpp do not compile as later C++. Not thread-safe.
class JsonRpcCaller final
{
public:
    enum class Outcome {
        Ok,
        NotSent, ///< The connection failed; nothing was sent.
        Lost,    ///< The call may have been sent, but no complete answer came.
        Refused, ///< The server answered with an error, or the parameters are not JSON.
    };

    JsonRpcCaller(std::string ip, unsigned short port, std::string hello, long connectTimeoutMs,
                  unsigned long maxFrameBytes);
    ~JsonRpcCaller();
    JsonRpcCaller(const JsonRpcCaller &) = delete;
    JsonRpcCaller &operator=(const JsonRpcCaller &) = delete;

    /// Calls `method` with the JSON object `parameters` and writes the JSON result to `result`, or
    /// the error text if the call failed. Connects first if needed.
    Outcome call(const std::string &method, const std::string &parameters, long timeoutMs,
                 std::string &result);

private:
    class Connector;
    std::unique_ptr<Connector> m_connector;
};

} // namespace guavashift
