#pragma once

#include <Guavashift/Consensus/Consensus.h>

#include <random>

namespace guavashift {

/// Simulated disk. Synced writes survive a crash; of the writes after the last sync, a random
/// prefix does.
class SimulatedDisk final
{
public:
    void write(const Effect &effect);
    void replace(SnapshotPointer snapshot, const HardState &hardState,
                 std::vector<LogEntry> entries);
    void sync();
    void crash(std::mt19937_64 &random);
    void wipe();
    /// Removes the newest entries although they were synced, as damage does.
    void dropNewest(std::size_t count);

    [[nodiscard]] const PersistentState &durable() const { return m_durable; }

private:
    static void apply(PersistentState &state, const Effect &effect);

    PersistentState m_durable;
    std::vector<Effect> m_pending;
};

} // namespace guavashift
