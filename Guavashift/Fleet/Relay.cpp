#include <Guavashift/Fleet/Relay.h>

#include <unistd.h>

namespace guavashift {

namespace {

/// Connections that one node relays at a time; further ones are closed.
constexpr std::size_t maxPairs = 64;

} // namespace

Relay::Relay(EventLoop &loop, const ChannelSettings &settings,
             std::function<bool(const std::string &)> isControlAddress)
    : m_loop(loop)
    , m_settings(settings)
    , m_isControlAddress(std::move(isControlAddress))
    , m_listener(loop, [this](ACE_HANDLE handle) { accept(handle); })
{
}

Result<void> Relay::open(const std::string &address)
{
    return m_listener.open(address);
}

void Relay::accept(ACE_HANDLE handle)
{
    if (m_pairs.size() >= maxPairs) {
        ::close(handle);
        return;
    }
    const std::uint64_t id = m_nextId++;
    Pair &pair = m_pairs[id];
    pair.inbound = std::make_unique<FrameConnection>(m_loop, m_settings);
    pair.inbound->setHandlers([this, id](std::string_view frame) { receiveInbound(id, frame); },
                              [this, id](std::string_view) { drop(id); });
    pair.inbound->adopt(handle);
}

void Relay::receiveInbound(std::uint64_t id, std::string_view frame)
{
    Pair &pair = m_pairs.at(id);
    if (pair.outbound) {
        pair.outbound->send(frame);
        return;
    }
    const std::optional<FleetMessage> message = decodeFrame(frame);
    const auto *target = message ? std::get_if<RelayTo>(&*message) : nullptr;
    if (target == nullptr || !m_isControlAddress(target->address)) {
        m_loop.post([this, id] { drop(id); });
        return;
    }
    logEvent(LogLevel::Info, "relaying", {{"to", target->address}});
    pair.outbound = std::make_unique<FrameConnection>(m_loop, m_settings);
    pair.outbound->setHandlers(
        [this, id](std::string_view answer) {
            const auto found = m_pairs.find(id);
            if (found != m_pairs.end())
                found->second.inbound->send(answer);
        },
        [this, id](std::string_view) { drop(id); });
    pair.outbound->connect(target->address);
}

void Relay::drop(std::uint64_t id)
{
    m_pairs.erase(id);
}

} // namespace guavashift
