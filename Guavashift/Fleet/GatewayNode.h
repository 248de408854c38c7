#pragma once

#include <Guavashift/Fleet/LeaderLink.h>
#include <Guavashift/Fleet/Relay.h>
#include <Guavashift/Fleet/RoundMonitor.h>

namespace guavashift {

struct GatewaySettings
{
    /// Longest time that a call waits for a session with a leader before it is refused as not done.
    Duration leaderTimeout = std::chrono::milliseconds(500);
    /// Part of the caller's deadline that is reserved for returning the answer.
    Duration deadlineMargin = std::chrono::milliseconds(100);
    /// Longest time from a call's arrival to its answer.
    Duration answerTimeout = std::chrono::milliseconds(2500);
    /// Pause before a call that the leader could not decide is forwarded to it again.
    Duration resendDelay = std::chrono::milliseconds(150);
    /// Called with the callers' limits in force, on the event loop's thread.
    std::function<void(const CallerLimits &)> limitsReceived;
};

/// Forwards callers' requests to the leader, which decides them, and returns its answers. Keeps no
/// state of jobs. A call that was forwarded and not answered is forwarded again to the next leader:
/// all calls are idempotent.
///
/// A call is refused as not done (`Unavailable`) only if it was never forwarded, or forwarded once
/// and refused by its only receiver, which refuses before it proposes anything. Once a call was
/// forwarded again, a refusal does not cover the earlier attempts, whose proposal may still be
/// committed. Such a call waits for a decision and ends as `Unknown` at its time limit.
///
/// This covers one request, not earlier requests for the same job, through this entry or another:
/// after an answer of `Unknown`, or none, the job may be accepted although a later request for it
/// is refused. A caller finds out by sending the job again until it is accepted, or by cancelling
/// it: a cancel that was answered also holds for a submission that arrives after it.
class GatewayNode final
{
public:
    using Answer = std::function<void(FleetAnswer)>;

    GatewayNode(EventLoop &loop, const GatewaySettings &gateway, const FleetSettings &settings,
                const ChannelSettings &channel, FleetMetrics &metrics, std::uint64_t seed);

    Result<void> start();
    /// Replaces the seeds after a change of the settings.
    void setSeeds(const std::vector<std::string> &seeds) { m_link.setSeeds(seeds); }

    /// Forwards a call and passes its answer to `answer`. `deadline` is the longest time that the
    /// caller waits, or zero if it named none.
    void call(FleetCall call, Duration deadline, Answer answer);

    /// Refuses new calls as not done from now on. Pending calls still wait for their answer.
    void refuseNewCalls() { m_refusing = true; }
    [[nodiscard]] std::size_t pendingCalls() const { return m_pending.size(); }
    /// Answers all pending calls and refuses new ones. Calls that were never forwarded are refused
    /// as not done; the others end as unknown.
    void endCalls(std::string_view reason);

    /// Whether calls can be answered now.
    [[nodiscard]] bool isReady() const { return m_link.isOpen(); }

private:
    struct Pending
    {
        FleetCall call;
        Answer answer;
        Instant receivedAt;
        std::uint32_t sent = 0; ///< How often it was forwarded to a leader.
        EventLoop::TimerId leaderTimer = 0;
        EventLoop::TimerId deadlineTimer = 0;
        EventLoop::TimerId resendTimer = 0;
    };

    void opened();
    void received(const FleetMessage &message);
    void forward(Pending &pending);
    void forwardLater(std::uint64_t id, Pending &pending);
    /// Ends a call without an answer of the leader: as not done if it was never forwarded,
    /// otherwise as unknown.
    void abandon(std::uint64_t id, std::string_view reason);
    void finish(std::uint64_t id, FleetAnswer answer);

    EventLoop &m_loop;
    GatewaySettings m_gateway;
    FleetMetrics &m_metrics;
    RoundMonitor m_rounds;
    LeaderLink m_link;
    Relay m_relay;
    std::string m_address;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextCall = 1;
    bool m_refusing = false;
};

} // namespace guavashift
