#include <UnitTests/Fleet/SlowDiskLogStore.h>

#include <thread>

namespace guavashift {

SlowDiskLogStore::SlowDiskLogStore(std::unique_ptr<LogStore> store, const std::atomic<int> &delayMs)
    : m_store(std::move(store))
    , m_delayMs(delayMs)
{
}

Result<void> SlowDiskLogStore::saveHardState(const HardState &hardState)
{
    return m_store->saveHardState(hardState);
}

Result<void> SlowDiskLogStore::truncateFrom(LogIndex index)
{
    return m_store->truncateFrom(index);
}

Result<void> SlowDiskLogStore::append(std::span<const LogEntry> entries)
{
    return m_store->append(entries);
}

Result<void> SlowDiskLogStore::sync()
{
    wait();
    return m_store->sync();
}

Result<void> SlowDiskLogStore::replaceBySnapshot(const Snapshot &snapshot,
                                                 const HardState &hardState,
                                                 std::span<const LogEntry> tail)
{
    wait();
    return m_store->replaceBySnapshot(snapshot, hardState, tail);
}

void SlowDiskLogStore::wait() const
{
    std::this_thread::sleep_for(std::chrono::milliseconds(m_delayMs));
}

} // namespace guavashift
