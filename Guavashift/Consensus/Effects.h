#pragma once

#include <Guavashift/Consensus/Messages.h>

namespace guavashift {

/// Store this before anything marked `afterSync` is sent.
struct SaveHardState
{
    HardState hardState;
};

/// Remove stored entries from this index on.
struct TruncateLog
{
    LogIndex from = 0;
};

/// Store these entries behind the ones stored already.
struct AppendToLog
{
    std::vector<LogEntry> entries;
};

/// Store the snapshot that came from the leader and load it into the state machine.
struct InstallSnapshot
{
    SnapshotPointer snapshot;
};

/// Send a message; if `afterSync`, only when all storage effects so far are synced.
struct SendMessage
{
    Envelope envelope;
    bool afterSync = false;
};

/// Hand committed entries to the state machine, in order.
struct ApplyEntries
{
    std::vector<LogEntry> entries;
};

/// The leader's digest at an index, to be compared with the own one.
struct CompareDigest
{
    StateDigest digest;
};

enum class ReplicaRole { Follower, PreCandidate, Candidate, Leader };

/// This replica's role or its known leader changed.
struct RoleChanged
{
    ReplicaRole role = ReplicaRole::Follower;
    Term term = 0;
    ReplicaId leader;
};

using Effect = std::variant<SaveHardState, TruncateLog, AppendToLog, InstallSnapshot, SendMessage,
                            ApplyEntries, CompareDigest, RoleChanged>;

} // namespace guavashift
