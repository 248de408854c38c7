#pragma once

#include <PerformanceTest/LoadRun.h>

#include <map>

namespace guavashift {

/// Counts of task starts and of contradictions found in the stand-ins' records.
struct AuditResult
{
    std::uint64_t duplicatedOrders = 0; ///< Ran more than once.
    std::uint64_t lostOrders = 0;       ///< Answered but never ran.
    std::uint64_t falseNotRun = 0;      ///< Ran although every answer said not run.
    std::uint64_t taskStarts = 0;
    std::uint64_t overlappingTasks = 0; ///< Tasks with two attempts at the same time.
    std::uint64_t repeatedAttempts = 0; ///< Repeated starts of an attempt.
};

/// Reads the stand-ins' record files and compares them with the answers that callers received.
AuditResult auditRecords(const std::vector<std::string> &files,
                         const std::vector<OrderRecord> &orders);

} // namespace guavashift
