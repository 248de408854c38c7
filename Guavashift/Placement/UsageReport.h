#pragma once

#include <Guavashift/State/State.h>

namespace guavashift {

/// What the platform measured of one task some time ago.
struct UsageReport
{
    TaskId task;
    Attempt attempt = 0;
    WallMs measuredAt = 0; ///< When it was measured, not when it arrives.
    Resources used;
    /// Latency-critical: tail latency against the task alone on an idle VM. Batch: run time against
    /// the same. 100 means undisturbed; 0 means not measured.
    std::uint32_t slowdownPercent = 0;
    /// Latency-critical: share of its processors in use, which grows with the day's load.
    std::uint32_t loadPercent = 0;
    std::int64_t doneMs = 0; ///< Batch: work done so far.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UsageReport, task, attempt, measuredAt, used,
                                                slowdownPercent, loadPercent, doneMs)

} // namespace guavashift
