#pragma once

#include <Guavashift/Core/Address.h>
#include <Guavashift/Rpc/RpcSettings.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace guavashift {

/// Answers method calls of other own processes. Connections are read by one ACE reactor thread;
/// handlers run on a fixed number of threads.
class RpcServer final
{
public:
    /// Gets the parameters as an object; may throw Json::exception for a malformed one.
    using Handler = std::function<Result<Json>(const Json &parameters)>;

    RpcServer(const RpcSettings &settings, const Address &address);
    ~RpcServer();
    RpcServer(const RpcServer &) = delete;
    RpcServer &operator=(const RpcServer &) = delete;

    /// Adds a method. Only before start().
    void add(std::string method, Handler handler);

    Result<void> start();
    void stop();

    /// The address listened on, with the port that the system chose if it was 0.
    [[nodiscard]] Address address() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace guavashift
