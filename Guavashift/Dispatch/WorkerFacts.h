#pragma once

#include <Guavashift/Stages/Stages.h>

namespace guavashift {

/// A worker's description of itself, as forwarded by its agent.
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
    std::int64_t coldLeftMs = 0;  ///< Time for which it is slow after its start.

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

/// State of one run as its worker reports it.
struct RunStatus
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string checkpoint; ///< The newest one; empty: none.
    std::int32_t percent = 0;
    /// Tail latency in milliseconds for a latency-critical task, otherwise thousandths of a core in
    /// use.
    double measurement = 0;
};

/// How a lifetime of a worker ended.
enum class LifetimeEnd : std::uint8_t {
    Left,        ///< The worker drained or announced its end.
    Unreachable, ///< The lease ran out while the worker did not answer; it may answer again.
    Crashed      ///< The worker's program ended without notice, or another one replaced it.
};
std::string_view nameOf(LifetimeEnd end);

/// Identifies one run of a task.
struct TaskRun
{
    TaskRef task;
    std::uint32_t run = 0;

    auto operator<=>(const TaskRun &) const = default;
};

/// Properties of a run that its agent needs besides the run's identity.
struct RunTraits
{
    TaskRef task;
    std::uint32_t run = 0;
    std::string image;
    std::int64_t tailTargetMs = 0;
    bool bestEffort = false;
    std::int64_t milliCores = 0;
};

/// Interference learned for one pair of images, see InterferenceTable.
struct InterferenceRow
{
    std::string latencyCriticalImage;
    std::string bestEffortImage;
    double interference = 0;
};

/// Starts a bound run on its worker. Sent to the worker's agent once the binding is committed.
struct StartOrder
{
    Lifetime lifetime;
    RunTraits traits;
    std::string payload;
    std::string checkpoint;
    std::string approval; ///< Ticket from the policy service; empty: none needed.
};

/// Stops a run on its worker.
struct StopOrder
{
    Lifetime lifetime;
    TaskRef task;
    std::uint32_t run = 0;
};

} // namespace guavashift
