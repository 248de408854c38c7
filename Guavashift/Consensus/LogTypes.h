#pragma once

#include <Guavashift/Consensus/Membership.h>
#include <Guavashift/Core/Core.h>

#include <cstdint>
#include <memory>
#include <string>

namespace guavashift {

/// Number of an election. At most one leader exists in each term.
using Term = std::uint64_t;

/// Position in the replicated log. The first entry has index 1.
using LogIndex = std::uint64_t;

enum class EntryKind : std::uint8_t {
    NoOp,       ///< Appended by a new leader to commit the entries of earlier terms.
    Command,    ///< Payload for the state machine.
    Membership, ///< Payload is a Membership as JSON.
};

/// One record of the replicated log.
struct LogEntry
{
    Term term = 0;
    LogIndex index = 0;
    EntryKind kind = EntryKind::NoOp;
    std::string payload;

    bool operator==(const LogEntry &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogEntry, term, index, kind, payload)

/// Election state that a replica must not lose in a crash.
struct HardState
{
    Term term = 0;
    ReplicaId votedFor;

    bool operator==(const HardState &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HardState, term, votedFor)

/// Image of the state machine that replaces all entries up to and including `lastIndex`.
struct Snapshot
{
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    Membership membership;
    std::string data;
};

using SnapshotPointer = std::shared_ptr<const Snapshot>;

/// Everything that a replica reads from its disk at start.
struct PersistentState
{
    HardState hardState;
    SnapshotPointer snapshot;
    std::vector<LogEntry> entries;
};

} // namespace guavashift
