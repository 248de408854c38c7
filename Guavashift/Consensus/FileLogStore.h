#pragma once

#include <Guavashift/Consensus/File.h>
#include <Guavashift/Consensus/LogStore.h>

#include <filesystem>
#include <string>

namespace guavashift {

/// LogStore in the files "snapshot" and "log" of one data folder. Both are sequences of records,
/// each with magic number, kind, length and an XXH3 checksum. A file is replaced by writing and
/// syncing a new one, renaming it, and syncing the folder.
class FileLogStore final : public LogStore
{
public:
    /// Opens the folder and reads its content into `state`. Removes a torn record at the end of the
    /// log; any other damage is an error. Unsynced files are replaced by synced copies.
    static Result<std::unique_ptr<FileLogStore>> open(const std::filesystem::path &folder,
                                                      PersistentState &state,
                                                      StoredFiles files = StoredFiles::Synced);

    Result<void> saveHardState(const HardState &hardState) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> sync() override;
    Result<void> replaceBySnapshot(const Snapshot &snapshot, const HardState &hardState,
                                   std::span<const LogEntry> tail) override;

private:
    explicit FileLogStore(std::filesystem::path folder);

    Result<void> recordIfFailed(Result<void> result);

    std::filesystem::path m_folder;
    File m_log;
    std::string m_buffer;
    bool m_failed = false;
};

} // namespace guavashift
