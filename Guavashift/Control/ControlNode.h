#pragma once

#include <Guavashift/Consensus/DataFolder.h>
#include <Guavashift/Consensus/MembershipPlanner.h>
#include <Guavashift/Control/JoinLoop.h>
#include <Guavashift/Control/LeaderDuties.h>
#include <Guavashift/Control/PeerLink.h>
#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Telemetry/Telemetry.h>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace guavashift {

struct ControlNodeSettings
{
    ReplicaSettings replica;
    LeaseSettings leases;
    MembershipPlannerSettings membership;
    SchedulerSettings scheduler;
    RpcSettings rpc;
    /// Applied log entries after which a snapshot replaces them.
    LogIndex snapshotInterval = 20'000;
    /// State digests are compared between replicas at multiples of this log index.
    LogIndex digestInterval = 64;
};

/// One control process: runs a Replica with its log store and peers, applies committed commands to
/// the state machine, and performs the leader's duties. All of this runs on one thread; other
/// threads submit work through post().
class ControlNode final
{
public:
    ControlNode(const ControlNodeSettings &settings, DataFolder folder, Member self,
                std::vector<std::string> controlAddresses, Telemetry &telemetry,
                std::uint64_t seed);
    ~ControlNode();
    ControlNode(const ControlNode &) = delete;
    ControlNode &operator=(const ControlNode &) = delete;

    Result<void> start();
    void stop();

    // Handlers of the control role's RPC methods. Thread-safe. They wait for the node's thread and
    // return Timeout if it does not answer in time; receive() returns at once.
    Result<Json> receive(const Json &parameters);
    Result<Json> join(const Json &parameters);
    Result<Json> bootstrap();
    Result<Json> execute(const Json &parameters);
    Result<Json> heartbeat(const Json &parameters);
    Result<Json> query(const Json &parameters);
    Result<Json> changeMember(const Json &parameters);

    /// Transfers leadership if this replica leads. Returns when this replica no longer leads or
    /// after `timeout`.
    void transferLeadership(Duration timeout);

    /// Whether a leader is known, for readiness. Thread-safe.
    [[nodiscard]] bool hasLeader() const { return m_hasLeader; }
    /// Whether the replica is stopped, see storageFailed() and stopReplica(). Thread-safe.
    [[nodiscard]] bool hasFailed() const { return m_hasFailed; }

private:
    using Work = std::function<void()>;
    using OutcomePromise = std::promise<Result<Json>>;

    /// Commands that have not been appended to the log.
    struct Proposal
    {
        std::vector<CommandBody> commands;
        std::shared_ptr<OutcomePromise> promise;
    };

    /// A caller that waits for `count` outcomes of a log entry, from the outcome `first` on.
    struct Waiter
    {
        Term term = 0;
        std::size_t first = 0;
        std::size_t count = 0;
        std::shared_ptr<OutcomePromise> promise;
    };

    void post(Work work);
    Result<Json> postAndWait(std::function<Result<Json>()> work);
    void run();
    void runPosted();

    // Consensus.
    /// Opens the data folder and starts the replica with the state in it alone.
    [[nodiscard]] Result<void> openReplica();
    /// Starts a replica whose storage failed again, once the next attempt is due.
    void reopenReplica();
    void makeReplica(PersistentState state);
    void recordSynced();
    void processEffects();
    void store(const Effect &effect);
    void sendMessages(const std::vector<Effect> &effects, bool afterSync);
    void applyEntries(const ApplyEntries &apply);
    void applyEntry(const LogEntry &entry);
    void installSnapshot(const InstallSnapshot &install);
    [[nodiscard]] Result<void> loadSnapshot(const Snapshot &snapshot);
    /// Compares the state with the one that a quorum of the voters has.
    void compareDigest(const CompareDigest &compare);
    /// Builds the state again from the data folder, once that is due.
    void rebuildState();
    void roleChanged(const RoleChanged &change);
    void startSnapshot();
    void finishSnapshot();
    void proposePending();
    /// Stops the replica after a disk error. reopenReplica() starts it again.
    void storageFailed(const Error &error);
    /// Stops the replica. Without a time in m_reopenAt, it stays stopped. Only a folder that has
    /// lost what was synced leaves none.
    void stopReplica(const Error &error);
    [[nodiscard]] prometheus::Gauge &leaderGauge();
    PeerLink *linkTo(const ReplicaId &id);
    void updateJoinLoop();

    // Leader.
    void doLeaderDuties(Instant now);
    [[nodiscard]] Result<void> requireLease() const;
    [[nodiscard]] std::string leaderAddress() const;
    Result<Json> answerHeartbeat(const HeartbeatRequest &request);
    Result<Json> answerQuery(const Query &query);
    [[nodiscard]] Json describeStatus() const;

    ControlNodeSettings m_settings;
    DataFolder m_folder;
    Member m_self;
    Telemetry &m_telemetry;
    std::mt19937_64 m_random;

    std::unique_ptr<LogStore> m_store;
    std::unique_ptr<Replica> m_replica;
    StateMachine m_state;
    std::uint64_t m_digest = 0;
    std::map<LogIndex, std::uint64_t> m_digests;
    LogIndex m_snapshotIndex = 0;
    std::future<SnapshotPointer> m_snapshotJob;
    bool m_needsSync = false;
    // The end of what this replica has stored and synced.
    Term m_syncedTerm = 0;
    LogIndex m_syncedIndex = 0;
    bool m_stopped = false; ///< The replica takes no part, see storageFailed() and stopReplica().
    std::string m_stopReason;
    std::optional<Instant> m_reopenAt; ///< When a stopped replica is started again.
    /// When a state that differs from the others' is built again. Until then the replica votes and
    /// stores, and does not lead.
    std::optional<Instant> m_rebuildAt;
    /// Grows with each rebuild: the same entries may lead to the same state.
    Duration m_rebuildPause = Duration::zero();

    std::map<ReplicaId, std::unique_ptr<PeerLink>> m_peers;
    std::map<ReplicaId, std::string> m_addresses; ///< As sent by the replicas themselves.
    JoinLoop m_joinLoop;
    std::vector<Proposal> m_proposals;
    std::multimap<LogIndex, Waiter> m_waiters;
    MembershipPlanner m_planner;
    LeaderDuties m_duties;
    Instant m_nextDuties;

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<Work> m_posted;
    bool m_stopping = false;
    std::thread m_thread;
    std::atomic<bool> m_hasLeader = false;
    std::atomic<bool> m_hasFailed = false;
};

} // namespace guavashift
