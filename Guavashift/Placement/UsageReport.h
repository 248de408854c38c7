#pragma once

#include <Guavashift/State/State.h>

namespace guavashift {

/// A measurement of one task by the platform, which arrives some time after it was taken.
struct UsageReport
{
    TaskId task;
    Attempt attempt = 0;
    WallMs measuredAt = 0; ///< Time of the measurement, not of its arrival.
    Resources used;
    /// Tail latency of a latency-critical task, or run time of a batch task, relative to the same
    /// task alone on an idle VM. 100: no slowdown; 0: not measured.
    std::uint32_t slowdownPercent = 0;
    /// Latency-critical tasks: share of their processors in use, which grows with the daily load.
    std::uint32_t loadPercent = 0;
    std::int64_t doneMs = 0; ///< Batch tasks: work done so far.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(UsageReport, task, attempt, measuredAt, used,
                                                slowdownPercent, loadPercent, doneMs)

} // namespace guavashift
