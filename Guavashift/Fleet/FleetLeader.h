#pragma once

#include <Guavashift/Fleet/ReplicaDriver.h>

namespace guavashift {

/// Serves gateways and agents while this control process leads: keeps sessions, grants leases,
/// answers callers' requests, proposes the dispatcher's commands and sends its orders. For use on
/// the event loop's thread only.
class FleetLeader final
{
public:
    using Answer = std::function<void(FleetAnswer)>;
    using Send = std::function<void(const FleetMessage &)>;
    using SessionId = std::uint64_t;

    FleetLeader(const FleetSettings &fleet, const DispatchSettings &dispatch, JobTable &jobTable,
                ReplicaDriver &driver, FleetMetrics &metrics);

    /// Starts serving after this replica became the leader.
    void activate();
    /// Ends all sessions after this replica lost leadership.
    void deactivate();
    [[nodiscard]] bool isActive() const { return m_active; }

    /// Opens a session and closes an earlier one of the same node.
    void openSession(SessionId session, const OpenSession &request, Send send);
    /// Takes a message of a session. Returns false if this leader does not know the session.
    bool receive(SessionId session, const FleetMessage &message);
    void sessionClosed(SessionId session);

    /// Answers a call, at once or when it is committed. Calls are refused as `Unavailable` only
    /// before anything is proposed for them. If the same call was forwarded before, to this leader
    /// or an earlier one, its earlier proposal may still be uncommitted at that time. The process
    /// that forwards calls must take that into account.
    void handle(const FleetCall &call, const Answer &answer);

    void applied(const StageCommand &command, const StageOutcome &outcome);
    /// Proposes the decisions and sends the orders that are due in this round of the loop.
    void endRound();

private:
    struct Session
    {
        NodeRole role = NodeRole::Gateway;
        std::string node;
        std::string address;
        Send send;
        Instant openedAt;
        std::optional<Lifetime> lifetime;
        std::optional<EndProven> proven; ///< Received last.
    };

    /// A proposed configuration whose commit is not decided yet.
    struct ProposedConfiguration
    {
        std::string document;
        std::vector<Answer> answers; ///< Of all calls that share the proposal.
    };

    void receiveFromAgent(Session &session, const FleetMessage &message);
    void handleRunsEnded(SessionId id, const RunsEnded &ended);
    /// What the agent has shown to prove the end of the lifetime, if anything.
    [[nodiscard]] static std::optional<LifetimeProof> proofOf(const Session &session,
                                                              const Lifetime &lifetime);
    void handleEnd(const Session &session, const Lifetime &lifetime, LifetimeEnd end,
                   std::span<const TaskRun> recentRuns);
    void logCrash(const Session &session, const WorkerCrashed &crashed) const;
    void logBinding(const StartRun &start, const StageOutcome &outcome,
                    const std::optional<BindingTimes> &times, Instant now) const;
    static void appendState(std::vector<LogField> &fields, const WaitState &state);
    void reportLongRunningWaits(const LongRunningWaits &waits) const;
    void reportIdleJobs(const IdleJobs &idle) const;
    void reportNearWaits(const std::vector<NearWaitEnd> &ends) const;
    void sendDirectory();
    void sendCallerLimits();
    void flushOrders();
    void propose(const std::vector<StageCommand> &commands);
    void submit(const FleetCall &call, const QueueMatch &match, const Answer &answer);
    void cancel(const FleetCall &call, std::string_view job, const Answer &answer);
    void replaceConfiguration(const FleetCall &call, const Answer &answer);
    /// Evacuates a failure domain, or takes it back.
    void changeEvacuation(const FleetCall &call, const Answer &answer);
    void logEvacuation(std::string_view event, std::string_view domain,
                       const StageOutcome &outcome) const;
    [[nodiscard]] FleetAnswer stateOf(const FleetCall &call, std::string_view job) const;
    void logAnswer(const FleetCall &call, const FleetAnswer &answer) const;

    FleetSettings m_fleet;
    JobTable &m_jobTable;
    ReplicaDriver &m_driver;
    FleetMetrics &m_metrics;
    Dispatcher m_dispatcher;
    Duration m_workerLease;
    bool m_active = false;
    std::uint64_t m_sessionsOpened = 0;
    std::map<SessionId, Session> m_sessions;
    std::map<std::string, SessionId> m_sessionOfNode;
    Directory m_directory;
    Instant m_nextDirectory;
    CallerLimits m_sentCallerLimits; ///< To all gateways that had a session by then.
    /// The latest proposed configuration, until it is decided or leadership ends.
    std::shared_ptr<ProposedConfiguration> m_proposedConfiguration;
    /// Jobs whose submission is proposed and not decided: they are not refused any more. Once for
    /// each proposal.
    std::multiset<std::string> m_proposedJobs;
};

} // namespace guavashift
