#pragma once

#include <Guavashift/Consensus/File.h>
#include <Guavashift/Consensus/LogStore.h>

#include <filesystem>
#include <string>

namespace guavashift {

/// LogStore in one data folder: "snapshot" and "log". Both are sequences of records, each with
/// magic number, kind, length and an XXH3 checksum. Replacing a file is write, fsync, rename, fsync
/// of the folder.
class FileLogStore final : public LogStore
{
public:
    /// Opens the folder and reads what it holds into `state`. A record cut off at the end of the
    /// log is removed; any other damage is an error.
    static Result<std::unique_ptr<FileLogStore>> open(const std::filesystem::path &folder,
                                                      PersistentState &state);

    Result<void> saveHardState(const HardState &hardState) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> sync() override;
    Result<void> replaceBySnapshot(const Snapshot &snapshot, const HardState &hardState,
                                   std::span<const LogEntry> tail) override;

private:
    explicit FileLogStore(std::filesystem::path folder);

    Result<void> checked(Result<void> result);

    std::filesystem::path m_folder;
    File m_log;
    std::string m_buffer;
    bool m_failed = false;
};

} // namespace guavashift
