#pragma once

#include <Guavashift/Consensus/FileLogStore.h>

#include <atomic>

namespace guavashift {

/// A store in files whose disk can be full: it then refuses every write. Like the files' own store
/// it refuses all further ones too, until it is opened again.
class FullDiskLogStore final : public LogStore
{
public:
    FullDiskLogStore(std::unique_ptr<LogStore> store, const std::atomic<bool> &isFull);

    Result<void> saveHardState(const HardState &hardState) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> sync() override;
    Result<void> replaceBySnapshot(const Snapshot &snapshot, const HardState &hardState,
                                   std::span<const LogEntry> tail) override;

private:
    [[nodiscard]] bool refuses();

    std::unique_ptr<LogStore> m_store;
    const std::atomic<bool> &m_isFull;
    bool m_failed = false;
};

/// Opens stores on a disk that is full while `isFull` is set. A full disk cannot be opened either,
/// since opening may repair the files.
LogStoreOpener openerOf(const std::atomic<bool> &isFull);

} // namespace guavashift
