#pragma once

#include <Guavashift/Consensus/LogStore.h>

#include <atomic>

namespace guavashift {

/// A store on a disk whose syncs take longer by a time that may change.
class SlowDiskLogStore final : public LogStore
{
public:
    SlowDiskLogStore(std::unique_ptr<LogStore> store, const std::atomic<int> &delayMs);

    Result<void> saveHardState(const HardState &hardState) override;
    Result<void> truncateFrom(LogIndex index) override;
    Result<void> append(std::span<const LogEntry> entries) override;
    Result<void> sync() override;
    Result<void> replaceBySnapshot(const Snapshot &snapshot, const HardState &hardState,
                                   std::span<const LogEntry> tail) override;

private:
    void wait() const;

    std::unique_ptr<LogStore> m_store;
    const std::atomic<int> &m_delayMs;
};

} // namespace guavashift
