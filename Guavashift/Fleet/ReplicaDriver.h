#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Consensus/MembershipPlanner.h>
#include <Guavashift/Fleet/FleetMessages.h>
#include <Guavashift/Fleet/FleetMetrics.h>
#include <Guavashift/Fleet/FleetSettings.h>
#include <Guavashift/Fleet/MembershipMonitor.h>
#include <Guavashift/Fleet/StateSupply.h>

#include <deque>

namespace guavashift {

struct ReplicaDriverSettings
{
    ReplicaSettings replica;
    MembershipPlannerSettings membership;
    ChannelSettings channel;
    /// Growth of the log, in bytes of payload, after which a snapshot replaces it.
    std::size_t snapshotBytes = 4 << 20;
    /// Interval at which a process that is not a member requests to join.
    Duration joinInterval = std::chrono::milliseconds(300);
    /// Pause before a broken connection to another replica is opened again.
    Duration reconnectPause = std::chrono::milliseconds(200);
    /// Interval at which the timers of the replica are checked.
    Duration tick = std::chrono::milliseconds(25);
    /// A leader whose disk takes this long to sync transfers leadership, since it could not keep
    /// its leader lease.
    Duration maxLeaderSync = std::chrono::milliseconds(100);
    /// Time for which a leader that took over by a transfer keeps the leadership in spite of a slow
    /// disk. If all disks are slow, nobody would lead otherwise.
    Duration minTransferredLeadership = std::chrono::seconds(10);
    /// Size of a log entry, in bytes of its commands, after which it takes no further proposal. Far
    /// below the largest frame, since an entry that no follower can receive stops all work.
    std::size_t maxEntryBytes = 1 << 20;
    /// First pause before a replica whose storage failed tries to use it again. Doubles with each
    /// attempt that fails, up to the maximum.
    Duration reopenPause = std::chrono::milliseconds(250);
    Duration maxReopenPause = std::chrono::seconds(1);
    /// Digests are compared at multiples of this index.
    LogIndex digestInterval = 64;
    StateRecoverySettings recovery;
};

/// Connects one Replica to its disk and its peers and applies committed commands to a JobTable.
/// A replica whose disk fails is opened again, one whose disk has lost what it had confirmed takes
/// part under a new name, and one whose state must not be used fetches that of another one.
/// Commands that are proposed within one round of the loop share a log entry. For use on the event
/// loop's thread only.
class ReplicaDriver final
{
public:
    /// Called once with whether the commands were committed, and their outcomes.
    using Done = std::function<void(bool committed, std::span<const StageOutcome> outcomes)>;

    struct Observer
    {
        std::function<void(const StageCommand &, const StageOutcome &)> applied;
        std::function<void(bool leads)> roleChanged;
        /// Reads the messages of other replicas that have arrived and passes them to receive().
        std::function<void()> readReplicas;
        /// Channel addresses of control processes that this process knows of, beside those that the
        /// replica knows itself.
        std::function<std::vector<std::string>()> otherAddresses;
    };

    ReplicaDriver(EventLoop &loop, const ReplicaDriverSettings &settings,
                  const FleetSettings &fleet, JobTable &jobTable, FleetMetrics &metrics,
                  Observer observer, std::uint64_t seed, LogStoreOpener openStore);
    ~ReplicaDriver();

    /// Opens the data folder and starts the replica.
    Result<void> open();

    void receive(const ReplicaMessages &messages);
    void joinRequested(const Member &member);
    void stateRequested(const StateRequest &request);
    void stateReceived(const StatePart &part);

    /// Queues commands for the next endRound(). Without commands, `done` is called once everything
    /// proposed before is committed.
    void propose(std::vector<StageCommand> commands, Done done);
    [[nodiscard]] bool hasProposals() const { return !m_proposals.empty(); }

    /// To be called at the end of each round of the loop.
    void endRound();

    /// Does the work that other replicas wait for: reads their messages, checks the timers, stores
    /// and answers. Called by the driver itself while it applies entries, and to be called at least
    /// every `tick` while a round lasts, since a leader that sends no heartbeats and a voter that
    /// reads none cause an election.
    void serveReplicas();
    /// Does so if it was not done for `tick`, otherwise only sends what is queued: a connection may
    /// take a small part of a long message at a time.
    void serveReplicasIfDue();

    [[nodiscard]] bool leads() const
    {
        return m_replica && m_replica->isLeader() && !m_stopped && !m_recovery.isActive();
    }
    /// Whether this replica leads, holds the leader lease and has applied all entries of earlier
    /// leaders, so that it may answer from its own state without asking other replicas.
    [[nodiscard]] bool mayAnswer() const;
    [[nodiscard]] Term term() const { return m_replica->term(); }
    [[nodiscard]] std::string leaderAddress() const;
    /// Channel addresses of all known replicas.
    [[nodiscard]] std::vector<std::string> addresses() const;
    /// Replaces the seeds: addresses of control processes that are used beside those of the
    /// members.
    void setSeeds(const std::vector<std::string> &seeds) { m_fleet.seeds = seeds; }
    /// Transfers leadership to another voter, if this replica leads.
    void transferLeadership();

private:
    struct Peer
    {
        std::unique_ptr<FrameConnection> connection;
        Instant retryAt;
    };

    struct Proposal
    {
        std::vector<StageCommand> commands;
        Done done;
        Instant proposedAt;
    };

    /// Timing of an entry that this process appended, until its commit.
    struct EntryTimes
    {
        std::size_t commands = 0;
        Instant proposedAt; ///< Of the oldest command.
        Instant appendedAt;
        Duration sync = Duration::zero(); ///< Of this process's disk.
    };

    /// The end of what this replica has stored and synced.
    struct SyncedState
    {
        Term term = 0;
        LogIndex index = 0; ///< Of the last entry.
    };

    struct Waiter
    {
        Term term = 0;
        std::size_t first = 0;
        std::size_t count = 0;
        Done done;
    };

    /// Opens the data folder and determines the identity of this replica. Stores the first entry if
    /// a first start was interrupted before.
    [[nodiscard]] Result<PersistentState> loadOrBootstrap();
    /// Opens the store and reads its content.
    [[nodiscard]] Result<PersistentState> openStore();
    /// Gives the data folder a new identity and opens the store.
    [[nodiscard]] Result<PersistentState> openAsNewReplica();
    /// Loads the job table and starts the replica with the state.
    void startReplica(PersistentState state);
    /// Starts the replica again with what its disk holds, after storage failed.
    void reopen();
    void recordSynced();
    [[nodiscard]] Membership initialMembership() const;
    [[nodiscard]] bool isSeed() const;
    void scheduleTick();
    void proposePending();
    void processEffects();
    /// Stores and sends what the replica asks for. What changes the job table or the role is left
    /// to applyDeferred().
    void storeAndSend();
    /// Transfers leadership after a sync that took long, unless that would leave no leader.
    void yieldSlowDisk(Duration syncTook);
    /// Sends to the other replicas what their connections take now.
    void sendQueued();
    void applyDeferred();
    void applyAll(std::span<const LogEntry> entries);
    void storeAll(const std::vector<Effect> &effects);
    /// Stops the replica, which takes no part until reopen() succeeds.
    void stopOnError(const Result<void> &stored);
    void sendMessages(const std::vector<Effect> &effects, bool afterSync);
    void sendTo(const std::string &address, const FleetMessage &message);
    void apply(const LogEntry &entry);
    void logCommitted(LogIndex index);
    void completeWaiters(LogIndex index, Term term, std::span<const StageOutcome> outcomes);
    void installSnapshot(const SnapshotPointer &snapshot);
    /// Compares the state with the one that a quorum of the voters has.
    void checkDigest(const StateDigest &agreed);
    /// Stops to use the job table until it is replaced.
    void discardState(std::string_view reason, LogIndex index);
    /// Uses the job table again, which was replaced by one for that index.
    void useState(LogIndex index);
    /// Fetches the state of another replica if this one's must not be used.
    void recoverState();
    /// Replaces the job table by the copy and applies the entries after it.
    void adoptState(const StateCopy &copy);
    /// Ends the recovery once the job table is stored.
    void storeAdoptedState();
    void rejectCopy(std::string_view reason);
    /// Records on the disk whether what it holds leads to a wrong state.
    void markStoredState(bool isWrong);
    void serveStates();
    [[nodiscard]] bool maySupplyState() const;
    void reportDispute(Instant now);
    /// Ends the waits of callers, and the leadership as far as others see it.
    void endLeadership();
    void handleRoleChange(const RoleChanged &change);
    /// Returns whether one was taken and stored.
    bool takeSnapshot();
    /// Logs voters that stop or start to answer this leader, and updates the metrics of both.
    void observeVoters(Instant now);
    void planMembership();
    /// Asks all control processes that this one knows of to let it join, as only the leader does.
    void askToJoin();
    void failWaiters();

    EventLoop &m_loop;
    ReplicaDriverSettings m_settings;
    FleetSettings m_fleet;
    JobTable &m_jobTable;
    FleetMetrics &m_metrics;
    Observer m_observer;
    std::mt19937_64 m_random;
    Member m_self;
    LogStoreOpener m_openStore;
    std::unique_ptr<LogStore> m_store;
    std::unique_ptr<Replica> m_replica;
    bool m_stopped = false; ///< After a storage failure, until the replica is reopened.
    SyncedState m_synced;
    Instant m_reopenAt; ///< Used only while stopped.
    Duration m_reopenPause = Duration::zero();
    /// Whether the folder has lost what was synced, so that the replica needs a new name.
    bool m_hasLostEntries = false;
    StateRecovery m_recovery; ///< Active while the job table must not be used.
    /// Whether the job table is that of a copy, and only has to be stored.
    bool m_isCopyAdopted = false;
    StateSupply m_supply;
    std::vector<StateRequest> m_stateRequests;
    LogIndex m_disputedIndex = 0; ///< Highest one that was logged.
    Instant m_nextDisputeReport;
    bool m_wasLeader = false;
    /// Latest term in which this replica led and had applied everything that earlier leaders had
    /// committed.
    Term m_caughtUpTerm = 0;
    std::deque<Effect> m_deferred; ///< Effects on the job table and the role, in order.
    Instant m_servedReplicasAt;
    std::map<std::string, Peer> m_peers; ///< By address.
    std::map<ReplicaId, std::string> m_reportedAddresses;
    std::vector<Proposal> m_proposals;
    std::multimap<LogIndex, Waiter> m_waiters;
    std::map<LogIndex, EntryTimes> m_entryTimes;
    std::map<LogIndex, StateDigest> m_digests;
    std::size_t m_bytesSinceSnapshot = 0;
    MembershipPlanner m_planner;
    MembershipMonitor m_monitor;
    std::set<ReplicaId> m_silentVoters; ///< Of this leader.
    Instant m_nextPlan;
    Instant m_nextJoin;
};

} // namespace guavashift
