#pragma once

#include <Guavashift/Dispatch/WaitState.h>

namespace guavashift {

/// Long-running tasks of active jobs that have not been running for some time.
struct LongRunningWaits
{
    std::size_t count = 0;
    // Of the task that has not been running for the longest time.
    TaskRef oldest;
    Duration age = Duration::zero(); ///< Since it was last listed as running or became ready.
    WaitState state;
};

} // namespace guavashift
