#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Rpc/Rpc.h>

#include <condition_variable>
#include <mutex>
#include <thread>

namespace guavashift {

/// Sends messages to one other replica, in order, on a thread of its own. Messages that cannot be
/// sent are dropped: the replicas send again what matters.
class PeerLink final
{
public:
    /// `ownAddress` is told along, so that the other side can answer before it knows the members.
    PeerLink(const RpcSettings &settings, const Address &address, std::string ownAddress);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

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
