#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/FleetMessages.h>

#include <functional>

namespace guavashift {

/// Forwards frames between control processes and nodes that cannot reach them directly. Reads only
/// the first frame of each connection, which names the control process.
class Relay final
{
public:
    /// `isControlAddress` returns whether an address is the channel of a control process. Only such
    /// addresses are relayed to.
    Relay(EventLoop &loop, const ChannelSettings &settings,
          std::function<bool(const std::string &)> isControlAddress);

    Result<void> open(const std::string &address);

private:
    struct Pair
    {
        std::unique_ptr<FrameConnection> inbound;
        std::unique_ptr<FrameConnection> outbound;
    };

    void accept(ACE_HANDLE handle);
    void receiveInbound(std::uint64_t id, std::string_view frame);
    void drop(std::uint64_t id);

    EventLoop &m_loop;
    ChannelSettings m_settings;
    std::function<bool(const std::string &)> m_isControlAddress;
    FrameListener m_listener;
    std::map<std::uint64_t, Pair> m_pairs;
    std::uint64_t m_nextId = 1;
};

} // namespace guavashift
