#pragma once

#include <Guavashift/Core/Address.h>
#include <Guavashift/Rpc/RpcSettings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace guavashift {

/// Answers method calls of the system's other processes. One ACE reactor thread reads all
/// connections; handlers run on a fixed number of threads.
class RpcServer final
{
public:
    /// Handles a call with the object `parameters`. May throw Json::exception if they are
    /// malformed; the caller then gets InvalidArgument.
    using Handler = std::function<Result<Json>(const Json &parameters)>;

    RpcServer(const RpcSettings &settings, const Address &address);
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    /// Adds a method. Only before start().
    void add(std::string method, Handler handler);

    /// Listens and starts the threads. Fails with Io if the address cannot be listened on.
    Result<void> start();

    /// Answers the calls received so far, then closes all connections.
    void stop();

    /// The listening address, with the port that the system chose if it was 0.
    [[nodiscard]] Address address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace guavashift
