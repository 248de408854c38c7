#pragma once

#include <Guavashift/Fleet/EndAcknowledgements.h>
#include <Guavashift/Fleet/LeaderLink.h>
#include <Guavashift/Fleet/LeaseClock.h>
#include <Guavashift/Fleet/LifetimeConnections.h>
#include <Guavashift/Fleet/OrderBarrier.h>
#include <Guavashift/Fleet/Relay.h>
#include <Guavashift/Fleet/ReportVerifier.h>
#include <Guavashift/Fleet/RoundMonitor.h>
#include <Guavashift/Fleet/TailFilter.h>
#include <Guavashift/Fleet/Throttler.h>
#include <Guavashift/Fleet/UncommittedEnds.h>
#include <Guavashift/Fleet/WorkerPort.h>

#include <set>

namespace guavashift {

struct AgentNodeSettings
{
    /// Longest time for which the worker may hold one poll until a run ends.
    Duration pollWait = std::chrono::milliseconds(1000);
    /// The same while best-effort tasks run, so that tail latencies are observed in time to
    /// throttle them.
    Duration throttledPollWait = std::chrono::milliseconds(200);
    /// Longest pause between two polls while listed ends only wait for their commit. The worker
    /// answers every poll at once as long as it lists an end.
    Duration commitWait = std::chrono::milliseconds(50);
    /// Interval at which the lease is renewed with the leader.
    Duration renewInterval = std::chrono::milliseconds(500);
    /// Interval at which all runs are reported to the leader.
    Duration tableInterval = std::chrono::milliseconds(500);
    /// Time for which polls that fail still extend the worker's lease.
    Duration failedPollGrace = std::chrono::seconds(2);
    /// Connections that are opened at a time besides that of the poll in progress, so that starts
    /// find an idle one.
    std::size_t spareConnections = 4;
    /// Pause after a poll that failed.
    Duration retryPause = std::chrono::milliseconds(150);
    /// Maximum number of fencing token increments per session, for starts that got no answer.
    std::uint64_t fenceSteps = fenceSpan - 1;
    /// Runs that were started at most this long before their worker crashed may have caused it.
    Duration crashProbation = std::chrono::seconds(1);
    /// Of these, those that were started this long before the last one, or later, count.
    Duration crashWindow = std::chrono::milliseconds(250);
    /// A worker that reports itself as ready this long after a goodbye under its name goes on: the
    /// goodbye was that of an earlier lifetime.
    Duration goodbyeValidity = std::chrono::seconds(10);
    /// Longest time for which the answer to a poll is awaited.
    Duration longestAnswerDelay = std::chrono::seconds(3);
    /// Longest time after which a call without an answer is carried out.
    Duration longestCallDelay = std::chrono::seconds(15);
    /// An acknowledgement on a new connection follows the answer to a poll that was sent this long
    /// before at most, so that the lifetime which answered most probably receives it.
    Duration acknowledgeWithin = std::chrono::seconds(1);
    /// Unanswered stops are sent again after this.
    Duration stopRetry = std::chrono::milliseconds(400);
    /// Smallest change of a processor share, in percentage points, that is sent to the worker.
    /// Changes to 0 and 100 percent are always sent.
    std::int32_t minSharePercentChange = 8;
};

/// The agent of one worker: forwards the worker's reports and the leader's orders, renews the
/// worker's lease and throttles best-effort tasks. Stores nothing: after a restart it learns its
/// state again from the worker. For use on the event loop's thread only.
class AgentNode final
{
public:
    AgentNode(EventLoop &loop, const AgentNodeSettings &agent, const FleetSettings &settings,
              const ChannelSettings &channel, WorkerPort &port, FleetMetrics &metrics,
              std::uint64_t seed);

    Result<void> start();
    /// Replaces the seeds after a change of the settings.
    void setSeeds(const std::vector<std::string> &seeds) { m_link.setSeeds(seeds); }

    /// Takes a report. One of the present lifetime counts unless it is older than the last. That of
    /// another lifetime counts once that one has answered at the worker's address.
    void workerReported(
        const ReportedWorker &report, ReportCallback answered = [](ReportAnswer) {});
    /// Takes a worker's goodbye: it gets no more starts, and its runs will end. They count as ended
    /// only once it lists their ends, begins another lifetime or loses its lease.
    ReportAnswer workerStopping(const std::string &worker);

private:
    enum class Stage : std::uint8_t { Starting, Unconfirmed, Running };

    struct Run
    {
        RunTraits traits;
        Stage stage = Stage::Starting;
        std::uint64_t fence = 0;          ///< Fencing token that the start was sent with.
        std::optional<StartOrder> unsent; ///< Set while no connection for its start is open.
        bool stopWanted = false;
        bool stopAnswered = false;
        Instant stopSentAt;
        Instant keptSince; ///< When its start was first not sent; 0: it was sent at once.
        Instant seenAt;    ///< Known to run at this time at least.
        /// When the start was sent; 0 for a run that an earlier process of the agent started.
        Instant startSentAt;
        /// Until then the next lifetime may carry its start out; 0: it was sent on a connection of
        /// the present one.
        Instant mayArriveUntil;
        RunStatus row;
        TailFilter tail;
        std::int32_t sharePercent = 100; ///< As last sent to the worker.
    };

    /// Share of a run whose last throttle call did not succeed.
    static constexpr std::int32_t unknownSharePercent = -1000;

    using RunKey = std::pair<TaskRef, std::uint32_t>;

    // Reports.
    void presentReported(const ReportedWorker &report);
    /// Begins with a lifetime that has answered at the worker's address. The present one has ended.
    void lifetimeFound(const ReportedWorker &report);
    void sendFacts();

    // Leader.
    void opened(const SessionOpened &session);
    void lost();
    void received(const FleetMessage &message);
    void leaseGranted(const LeaseGranted &granted);
    void endsCommitted(const EndsCommitted &committed);
    void renewLease();
    void renewRegularly();
    void sendTable();

    // Worker.
    /// Polls the worker on a connection on which its present lifetime has answered. Before there is
    /// one, and whenever none is open and idle, identify() follows instead.
    void poll(Duration wait);
    /// How far ahead a poll may set the end of the worker's lease. That of a draining worker is
    /// shorter: its runs can start elsewhere only once it is over, and it will end soon.
    [[nodiscard]] Duration longestExtension() const;
    /// Polls the worker on any connection, to learn which lifetime answers there: without the
    /// fields that hold for one lifetime only.
    void identify();
    /// Tells a worker that closes its connections which ends it may forget, right after an answer
    /// to a poll that was sent at `sent`. Returns false if there are none, or if another lifetime
    /// may have begun since.
    bool acknowledge(Instant sent);
    void sendPoll(PollRequest request);
    void pollNotSent();
    /// Counts a call that found no connection. If all do, the worker closes its connections.
    void countNotSent();
    void schedulePoll(Duration delay);
    /// Returns the pause after the answer to a poll. `isFromPresent`: the present lifetime gave it.
    [[nodiscard]] Duration pauseAfterPoll(bool isFromPresent) const;
    /// The end of the lease to send to the worker now; 0: do not extend it.
    [[nodiscard]] std::int64_t leaseToSend(Instant now);
    /// Whether the answer to an acknowledgement for `lifetime` shows that no later one can take it.
    [[nodiscard]] bool settlesAcknowledgement(const Lifetime &lifetime,
                                              const WorkerReply &reply) const;
    void handlePollReply(const PollRequest &request, Instant sent, const WorkerReply &reply);
    /// Logs that polls begin to fail, fail otherwise than before, or are answered again.
    void logPollChange(const WorkerReply &reply, Instant now) const;
    void processRunning(const PollRequest &request, Instant sent, const WorkerReply &reply);
    void processEnds(const WorkerReply &reply);
    /// Logs that the lifetime has forgotten ends before they were listed.
    void logHiddenEnds(const WorkerReply &reply) const;
    /// Forgets a run that worked in this lifetime and is neither running nor among the ends.
    void forgetVanished(RunKey key);
    void resolveUnconfirmed(const PollRequest &request, Instant sent,
                            const std::set<RunKey> &running);
    /// Whether a lifetime that begins after `time` may carry the run's start out.
    [[nodiscard]] static bool mayArriveAfter(const Run &run, Instant time);
    /// Whether the run may work in the next lifetime of a worker that does not answer.
    [[nodiscard]] bool mayWorkInNext(const Run &run) const;
    /// Whether no start of an earlier process of the agent can arrive after `time`.
    [[nodiscard]] bool knowsAllStarts(Instant time) const;
    /// Tells the leader which starts a lifetime that begins after `sent` may still carry out.
    /// Before an inventory that is when its poll was sent.
    void announceLateStarts(Instant sent);
    /// Refuses the runs of an unreachable worker whose starts can have no effect any more.
    void dropOverdueStarts();
    void startRun(const StartOrder &order);
    /// Sends a start on a connection on which the present lifetime has answered, so that no other
    /// lifetime carries it out.
    void sendStart(Run &run, const StartOrder &order);
    /// Keeps a start until the lifetime has answered on another connection, for as long as its
    /// session, lifetime and lease hold.
    void startNotSent(const StartOrder &order, std::uint64_t sentUnder);
    /// Sends a start that was kept, if there is one, after an answer on a connection.
    void sendUnsentStart();
    void refuseUnsentStarts(std::string_view reason);
    /// Opens connections besides that of the poll in progress and learns which lifetime answers
    /// there, so that starts do not wait for the poll.
    void openConnections();
    void probeAnswered(const WorkerReply &reply);
    void started(const Lifetime &lifetime, const RunKey &key, std::uint64_t fence,
                 const WorkerReply &reply);
    /// Handles the answer to a start for a lifetime that has ended meanwhile.
    void lateStartAnswered(const Lifetime &lifetime, const RunKey &key, const WorkerReply &reply);
    /// Whether the answer to a call may come from another lifetime of the worker.
    [[nodiscard]] bool mayBeFromOther(const Lifetime &lifetime, const WorkerReply &reply) const;
    /// Raises the fencing token above that of all calls so far. Returns false if the session has
    /// none left, in which case a new session follows.
    bool raiseFence();
    void stopRun(const StopOrder &order);
    void sendStop(const RunKey &key);
    void refuse(const StartOrder &order, std::string_view reason);
    void drop(RunKey key, std::string_view reason);
    /// Marks a worker that has said goodbye as draining, unless it goes on reporting itself as
    /// ready for so long that the goodbye was not its own.
    void applyGoodbye(WorkerFacts &facts);
    /// Marks a worker as draining if its present lifetime may have received an acknowledgement for
    /// an earlier one: what ends there could stay unknown.
    void applyHiddenEnds(WorkerFacts &facts) const;
    /// Ends the lifetime of a worker whose program has ended.
    void endLostLifetime(LifetimeProof proof);
    void endLifetime(LifetimeEnd end, LifetimeProof proof);
    /// Withdraws what was reported of the end of the present lifetime, if that was found again.
    void recallLifetime();
    /// Runs whose start has no answer.
    [[nodiscard]] std::vector<TaskRun> openStarts() const;
    /// Runs that were started shortly before the worker stopped answering.
    [[nodiscard]] std::vector<TaskRun> recentRuns() const;
    void applyThrottling();
    void logLoad() const;
    void sendThrottle(const RunKey &key, Run &run, double share);
    [[nodiscard]] bool isCurrent(const Lifetime &lifetime) const;
    [[nodiscard]] std::uint64_t fence() const { return m_sessionFence + m_fenceStep; }

    EventLoop &m_loop;
    AgentNodeSettings m_agent;
    FleetSettings m_settings;
    WorkerPort &m_port;
    FleetMetrics &m_metrics;
    RoundMonitor m_rounds;
    LeaderLink m_link;
    Relay m_relay;
    std::uint64_t m_sessionFence = 0;
    std::uint64_t m_fenceStep = 0;
    bool m_inventoryDue = false;
    std::uint64_t m_inventoryFence = 0; ///< Least fencing token of the poll that it is read with.
    Duration m_leaseLength = Duration::zero();

    ReportVerifier m_verifier;
    std::optional<WorkerFacts> m_facts;
    Instant m_foundAt; ///< When the present lifetime was found.
    Instant m_createdAt = BootClock::now();
    /// Whether the last inventory was sent with the knowledge of all starts.
    bool m_namedAllStarts = true;
    /// Calls for an earlier lifetime may still be carried out by the present one, until it has
    /// answered the poll for its inventory.
    bool m_takesEarlierCalls = false;
    std::uint64_t m_sequence = 0;
    std::optional<Instant> m_goodbyeAt; ///< When the present lifetime said goodbye.
    /// Sent again in each session: the leader may have lost them with its leadership.
    std::optional<OpenStarts> m_lastOpenStarts;
    std::optional<WorkerCrashed> m_lastCrash;
    LifetimeProof m_lastCrashProof = LifetimeProof::LeaseRanOut;
    OrderBarrier m_barrier;
    bool m_unreachable = false; ///< Its lease ran out without an answer.
    bool m_answersPolls = true; ///< The last poll was answered.
    std::optional<Instant> m_pollsFailSince;
    WorkerCallResult m_lastPollResult = WorkerCallResult::Done; ///< Result of the last poll.
    LeaseClock m_lease;
    std::uint64_t m_listedUpTo = 0; ///< Ends read from the present lifetime.
    EndAcknowledgements m_acknowledgements;
    std::optional<Lifetime> m_lastFound;
    bool m_readsAllEnds = false; ///< No end of the present lifetime was acknowledged before.
    std::map<std::uint64_t, Instant> m_listedAt; ///< Ends that are not committed, by number.
    UncommittedEnds m_uncommittedEnds;
    std::map<RunKey, Instant> m_endedAt; ///< Of ends that were listed a short time ago.
    std::map<RunKey, Run> m_runs;
    Throttler m_throttler;
    std::uint64_t m_pollNumber = 0;
    std::uint64_t m_pollEpoch = 0; ///< Number of lifetimes found.
    std::size_t m_openPolls = 0;   ///< Of the present lifetime.
    bool m_isIdentifying = false;  ///< One of them is that of identify().
    std::size_t m_openProbes = 0;  ///< Of the present lifetime.
    bool m_probesAnswered = false; ///< One of those sent last at least.
    LifetimeConnections m_connections;
    EventLoop::TimerId m_pollTimer = 0;
};

} // namespace guavashift
