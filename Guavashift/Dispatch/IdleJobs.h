#pragma once

#include <Guavashift/Dispatch/WaitState.h>

namespace guavashift {

/// A job of which tasks with an end are ready or bound and none has been running for some time.
struct IdleJob
{
    TaskRef oldest; ///< Of its tasks that do not run, the one that has been ready for longest.
    Duration age = Duration::zero(); ///< Since a task ran, or since `oldest` became ready.
    std::uint32_t queued = 0;        ///< Tasks in the queue.
    std::uint32_t bound = 0;         ///< Tasks that are bound, or proposed to be, and do not run.
    std::uint32_t fitting = 0;       ///< Tasks like `oldest` for which the service has capacity.
    double reservedShare = 0;        ///< Of the service's processors.
    /// Workers that are excluded for `oldest` by their interference and run no best-effort task, so
    /// that nothing there can show whether the prediction is right.
    std::uint32_t unobserved = 0;
    double bestSpeed = 0; ///< Greatest speed predicted for `oldest` on one of these.
    WaitState state;      ///< Of `oldest`.
};

/// All such jobs.
struct IdleJobs
{
    std::size_t count = 0;
    /// Of the 32 that have been idle for longest, jobs for two tasks of which there is capacity.
    std::size_t withCapacity = 0;
    std::vector<IdleJob> longest; ///< Those that have been idle for longest.
};

} // namespace guavashift
