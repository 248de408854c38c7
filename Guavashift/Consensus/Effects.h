#pragma once

#include <Guavashift/Consensus/Messages.h>

#include <optional>

namespace guavashift {

/// Store the hard state; sync it before sending any message marked `afterSync`.
struct SaveHardState
{
    HardState hardState;
};

/// Remove the stored entries at and after index `from`.
struct TruncateLog
{
    LogIndex from = 0;
};

/// Append these entries to the stored log.
struct AppendToLog
{
    std::vector<LogEntry> entries;
};

/// Store the snapshot received from the leader and load it into the state machine.
struct InstallSnapshot
{
    SnapshotPointer snapshot;
};

/// Send a message; with `afterSync`, only once all storage effects so far are synced.
struct SendMessage
{
    Envelope envelope;
    bool afterSync = false;
};

/// Apply committed entries to the state machine, in order.
struct ApplyEntries
{
    std::vector<LogEntry> entries;
};

/// Compare the digest that a quorum of the voters has at an index with the local one. If they
/// differ, the local state is wrong.
struct CompareDigest
{
    StateDigest digest;
};

enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

/// Why a replica's role, term or known leader changed.
enum class RoleChangeReason {
    LeaderSilent,     ///< The election timeout passed without contact with a leader.
    PreVoteWon,       ///< A quorum would vote for this replica, so it starts an election.
    TransferReceived, ///< The leader asked this replica to start an election.
    Elected,
    HigherTerm,      ///< A message of a higher term arrived.
    FollowsLeader,   ///< A leader of this term or a higher one made contact.
    QuorumLost,      ///< The leader had no contact with a quorum for the longest election timeout.
    TransferTimeout, ///< The leader's transfer of leadership took too long.
    StateDiscarded,  ///< The leader's state machine must not be used, and no voter can take over.
    NoLongerVoter    ///< The leader committed a membership in which it is not a voter.
};
/// Name of the reason in logs.
std::string_view nameOf(RoleChangeReason reason);

/// Report that this replica's role, term or known leader changed.
struct RoleChanged
{
    ReplicaRole role = ReplicaRole::Follower;
    Term term = 0;
    ReplicaId leader;
    RoleChangeReason reason = RoleChangeReason::FollowsLeader;
    /// Time since the contact with a quorum or since the election, whichever is later. Only for a
    /// replica that leads or led until this change.
    std::optional<Duration> quorumContactAge;
    /// Time since the last contact with another leader or, without one, since the start.
    Duration leaderContactAge = Duration::zero();
};

using Effect = std::variant<SaveHardState, TruncateLog, AppendToLog, InstallSnapshot, SendMessage,
                            ApplyEntries, CompareDigest, RoleChanged>;

} // namespace guavashift
