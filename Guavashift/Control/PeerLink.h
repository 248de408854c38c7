#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Rpc/Rpc.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace guavashift {

/// Sends messages to one other replica, in order, on its own thread. Messages that cannot be sent
/// are dropped; the consensus protocol repeats those that are needed. A full queue drops its oldest
/// message.
class PeerLink final
{
public:
    /// Sends `ownAddress` with each batch of messages, so that the peer can answer before it knows
    /// the membership.
    PeerLink(const RpcSettings &settings, const Address &address, std::string ownAddress);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Queues a message. Thread-safe, does not block on the network.
    void send(Envelope envelope);
    [[nodiscard]] const Address &address() const { return m_client.address(); }

private:
    void run();

    RpcClient m_client;
    std::string m_ownAddress;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::vector<Envelope> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace guavashift
