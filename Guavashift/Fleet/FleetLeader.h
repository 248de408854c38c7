#pragma once

#include <Guavashift/Fleet/ReplicaDriver.h>

namespace guavashift {

/// What the leading control process does for gateways and agents: sessions, leases, callers'
/// requests, and carrying the dispatcher's commands and orders. On an event loop's thread.
class FleetLeader final
{
public:
    using Answer = std::function<void(FleetAnswer)>;
    using Send = std::function<void(const FleetMessage &)>;
    using SessionId = std::uint64_t;

    FleetLeader(const FleetSettings &fleet, const DispatchSettings &dispatch, JobBook &book,
                ReplicaDriver &driver, FleetMetrics &metrics);

    /// This replica leads now; or leads no more.
    void activate();
    void deactivate();
    [[nodiscard]] bool isActive() const { return m_active; }

    /// Opens a session; an earlier one of the same node ends.
    void openSession(SessionId session, const OpenSession &hello, Send send);
    void receive(SessionId session, const FleetMessage &message);
    void sessionClosed(SessionId session);

    /// Answers a call, at once or when it is committed. Calls are refused as `Unavailable` before
    /// anything is proposed for them. An earlier pass of the same call, here or at a predecessor,
    /// may be proposed and not yet committed then; whoever passed it on has to know of that.
    void handle(const FleetCall &call, const Answer &answer);

    void applied(const StageCommand &command, const StageOutcome &outcome);
    /// Decides and hands out what has gathered.
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
    };

    void receiveFromAgent(Session &session, const FleetMessage &message);
    void handleRunsEnded(SessionId id, const RunsEnded &ended);
    void logBinding(const StartRun &start, const StageOutcome &outcome,
                    const std::optional<BindingTimes> &times, Instant now) const;
    void sendDirectory();
    void flushOrders();
    void propose(const std::vector<StageCommand> &commands);
    void submit(const FleetCall &call, const QueueMatch &match, const Answer &answer);
    void cancel(const FleetCall &call, std::string_view job, const Answer &answer);
    void replaceConfiguration(const FleetCall &call, const Answer &answer);
    [[nodiscard]] FleetAnswer stateOf(const FleetCall &call, std::string_view job) const;
    void logAnswer(const FleetCall &call, const FleetAnswer &answer) const;

    FleetSettings m_fleet;
    JobBook &m_book;
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
};

} // namespace guavashift
