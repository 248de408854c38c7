#pragma once

#include <Guavashift/Fleet/FleetMetrics.h>
#include <Guavashift/Fleet/LeaderLink.h>
#include <Guavashift/Fleet/Relay.h>

namespace guavashift {

struct GatewaySettings
{
    /// How long a call waits for a leader before it is refused as not done.
    Duration leaderTimeout = std::chrono::milliseconds(500);
    /// Kept back from the caller's deadline for the way back.
    Duration deadlineMargin = std::chrono::milliseconds(100);
    /// Longest wait for an answer once a call was passed on.
    Duration answerTimeout = std::chrono::milliseconds(2500);
    /// Pause before a call that the leader could not decide on is passed on to it again.
    Duration resendDelay = std::chrono::milliseconds(150);
};

/// Passes callers' requests on to the leader, which alone answers. Holds no truth. A call that was
/// passed on and not answered is passed on again to the next leader: all calls may be repeated.
///
/// A call is refused as not done (`Unavailable`) only if it was never passed on, or passed on once
/// and refused by its only receiver, which refuses before it proposes anything. Once it was passed
/// on again, a refusal tells nothing of the earlier passes, whose proposal may still be committed;
/// such a call waits for a decision and ends as `Unknown` at its limit.
///
/// That holds for one request. It says nothing of earlier requests for the same job, also through
/// other entries: after an answer of `Unknown`, or none, the job may be accepted although a later
/// request for it is refused. A caller learns the truth by sending it again until it is accepted,
/// or by cancelling it.
class GatewayNode final
{
public:
    using Answer = std::function<void(FleetAnswer)>;

    GatewayNode(EventLoop &loop, const GatewaySettings &gateway, const FleetSettings &settings,
                const ChannelSettings &channel, FleetMetrics &metrics, std::uint64_t seed);

    Result<void> start();
    /// The settings name other control processes now.
    void setSeeds(const std::vector<std::string> &seeds) { m_link.setSeeds(seeds); }

    /// `deadline` is what the caller waits at most; zero if it did not say.
    void call(FleetCall call, Duration deadline, Answer answer);

    /// New calls are refused as not done from now on; those that wait go on waiting.
    void refuseNewCalls() { m_refusing = true; }
    [[nodiscard]] std::size_t pendingCalls() const { return m_pending.size(); }
    /// Answers all calls that wait, and refuses new ones. Calls that were never passed on are
    /// refused as not done; whether the others were done is not known.
    void endCalls(std::string_view reason);

    /// Whether calls can be answered now.
    [[nodiscard]] bool isReady() const { return m_link.isOpen(); }

private:
    struct Pending
    {
        FleetCall call;
        Answer answer;
        Instant receivedAt;
        std::uint32_t sent = 0; ///< How often it was passed on to a leader.
        EventLoop::TimerId leaderTimer = 0;
        EventLoop::TimerId deadlineTimer = 0;
        EventLoop::TimerId resendTimer = 0;
    };

    void opened();
    void received(const FleetMessage &message);
    void forward(Pending &pending);
    void forwardLater(std::uint64_t id, Pending &pending);
    /// Answers a call that the leader did not answer, as far as is known.
    void abandon(std::uint64_t id, std::string_view reason);
    void finish(std::uint64_t id, FleetAnswer answer);

    EventLoop &m_loop;
    GatewaySettings m_gateway;
    FleetMetrics &m_metrics;
    LeaderLink m_link;
    Relay m_relay;
    std::string m_address;
    std::map<std::uint64_t, Pending> m_pending;
    std::uint64_t m_nextCall = 1;
    bool m_refusing = false;
};

} // namespace guavashift
