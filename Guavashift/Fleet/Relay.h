#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/FleetMessages.h>

#include <functional>

namespace guavashift {

/// Passes frames between nodes that cannot reach the core and the core. Reads only the first frame
/// of each connection, which names the control process.
class Relay final
{
public:
    /// `mayReach` tells whether an address is a control process's channel.
    Relay(EventLoop &loop, const ChannelSettings &settings,
          std::function<bool(const std::string &)> mayReach);

    Result<void> open(const std::string &address);

private:
    struct Pair
    {
        std::unique_ptr<FrameConnection> near;
        std::unique_ptr<FrameConnection> far;
    };

    void accept(ACE_HANDLE handle);
    void fromNear(std::uint64_t id, std::string_view frame);
    void drop(std::uint64_t id);

    EventLoop &m_loop;
    ChannelSettings m_settings;
    std::function<bool(const std::string &)> m_mayReach;
    FrameListener m_listener;
    std::map<std::uint64_t, Pair> m_pairs;
    std::uint64_t m_nextId = 1;
};

} // namespace guavashift
