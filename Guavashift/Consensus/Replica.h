#pragma once

#include <Guavashift/Consensus/Effects.h>
#include <Guavashift/Consensus/EntryLog.h>
#include <Guavashift/Consensus/PeerProgress.h>
#include <Guavashift/Consensus/StateAgreement.h>

#include <map>
#include <optional>
#include <random>
#include <set>

namespace guavashift {

/// Timeouts and size limits of the replicated log.
struct ReplicaSettings
{
    Duration heartbeatInterval = std::chrono::milliseconds(100);
    /// Shortest time without contact to a leader before an election; also the time after such
    /// contact during which a voter refuses to vote for another.
    Duration electionTimeoutMin = std::chrono::milliseconds(500);
    Duration electionTimeoutMax = std::chrono::milliseconds(1000);
    /// Time for which contact with a quorum allows the leader to answer reads, counted from the
    /// send time. Must be less than electionTimeoutMin.
    Duration leaderLease = std::chrono::milliseconds(450);
    /// Time without contact to a leader after which a voter whose state must not be used starts an
    /// election too.
    Duration electionWithoutState = std::chrono::milliseconds(4000);
    /// Time after which an unanswered append is sent again to a peer that answers other messages.
    Duration resendInterval = std::chrono::milliseconds(300);
    /// Time allowed for a leadership transfer; after it the old leader steps down.
    Duration transferTimeout = std::chrono::milliseconds(1000);
    std::size_t maxEntriesPerAppend = 1024;
    std::size_t maxBytesPerAppend = 1 << 20;
    std::size_t snapshotChunkBytes = 256 << 10;

    /// Safety mechanisms. Only tests disable one, to check that the property it guards is then
    /// violated.
    bool preVote = true;
    bool leaderStickiness = true;
    bool quorumCheck = true;
    bool syncBeforeReply = true;
    bool refuseVoteWithEmptyLog = true;
};

/// One replica of the log, as a state machine without I/O: time and messages come in as values,
/// takeEffects() returns the effects, and the caller carries them out in order. Not thread-safe.
class Replica final
{
public:
    Replica(const ReplicaSettings &settings, ReplicaId self, PersistentState state,
            std::uint64_t seed, Instant now);

    /// Runs the timers that are due. Call at least every few tens of milliseconds.
    void tick(Instant now);

    void receive(Instant now, const Envelope &envelope);

    /// Appends a command and returns its index. Fails if this replica is not the leader or is
    /// transferring leadership.
    Result<LogIndex> propose(Instant now, std::string payload);

    /// Appends a membership that differs in at most one voter from the current one. Fails as
    /// propose() does, and while an earlier change is not committed, before the first commit of
    /// this term, or if a new voter has not synced everything committed.
    Result<LogIndex> proposeMembership(Instant now, const Membership &membership);

    /// Starts to transfer leadership to the most up-to-date reachable voter. The lease of this
    /// leader ends first. Fails if this replica is not the leader or no other voter is reachable.
    Result<void> transferLeadership(Instant now);

    /// Reports that all storage effects taken so far are synced.
    void synced(Instant now);

    /// Removes the entries up to `snapshot->lastIndex`, once the snapshot of the state machine
    /// after that index is stored.
    void compact(SnapshotPointer snapshot);

    /// Reports the digest of the state machine after a committed entry. The leader compares those
    /// of all voters.
    void updateDigest(const StateDigest &digest);

    /// Sets whether the state machine of this replica may be used, which it may at first. A replica
    /// without one still votes and stores what it is sent, since its log is not in doubt. It starts
    /// no election as long as another voter may win one, and as the leader it hands its leadership
    /// over.
    void setStateUsable(Instant now, bool isUsable);

    /// Records that the state machine was replaced by that of another replica, which has applied
    /// everything up to the entry with that index and term. Returns false if the log does not reach
    /// the entry; the state cannot be used then.
    [[nodiscard]] bool replaceState(LogIndex index, Term term);

    /// See StateAgreement::disputed(). Nothing unless this replica leads.
    [[nodiscard]] std::optional<LogIndex> disputedState() const;

    [[nodiscard]] std::vector<Effect> takeEffects();

    [[nodiscard]] ReplicaRole role() const { return m_role; }
    [[nodiscard]] bool isLeader() const { return m_role == ReplicaRole::Leader; }
    /// Whether this leader hands its leadership over and therefore appends nothing.
    [[nodiscard]] bool isTransferring() const { return isLeader() && m_transferDeadline; }
    /// Whether this leader took over by a transfer, so that the leader before gave up its office.
    [[nodiscard]] bool tookOver() const { return isLeader() && m_isTransferReceived; }
    /// When this replica became the leader. Only for the leader.
    [[nodiscard]] Instant leaderSince() const { return m_leaderSince; }
    [[nodiscard]] Term term() const { return m_hardState.term; }
    [[nodiscard]] const HardState &hardState() const { return m_hardState; }
    [[nodiscard]] const ReplicaId &id() const { return m_self; }
    [[nodiscard]] const ReplicaId &leader() const { return m_leader; }
    [[nodiscard]] LogIndex commitIndex() const { return m_commitIndex; }
    [[nodiscard]] LogIndex appliedIndex() const { return m_appliedIndex; }
    [[nodiscard]] const EntryLog &log() const { return m_log; }
    [[nodiscard]] const Membership &membership() const { return m_log.membership(); }

    /// Whether this leader may answer reads at `now` without contacting a quorum again: its lease
    /// is valid and it has committed an entry of its own term.
    [[nodiscard]] bool hasLease(Instant now) const;

    /// Highest index that this leader knows `peer` to have synced; 0 if unknown.
    [[nodiscard]] LogIndex matchIndex(const ReplicaId &peer) const;
    /// Time of the last reply of `peer` to this leader, initially the time at which tracking it
    /// began; Instant() if unknown.
    [[nodiscard]] Instant lastContact(const ReplicaId &peer) const;

private:
    // Elections.
    void becomeFollower(Instant now, Term term, const ReplicaId &leader, RoleChangeReason reason);
    /// Becomes a follower of `leader`, which sent a message of that term.
    void follow(Instant now, Term term, const ReplicaId &leader);
    void startPreVote(Instant now);
    void startElection(Instant now, RoleChangeReason reason);
    void becomeLeader(Instant now);
    void resetElectionTimer(Instant now);
    void requestVotes(Term term, bool preVote, bool transfer);
    void countVotes(Instant now);
    [[nodiscard]] bool hasRecentLeaderContact(Instant now) const;
    [[nodiscard]] bool mayStartElection(Instant now) const;
    [[nodiscard]] bool isUpToDate(const VoteRequest &request) const;
    void handle(Instant now, const ReplicaId &from, const VoteRequest &request);
    void handle(Instant now, const ReplicaId &from, const VoteReply &reply);
    void handle(Instant now, const ReplicaId &from, const TimeoutNow &request);

    // Replication.
    void appendAsLeader(Instant now, EntryKind kind, std::string payload);
    void replicate(Instant now, bool heartbeat);
    void sendTo(Instant now, PeerProgress &peer);
    void sendSnapshotChunk(Instant now, PeerProgress &peer);
    void updatePeers(Instant now);
    void advanceCommit(Instant now);
    void emitCommitted();
    void acceptEntries(const AppendRequest &request);
    /// Records the digest that a voter has. Emits the one that a quorum has, if that is new.
    void recordDigest(const ReplicaId &replica, const StateDigest &digest);
    void recordSentRound(Instant now, PeerProgress &peer);
    void recordContact(Instant now, PeerProgress &peer, std::uint64_t round);
    /// Records contact with the peer that sent a reply and returns the peer. Returns null if this
    /// replica does not lead in the reply's term, which makes it a follower if higher, or if `from`
    /// is no peer.
    PeerProgress *recordReply(Instant now, const ReplicaId &from, Term term, std::uint64_t round);
    [[nodiscard]] Instant quorumContactTime(Instant now) const;
    [[nodiscard]] Duration quorumContactAge(Instant now) const;
    void checkQuorum(Instant now);
    void installReceivedSnapshot(Instant now, const ReplicaId &from, const SnapshotChunk &chunk);
    void handle(Instant now, const ReplicaId &from, const AppendRequest &request);
    void handle(Instant now, const ReplicaId &from, const AppendReply &reply);
    void handle(Instant now, const ReplicaId &from, const SnapshotChunk &chunk);
    void handle(Instant now, const ReplicaId &from, const SnapshotReply &reply);

    void saveHardState();
    void send(const ReplicaId &to, MessageBody body, bool afterSync);
    void emitRoleChange(Instant now, RoleChangeReason reason,
                        std::optional<Duration> contactAge = std::nullopt);

    ReplicaSettings m_settings;
    ReplicaId m_self;
    std::mt19937_64 m_random;
    HardState m_hardState;
    EntryLog m_log;
    ReplicaRole m_role = ReplicaRole::Follower;
    ReplicaId m_leader;
    LogIndex m_commitIndex = 0;
    LogIndex m_appliedIndex = 0;
    LogIndex m_syncedIndex = 0;
    Instant m_electionDeadline;
    Instant m_lastLeaderContact;
    std::set<ReplicaId> m_votes;
    Term m_preVoteTerm = 0;

    // Used only while leading.
    std::map<ReplicaId, PeerProgress> m_peers;
    LogIndex m_termStartIndex = 0;
    std::uint64_t m_round = 0;
    Instant m_leaderSince;
    bool m_isTransferReceived = false; ///< Of this replica's latest election.
    Instant m_nextHeartbeat;
    std::optional<Instant> m_transferDeadline;
    StateAgreement m_agreement;

    StateDigest m_digest; ///< The newest one of this replica.
    bool m_isStateUsable = true;

    // Snapshot that is being received.
    std::string m_receivedData;
    LogIndex m_receivedIndex = 0;
    Term m_receivedTerm = 0;

    std::vector<Effect> m_effects;
};

} // namespace guavashift
