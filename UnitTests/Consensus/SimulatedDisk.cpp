#include <UnitTests/Consensus/SimulatedDisk.h>

namespace guavashift {

void SimulatedDisk::apply(PersistentState &state, const Effect &effect)
{
    std::visit(Overloaded{[&](const SaveHardState &save) { state.hardState = save.hardState; },
                          [&](const TruncateLog &truncate) {
                              std::erase_if(state.entries, [&](const LogEntry &entry) {
                                  return entry.index >= truncate.from;
                              });
                          },
                          [&](const AppendToLog &append) {
                              state.entries.insert(state.entries.end(), append.entries.begin(),
                                                   append.entries.end());
                          },
                          [](const auto &) {}},
               effect);
}

void SimulatedDisk::write(const Effect &effect)
{
    m_pending.push_back(effect);
}

void SimulatedDisk::replace(SnapshotPointer snapshot, const HardState &hardState,
                            std::vector<LogEntry> entries)
{
    m_pending.clear();
    m_durable = {hardState, std::move(snapshot), std::move(entries)};
}

void SimulatedDisk::sync()
{
    for (const Effect &effect : m_pending)
        apply(m_durable, effect);
    m_pending.clear();
}

void SimulatedDisk::crash(std::mt19937_64 &random)
{
    const std::size_t survivors = m_pending.empty() ? 0 : random() % (m_pending.size() + 1);
    for (std::size_t i = 0; i < survivors; ++i)
        apply(m_durable, m_pending[i]);
    m_pending.clear();
}

void SimulatedDisk::dropNewest(std::size_t count)
{
    for (std::size_t i = 0; i < count && !m_durable.entries.empty(); ++i)
        m_durable.entries.pop_back();
}

void SimulatedDisk::wipe()
{
    m_pending.clear();
    m_durable = {};
}

} // namespace guavashift
