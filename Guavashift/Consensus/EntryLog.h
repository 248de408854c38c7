#pragma once

#include <Guavashift/Consensus/LogTypes.h>

#include <deque>
#include <optional>
#include <span>

namespace guavashift {

/// Part of the replicated log that a replica holds in memory: all entries after its snapshot, and
/// the membership in force at the end of the log.
class EntryLog final
{
public:
    EntryLog(SnapshotPointer snapshot, std::vector<LogEntry> entries);

    [[nodiscard]] LogIndex firstIndex() const { return m_baseIndex + 1; }
    [[nodiscard]] LogIndex lastIndex() const { return m_baseIndex + m_entries.size(); }
    [[nodiscard]] Term lastTerm() const { return *termAt(lastIndex()); }
    [[nodiscard]] bool isEmpty() const { return lastIndex() == 0; }

    /// Term of the entry at `index`, which may be the last one in the snapshot; nothing if the
    /// index is outside of the log.
    [[nodiscard]] std::optional<Term> termAt(LogIndex index) const;
    [[nodiscard]] const LogEntry &at(LogIndex index) const;

    /// Copies entries from `from` on: at most `maxCount` entries and at most `maxBytes` of payload,
    /// except that the first entry may be larger.
    [[nodiscard]] std::vector<LogEntry> slice(LogIndex from, std::size_t maxCount,
                                              std::size_t maxBytes) const;

    void append(LogEntry entry);
    void truncateFrom(LogIndex index);

    /// Replaces the entries up to the snapshot's last index by the snapshot. If the log has no
    /// entry with that index and the snapshot's term, the whole log is replaced.
    void compact(SnapshotPointer snapshot);

    [[nodiscard]] const SnapshotPointer &snapshot() const { return m_snapshot; }
    [[nodiscard]] const Membership &membership() const { return m_memberships.back().membership; }
    /// Index of the entry that set membership().
    [[nodiscard]] LogIndex membershipIndex() const { return m_memberships.back().index; }

private:
    struct MembershipAt
    {
        LogIndex index = 0;
        Membership membership;
    };

    SnapshotPointer m_snapshot;
    LogIndex m_baseIndex = 0;
    Term m_baseTerm = 0;
    std::deque<LogEntry> m_entries;
    std::vector<MembershipAt> m_memberships;
};

} // namespace guavashift
