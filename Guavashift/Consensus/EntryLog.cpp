#include <Guavashift/Consensus/EntryLog.h>

namespace guavashift {

EntryLog::EntryLog(SnapshotPointer snapshot, std::vector<LogEntry> entries)
    : m_snapshot(std::move(snapshot))
{
    m_memberships.push_back({0, {}});
    if (m_snapshot) {
        m_baseIndex = m_snapshot->lastIndex;
        m_baseTerm = m_snapshot->lastTerm;
        m_memberships.back() = {m_baseIndex, m_snapshot->membership};
    }
    for (LogEntry &entry : entries) {
        if (entry.index > m_baseIndex)
            append(std::move(entry));
    }
}

std::optional<Term> EntryLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

const LogEntry &EntryLog::at(LogIndex index) const
{
    GUAVASHIFT_CHECK(index > m_baseIndex && index <= lastIndex());
    return m_entries[index - m_baseIndex - 1];
}

std::vector<LogEntry> EntryLog::slice(LogIndex from, std::size_t maxCount,
                                      std::size_t maxBytes) const
{
    std::vector<LogEntry> entries;
    std::size_t bytes = 0;
    for (LogIndex index = from; index <= lastIndex() && entries.size() < maxCount; ++index) {
        const LogEntry &entry = at(index);
        bytes += entry.payload.size();
        if (!entries.empty() && bytes > maxBytes)
            break;
        entries.push_back(entry);
    }
    return entries;
}

void EntryLog::append(LogEntry entry)
{
    GUAVASHIFT_CHECK(entry.index == lastIndex() + 1);
    // A membership is in force as soon as it is in the log, committed or not.
    if (entry.kind == EntryKind::Membership)
        m_memberships.push_back({entry.index, Json::parse(entry.payload).get<Membership>()});
    m_entries.push_back(std::move(entry));
}

void EntryLog::truncateFrom(LogIndex index)
{
    GUAVASHIFT_CHECK(index > m_baseIndex);
    while (lastIndex() >= index)
        m_entries.pop_back();
    while (m_memberships.size() > 1 && m_memberships.back().index >= index)
        m_memberships.pop_back();
}

void EntryLog::compact(SnapshotPointer snapshot)
{
    GUAVASHIFT_CHECK(snapshot->lastIndex >= m_baseIndex);
    if (termAt(snapshot->lastIndex) == snapshot->lastTerm) {
        m_entries.erase(m_entries.begin(),
                        m_entries.begin()
                            + static_cast<std::ptrdiff_t>(snapshot->lastIndex - m_baseIndex));
        std::vector<MembershipAt> kept{{snapshot->lastIndex, snapshot->membership}};
        for (MembershipAt &known : m_memberships) {
            if (known.index > snapshot->lastIndex)
                kept.push_back(std::move(known));
        }
        m_memberships = std::move(kept);
    } else {
        m_entries.clear();
        m_memberships = {{snapshot->lastIndex, snapshot->membership}};
    }
    m_baseIndex = snapshot->lastIndex;
    m_baseTerm = snapshot->lastTerm;
    m_snapshot = std::move(snapshot);
}

} // namespace guavashift
