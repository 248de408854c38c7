#pragma once

#include <Guavashift/Stages/QueueTable.h>

namespace guavashift {

/// Until when the completion of a job is worth something to its caller.
struct JobWorth
{
    WallMs objective = 0;   ///< When the job should be complete.
    WallMs worthlessAt = 0; ///< When its completion is worth nothing any more.
};

/// `longestChainMs`: of the job's steps, by the declared estimates. `since`: when the job was
/// accepted or became due.
[[nodiscard]] inline JobWorth worthOf(const QueueSettings &queue, std::int64_t longestChainMs,
                                      WallMs since)
{
    // A completion has a value until this multiple of the time that the objective allows.
    constexpr std::int64_t worthlessFactor = 3;
    const std::int64_t allowed = queue.targetLatencyMs
        + static_cast<std::int64_t>(queue.stretch * static_cast<double>(longestChainMs));
    return {since + allowed, since + worthlessFactor * allowed};
}

} // namespace guavashift
