#pragma once

#include <Guavashift/Fleet/FleetLeader.h>
#include <Guavashift/Fleet/LeaderLink.h>
#include <Guavashift/Fleet/RoundMonitor.h>

namespace guavashift {

/// A control process: a replica of the state, and a FleetLeader that is active while the replica
/// leads. A follower forwards calls to the leader. For use on the event loop's thread only.
class CoreNode final
{
public:
    CoreNode(EventLoop &loop, const FleetSettings &settings, const ChannelSettings &channel,
             QueueTableReader reader, FleetMetrics &metrics, std::uint64_t seed,
             LogStoreOpener openStore = &FileLogStore::open);

    Result<void> start();
    /// Replaces the seeds after a change of the settings.
    void setSeeds(const std::vector<std::string> &seeds);
    /// Transfers leadership to another voter. To be called before a planned end.
    void drain();

    /// Answers a call, here or by forwarding it to the leader. A call is forwarded at most once, so
    /// the leader's refusal as not done is final. A forwarded call that has no answer after
    /// `timeout` ends as unknown.
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
    void readReplicas();

    EventLoop &m_loop;
    FleetSettings m_settings;
    ChannelSettings m_channel;
    RoundMonitor m_rounds;
    JobTable m_jobTable;
    ReplicaDriver m_driver;
    FleetLeader m_leader;
    LeaderLink m_link;
    FrameListener m_listener;
    std::map<std::uint64_t, std::unique_ptr<FrameConnection>> m_connections;
    std::set<std::uint64_t> m_replicaConnections; ///< Over which other replicas send.
    std::uint64_t m_nextConnection = 1;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextCall = 1;
    bool m_becameLeader = false;
};

} // namespace guavashift
