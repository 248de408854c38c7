#pragma once

#include <Guavashift/Dispatch/WorkerFacts.h>

namespace guavashift {

/// A report of a worker about itself, as it arrived at an agent.
struct ReportedWorker
{
    WorkerFacts facts;
    std::uint64_t sequence = 0; ///< Rises with each report of a lifetime.
    std::string address;        ///< At which the sender says that it takes calls.
};

} // namespace guavashift
