#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Rpc/Rpc.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace guavashift {

/// Requests membership for this replica from all control addresses, and from the leader that they
/// name, at a fixed interval while enabled.
class JoinLoop final
{
public:
    JoinLoop(const RpcSettings &settings, Member self, std::vector<std::string> addresses);
    ~JoinLoop();
    JoinLoop(const JoinLoop &) = delete;
    JoinLoop &operator=(const JoinLoop &) = delete;

    /// Thread-safe.
    void setEnabled(bool enabled) { m_isEnabled = enabled; }

private:
    void run();
    void sendJoinRequests();
    /// Asks one control process. Returns the address of the leader if it names another one.
    [[nodiscard]] std::optional<std::string> requestFrom(const std::string &address);

    RpcSettings m_settings;
    Member m_self;
    std::vector<std::string> m_addresses;
    std::atomic<bool> m_isEnabled = false;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace guavashift
