#pragma once

#include <Guavashift/Fleet/FleetLeader.h>
#include <Guavashift/Fleet/LeaderLink.h>

namespace guavashift {

/// A control process: a replica, and the leader's part while it leads. Calls that reach a follower
/// are passed on to the leader. On an event loop's thread.
class CoreNode final
{
public:
    CoreNode(EventLoop &loop, const FleetSettings &settings, const ChannelSettings &channel,
             QueueTableReader reader, FleetMetrics &metrics, std::uint64_t seed);

    Result<void> start();
    /// The settings name other control processes now.
    void setSeeds(const std::vector<std::string> &seeds);
    /// Hands leadership over; call before the planned end.
    void drain();

    /// Answers, from here or through the leader, within `timeout`. A call is passed on once at
    /// most, so a leader's refusal as not done holds for it; without an answer it ends as unknown.
    void call(FleetCall call, Duration timeout, FleetLeader::Answer answer);

    [[nodiscard]] bool leads() const { return m_driver.leads(); }

private:
    struct Pending
    {
        FleetLeader::Answer answer;
        EventLoop::TimerId timer = 0;
    };

    void accept(ACE_HANDLE handle);
    void received(std::uint64_t id, std::string_view frame);
    void forwardedAnswer(const FleetMessage &message);
    void endRound();

    EventLoop &m_loop;
    FleetSettings m_settings;
    ChannelSettings m_channel;
    JobBook m_book;
    ReplicaDriver m_driver;
    FleetLeader m_leader;
    LeaderLink m_link;
    FrameListener m_listener;
    std::map<std::uint64_t, std::unique_ptr<FrameConnection>> m_connections;
    std::uint64_t m_nextConnection = 1;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextCall = 1;
    bool m_becameLeader = false;
};

} // namespace guavashift
