#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Rpc/Rpc.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace guavashift {

/// Asks all control addresses once a second to take this replica in, while that is wished.
class JoinLoop final
{
public:
    JoinLoop(const RpcSettings &settings, Member self, std::vector<std::string> addresses);
    ~JoinLoop();
    JoinLoop(const JoinLoop &) = delete;
    JoinLoop &operator=(const JoinLoop &) = delete;

    void setEnabled(bool wished) { m_isEnabled = wished; }

private:
    void run();
    void sendJoinRequests();

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
