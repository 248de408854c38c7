#pragma once

#include <Guavashift/Consensus/Messages.h>

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

/// Compare the leader's state digest at an index with the local one.
struct CompareDigest
{
    StateDigest digest;
};

enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

/// Report that this replica's role, term or known leader changed.
struct RoleChanged
{
    ReplicaRole role = ReplicaRole::Follower;
    Term term = 0;
    ReplicaId leader;
};

using Effect = std::variant<SaveHardState, TruncateLog, AppendToLog, InstallSnapshot, SendMessage,
                            ApplyEntries, CompareDigest, RoleChanged>;

} // namespace guavashift
