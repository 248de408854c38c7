#pragma once

#include <Guavashift/Fleet/CallAttempts.h>
#include <Guavashift/Fleet/LeaderLink.h>
#include <Guavashift/Fleet/Relay.h>
#include <Guavashift/Fleet/RoundMonitor.h>
#include <Guavashift/Scheduling/Scheduling.h>

namespace guavashift {

struct GatewaySettings
{
    /// Longest time that a call waits for a session with a leader before it is refused as not done.
    Duration leaderTimeout = std::chrono::milliseconds(500);
    /// Longest time that a change of the leader takes. After this long without one, new calls are
    /// refused at once.
    Duration failoverTime = std::chrono::seconds(2);
    /// A leader that has been silent for this long since it was sent a call is sent no more calls
    /// until it is heard again. The control processes elect another leader after the same time.
    Duration silenceLimit = std::chrono::milliseconds(500);
    /// Interval between two checks whether a silent leader is heard again.
    Duration silenceCheckInterval = std::chrono::milliseconds(20);
    /// Limits of the calls that wait for an answer. Calls beyond them are refused at once.
    std::size_t maxPendingCalls = 4096;
    std::size_t maxPendingBytes = 32 << 20;
    RetryAdviceSettings retryAdvice;
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
/// A call is refused as not done (`Unavailable`) only if each attempt to forward it has not left
/// this process before its session ended, or was refused by its receiver, which refuses before it
/// proposes anything. The proposal of any other attempt may still be committed. Such a call waits
/// for a decision and ends as `Unknown` at its time limit.
///
/// Calls are held back from a leader that seems to be dead, so that they can be forwarded to the
/// next one or refused truthfully.
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
    /// Answers all pending calls and refuses new ones. Calls that certainly reached no leader are
    /// refused as not done; the others end as unknown.
    void endCalls(std::string_view reason);

    /// Whether calls can be answered now.
    [[nodiscard]] bool isReady() const { return m_link.isOpen(); }

private:
    struct Pending
    {
        FleetCall call;
        Answer answer;
        Instant receivedAt;
        Duration deadline = Duration::zero(); ///< Longest time that the caller waits; zero: none.
        std::size_t bytes = 0;
        CallAttempts attempts;
        EventLoop::TimerId leaderTimer = 0;
        EventLoop::TimerId deadlineTimer = 0;
        EventLoop::TimerId resendTimer = 0;
    };

    void opened();
    void lost();
    void received(const FleetMessage &message);
    /// Why a new call of this size is refused at once; empty: it is not.
    [[nodiscard]] std::string_view refusalOf(std::size_t bytes) const;
    /// Whether the leader has not been heard for too long since it was sent a call.
    [[nodiscard]] bool leaderIsSilent() const;
    /// Forwards the call, or holds it back while the leader is silent.
    void forward(std::uint64_t id, Pending &pending);
    /// Forwards the calls that were held back once the leader is heard again.
    void forwardHeld();
    /// Refuses the call after the leader timeout unless it was forwarded by then.
    void awaitLeader(std::uint64_t id, Pending &pending);
    void forwardLater(std::uint64_t id, Pending &pending);
    /// Ends a call without an answer of the leader: as not done if it certainly reached none,
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
    RetryAdvice m_retryAdvice;
    std::map<std::uint64_t, Pending> m_pending;
    std::size_t m_pendingBytes = 0;
    std::uint64_t m_nextCall = 1;
    /// The calls of attempts that may still be answered. Each attempt has an id of its own, so that
    /// a refusal is not taken for the answer to another attempt.
    std::map<std::uint64_t, std::uint64_t> m_callOfAttempt;
    std::uint64_t m_nextAttempt = 1;
    /// When the first call was forwarded that the leader has not been heard since.
    Instant m_unheardSince;
    std::vector<std::uint64_t> m_held; ///< Calls held back from a silent leader.
    EventLoop::TimerId m_heldTimer = 0;
    bool m_refusing = false;
};

} // namespace guavashift
