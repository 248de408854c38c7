#pragma once

#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Rpc/Rpc.h>

#include <map>
#include <memory>
#include <mutex>

namespace guavashift {

/// Finds the control leader and calls it. Thread-safe; calls follow one another.
class ControlClient final
{
public:
    ControlClient(const RpcSettings &settings, std::vector<std::string> addresses);

    /// Asks one replica after the other until the leader has answered or `timeout` has passed. If
    /// an answer was lost, the call is repeated, so it must be idempotent.
    Result<Json> call(const std::string &method, const Json &parameters, Duration timeout);

    /// Commits the commands together and returns their outcomes in order.
    Result<std::vector<Outcome>> execute(const std::vector<CommandBody> &commands,
                                         Duration timeout);

    /// Commits one command.
    Result<Outcome> execute(const CommandBody &command, Duration timeout);

private:
    RpcClient &clientFor(const std::string &address);
    void nextAddress();

    RpcSettings m_settings;
    std::vector<std::string> m_addresses;
    std::mutex m_mutex;
    std::size_t m_position = 0;
    std::string m_current;
    std::map<std::string, std::unique_ptr<RpcClient>> m_clients;
};

} // namespace guavashift
