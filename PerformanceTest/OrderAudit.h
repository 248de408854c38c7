#pragma once

#include <PerformanceTest/LoadRun.h>

#include <map>

namespace guavashift {

/// What the stand-ins' records say of the orders and tasks.
struct AuditResult
{
    std::uint64_t duplicatedOrders = 0; ///< Ran more than once.
    std::uint64_t lostOrders = 0;       ///< Answered but never ran.
    std::uint64_t falseNotRun = 0;      ///< Said not to have run each time, but ran.
    std::uint64_t taskStarts = 0;
    std::uint64_t overlappingTasks = 0; ///< Two attempts of a task at the same time.
    std::uint64_t repeatedAttempts = 0; ///< The same attempt started twice.
};

/// Reads the record files and compares them with what callers were told.
AuditResult auditRecords(const std::vector<std::string> &files,
                         const std::vector<OrderRecord> &orders);

} // namespace guavashift
