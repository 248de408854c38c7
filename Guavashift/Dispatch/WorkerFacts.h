#pragma once

#include <Guavashift/Stages/Stages.h>

namespace guavashift {

/// What a worker says of itself, as its agent passes it on.
struct WorkerFacts
{
    Lifetime lifetime;
    std::string service; ///< The pool it belongs to.
    std::string zone;
    std::string machine;
    Resources capacity;
    std::vector<std::string> labels; ///< Kind and rack.
    bool draining = false;
    std::int64_t drainLeftMs = 0; ///< Least time until a draining worker leaves.

    bool operator==(const WorkerFacts &) const = default;

    [[nodiscard]] bool hasLabel(std::string_view label) const
    {
        return std::find(labels.begin(), labels.end(), label) != labels.end();
    }
    /// The rack stands last among the labels.
    [[nodiscard]] std::string_view rack() const
    {
        return labels.empty() ? std::string_view() : std::string_view(labels.back());
    }
};

/// One run as its worker shows it.
struct RunStatus
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string checkpoint; ///< The newest; empty: none.
    std::int32_t percent = 0;
    /// Milliseconds of tail latency for a task that latencyCritical, otherwise thousandths of a
    /// core in use.
    double measurement = 0;
};

/// What an agent must know of a run beside its name.
struct RunTraits
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string image;
    std::int64_t tailTargetMs = 0;
    bool bestEffort = false;
    std::int64_t milliCores = 0;
};

/// What was learned of one pair of images, see InterferenceTable.
struct InterferenceRow
{
    std::string latencyCriticalImage;
    std::string bestEffortImage;
    double interference = 0;
};

/// Bind a task to a worker: sent to its agent once committed.
struct StartOrder
{
    Lifetime lifetime;
    RunTraits traits;
    std::string payload;
    std::string checkpoint;
    std::string approval; ///< Ticket of the policy service; empty: none needed.
};

struct StopOrder
{
    Lifetime lifetime;
    TaskRef task;
    std::uint32_t run = 0;
};

} // namespace guavashift
