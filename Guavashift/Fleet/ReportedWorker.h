#pragma once

#include <Guavashift/Dispatch/WorkerFacts.h>

#include <functional>

namespace guavashift {

/// A report of a worker about itself, as it arrived at an agent.
struct ReportedWorker
{
    WorkerFacts facts;
    std::uint64_t sequence = 0; ///< Rises with each report of a lifetime.
    std::string address;        ///< At which the sender says that it takes calls.
};

/// What an agent says to the sender of a report.
enum class ReportAnswer : std::uint8_t {
    Taken,     ///< It is of the agent's worker.
    NotOurs,   ///< Another worker, or another lifetime, takes calls at the worker's address.
    Unverified ///< The worker's address did not answer in time.
};

using ReportCallback = std::function<void(ReportAnswer)>;

} // namespace guavashift
