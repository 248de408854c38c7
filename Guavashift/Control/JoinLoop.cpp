#include <Guavashift/Control/JoinLoop.h>
#include <Guavashift/Control/Protocol.h>

#include <algorithm>
#include <set>

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
    // The leader may be none of the addresses: they may be those of an earlier time.
    std::set<std::string> leaders;
    for (const std::string &address : m_addresses) {
        if (std::optional<std::string> leader = requestFrom(address))
            leaders.insert(std::move(*leader));
    }
    for (const std::string &leader : leaders) {
        if (std::find(m_addresses.begin(), m_addresses.end(), leader) == m_addresses.end())
            (void)requestFrom(leader);
    }
}

std::optional<std::string> JoinLoop::requestFrom(const std::string &address)
{
    const Result<Address> parsed = Address::parse(address);
    if (!parsed || address == m_self.address)
        return std::nullopt;
    RpcClient client(m_settings, *parsed);
    const Result<Json> answer = client.call(method::join, {{"member", m_self}}, joinTimeout);
    return answer ? std::nullopt : leaderHint(answer.error());
}

} // namespace guavashift
