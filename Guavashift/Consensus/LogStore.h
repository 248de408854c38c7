#pragma once

#include <Guavashift/Consensus/LogTypes.h>

#include <filesystem>
#include <functional>
#include <memory>
#include <span>

namespace guavashift {

/// Durable storage of one replica. Writes may be buffered until sync(). After the first error
/// nothing more is stored: a failed sync is never retried, because the kernel may have dropped the
/// pages that it could not write.
class LogStore
{
public:
    LogStore() = default;
    LogStore(const LogStore &) = delete;
    LogStore &operator=(const LogStore &) = delete;
    virtual ~LogStore() = default;

    virtual Result<void> saveHardState(const HardState &hardState) = 0;
    virtual Result<void> truncateFrom(LogIndex index) = 0;
    virtual Result<void> append(std::span<const LogEntry> entries) = 0;

    /// Returns when everything written so far is on the disk.
    virtual Result<void> sync() = 0;

    /// Stores the snapshot durably, then replaces the log by `hardState` and `tail`, the entries
    /// after the snapshot. After a crash in between, the old or the new state is found.
    virtual Result<void> replaceBySnapshot(const Snapshot &snapshot, const HardState &hardState,
                                           std::span<const LogEntry> tail) = 0;
};

/// What is known of the files that are opened.
enum class StoredFiles : std::uint8_t {
    Synced,  ///< Everything that can be read is on the disk.
    Unsynced ///< A write or sync has failed since the machine started. What can be read may be in
             ///< the kernel's cache only and must be written again.
};

/// Opens the store in a data folder and reads its content into the state, which is passed in empty.
using LogStoreOpener = std::function<Result<std::unique_ptr<LogStore>>(
    const std::filesystem::path &folder, PersistentState &state, StoredFiles files)>;

} // namespace guavashift
