#include <UnitTests/Fleet/FullDiskLogStore.h>

namespace guavashift {

namespace {

tl::unexpected<Error> diskFull()
{
    return fail(ErrorCode::Io, "No space left on device");
}

} // namespace

FullDiskLogStore::FullDiskLogStore(std::unique_ptr<LogStore> store, const std::atomic<bool> &isFull)
    : m_store(std::move(store))
    , m_isFull(isFull)
{
}

bool FullDiskLogStore::refuses()
{
    m_failed = m_failed || m_isFull;
    return m_failed;
}

Result<void> FullDiskLogStore::saveHardState(const HardState &hardState)
{
    return m_store->saveHardState(hardState);
}

Result<void> FullDiskLogStore::truncateFrom(LogIndex index)
{
    return m_store->truncateFrom(index);
}

Result<void> FullDiskLogStore::append(std::span<const LogEntry> entries)
{
    return m_store->append(entries);
}

Result<void> FullDiskLogStore::sync()
{
    return refuses() ? Result<void>(diskFull()) : m_store->sync();
}

Result<void> FullDiskLogStore::replaceBySnapshot(const Snapshot &snapshot,
                                                 const HardState &hardState,
                                                 std::span<const LogEntry> tail)
{
    return refuses() ? Result<void>(diskFull())
                     : m_store->replaceBySnapshot(snapshot, hardState, tail);
}

LogStoreOpener openerOf(const std::atomic<bool> &isFull)
{
    return [&isFull](const std::filesystem::path &folder, PersistentState &state,
                     StoredFiles files) -> Result<std::unique_ptr<LogStore>> {
        if (isFull)
            return diskFull();
        Result<std::unique_ptr<FileLogStore>> store = FileLogStore::open(folder, state, files);
        if (!store)
            return tl::unexpected(store.error());
        return std::make_unique<FullDiskLogStore>(std::move(*store), isFull);
    };
}

} // namespace guavashift
