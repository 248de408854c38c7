#include <Guavashift/Control/JoinLoop.h>
#include <Guavashift/Control/Protocol.h>

namespace guavashift {

namespace {

constexpr Duration joinInterval = std::chrono::milliseconds(500);
constexpr Duration joinTimeout = std::chrono::milliseconds(300);

} // namespace

JoinLoop::JoinLoop(const RpcSettings &settings, Member self, std::vector<std::string> addresses)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_addresses(std::move(addresses))
    , m_thread([this] { run(); })
{
}

JoinLoop::~JoinLoop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    m_thread.join();
}

void JoinLoop::run()
{
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_wakeUp.wait_for(lock, joinInterval, [this] { return m_stopping; });
        if (m_stopping || !m_isEnabled)
            continue;
        lock.unlock();
        sendJoinRequests();
        lock.lock();
    }
}

void JoinLoop::sendJoinRequests()
{
    for (const std::string &text : m_addresses) {
        const Result<Address> address = Address::parse(text);
        if (!address || text == m_self.address)
            continue;
        // Replicas that do not lead ignore the request.
        RpcClient client(m_settings, *address);
        (void)client.call(method::join, {{"member", m_self}}, joinTimeout);
    }
}

} // namespace guavashift
