#include <Guavashift/Control/PeerLink.h>
#include <Guavashift/Control/Protocol.h>

namespace guavashift {

namespace {

constexpr Duration sendTimeout = std::chrono::milliseconds(500);
constexpr Duration failurePause = std::chrono::milliseconds(20);
constexpr std::size_t maxQueued = 256;

} // namespace

PeerLink::PeerLink(const RpcSettings &settings, const Address &address, std::string ownAddress)
    : m_client(settings, address)
    , m_ownAddress(std::move(ownAddress))
    , m_thread([this] { run(); })
{
}

PeerLink::~PeerLink()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    m_thread.join();
}

void PeerLink::send(Envelope envelope)
{
    {
        const std::lock_guard lock(m_mutex);
        // Limits the memory that an unreachable peer takes.
        if (m_queue.size() >= maxQueued)
            m_queue.erase(m_queue.begin());
        m_queue.push_back(std::move(envelope));
    }
    m_wakeUp.notify_one();
}

void PeerLink::run()
{
    std::unique_lock lock(m_mutex);
    for (;;) {
        m_wakeUp.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_stopping)
            return;
        std::vector<Envelope> batch = std::exchange(m_queue, {});
        lock.unlock();
        const Result<Json> sent = m_client.call(
            method::replicate, {{"address", m_ownAddress}, {"messages", batch}}, sendTimeout);
        lock.lock();
        if (!sent)
            m_wakeUp.wait_for(lock, failurePause, [this] { return m_stopping; });
    }
}

} // namespace guavashift
