#pragma once

#include <Guavashift/Fleet/FleetMetrics.h>
#include <Guavashift/Fleet/LeaderLink.h>
#include <Guavashift/Fleet/LeaseClock.h>
#include <Guavashift/Fleet/Relay.h>
#include <Guavashift/Fleet/TailFilter.h>
#include <Guavashift/Fleet/Throttler.h>
#include <Guavashift/Fleet/WorkerPort.h>

#include <set>

namespace guavashift {

struct AgentNodeSettings
{
    /// How long one poll at the worker waits for an end.
    Duration pollWait = std::chrono::milliseconds(1000);
    /// The same where fillers must be paced, so that tails are seen in time.
    Duration throttledPollWait = std::chrono::milliseconds(200);
    /// Longest pause between two looks while listed ends only wait for their commit: until then
    /// the worker answers each poll at once.
    Duration commitWait = std::chrono::milliseconds(50);
    /// How often the lease is renewed with the leader.
    Duration renewInterval = std::chrono::milliseconds(500);
    /// How often the leader is told of all runs.
    Duration tableInterval = std::chrono::milliseconds(500);
    /// Pause after a poll that failed.
    Duration retryPause = std::chrono::milliseconds(150);
    /// How often the token may be raised in one session, for starts that got no answer.
    std::uint64_t fenceSteps = fenceSpan - 1;
    /// Unanswered stops are sent again after this.
    Duration stopRetry = std::chrono::milliseconds(400);
    /// Changes of a throttle by less, in hundredths, are not passed on.
    std::int32_t minShareChange = 8;
};

/// The agent beside one worker: its reports, orders, lease and pacing. What it knows it learns
/// again from the worker after a restart. On an event loop's thread.
class AgentNode final
{
public:
    AgentNode(EventLoop &loop, const AgentNodeSettings &worker, const FleetSettings &settings,
              const ChannelSettings &channel, WorkerPort &port, FleetMetrics &metrics,
              std::uint64_t seed);

    Result<void> start();
    /// The settings name other control processes now.
    void setSeeds(const std::vector<std::string> &seeds) { m_link.setSeeds(seeds); }

    /// The worker's word on itself. An older one than the last is passed over.
    void workerReported(const WorkerFacts &facts, std::uint64_t sequence);
    /// The worker says that it ends.
    void workerStopping(const std::string &worker);

private:
    enum class Stage : std::uint8_t { Starting, Unconfirmed, Running };

    struct Run
    {
        RunTraits traits;
        Stage stage = Stage::Starting;
        std::uint64_t fence = 0; ///< Under which the start was sent.
        bool stopWanted = false;
        bool stopAnswered = false;
        Instant stopSentAt;
        Instant seenAt; ///< Known to run at this time at least.
        RunRow row;
        TailFilter tail;
        std::int32_t throttle = 100; ///< As the worker was told last.
    };

    /// After a call for a new throttle that got no clear answer.
    static constexpr std::int32_t unknownShare = -1000;

    using RunKey = std::pair<TaskRef, std::uint32_t>;

    // Leader.
    void opened(const SessionOpened &welcome);
    void lost();
    void received(const FleetMessage &message);
    void endsCommitted(const EndsCommitted &committed);
    void renewLease();
    void renewRegularly();
    void sendTable();

    // Worker.
    void poll(Duration wait);
    void schedulePoll(Duration delay);
    /// Pause before the poll that follows one with `request`.
    [[nodiscard]] Duration pauseAfter(const PollRequest &request) const;
    void polled(const PollRequest &request, Instant sent, const WorkerReply &reply);
    void processRunning(const PollRequest &request, Instant sent, const WorkerReply &reply);
    void processEnds(const WorkerReply &reply);
    void resolveUnconfirmed(const PollRequest &request, const std::set<RunKey> &running);
    void startRun(const StartOrder &order);
    void started(const RunKey &key, std::uint64_t fence, const WorkerReply &reply);
    void stopRun(const StopOrder &order);
    void sendStop(const RunKey &key);
    void refuse(const StartOrder &order, std::string_view reason);
    void drop(RunKey key, std::string_view reason);
    void endLifetime(bool unreachable);
    void applyThrottling();
    void logLoad() const;
    void sendThrottle(const RunKey &key, Run &run, double part);
    [[nodiscard]] bool isCurrent(const Lifetime &lifetime) const;
    [[nodiscard]] std::uint64_t fence() const { return m_sessionFence + m_fenceStep; }

    EventLoop &m_loop;
    AgentNodeSettings m_agent;
    FleetSettings m_settings;
    WorkerPort &m_port;
    FleetMetrics &m_metrics;
    LeaderLink m_link;
    Relay m_relay;
    std::uint64_t m_sessionFence = 0;
    std::uint64_t m_fenceStep = 0;
    bool m_inventoryDue = false;
    Duration m_leaseLength = Duration::zero();

    std::optional<WorkerFacts> m_facts;
    std::uint64_t m_sequence = 0;
    bool m_unreachable = false;
    bool m_answersPolls = true; ///< The last poll was answered.
    LeaseClock m_lease;
    std::uint64_t m_listedUpTo = 0;              ///< Ends told to the leader in this session.
    std::uint64_t m_committedUpTo = 0;           ///< Ends that need not be listed any more.
    std::map<std::uint64_t, Instant> m_listedAt; ///< Ends that are not committed, by number.
    std::map<RunKey, Run> m_runs;
    Throttler m_throttler;
    std::uint64_t m_pollNumber = 0;
    std::size_t m_openPolls = 0;
    EventLoop::TimerId m_pollTimer = 0;
};

} // namespace guavashift
