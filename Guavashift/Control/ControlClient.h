#pragma once

#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Rpc/Rpc.h>

#include <map>
#include <memory>
#include <mutex>

namespace guavashift {

/// Finds the control leader and calls its methods. Thread-safe; calls are serialized.
class ControlClient final
{
public:
    ControlClient(const RpcSettings &settings, std::vector<std::string> addresses);

    /// Calls one replica after another until the leader has answered or `timeout` has passed.
    /// Returns the last error after that, and at once an error that another replica would give too.
    /// A call whose answer was lost is repeated, so it must be idempotent.
    Result<Json> call(const std::string &method, const Json &parameters, Duration timeout);

    /// Commits the commands in one log entry and returns their outcomes in order.
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
