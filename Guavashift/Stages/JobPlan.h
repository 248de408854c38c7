#pragma once

#include <Guavashift/Core/Core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace guavashift {

/// One step of a staged job: a number of similar tasks. Times are in milliseconds.
struct StepPlan
{
    std::uint32_t tasks = 1;
    Resources size; ///< Of each task.
    std::int64_t estimateMs = 0;
    /// Indices of the earlier steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    bool checkpoints = false; ///< Can resume elsewhere from a checkpoint.
    bool gang = false;        ///< All tasks run together or not at all, and end together.
    bool sameRack = false;    ///< Slower if its tasks are on several racks.
    std::string requiredLabel;
    std::string dataRack; ///< Slower on any other rack. Empty: none.
    /// Most tasks of the step on one worker; 0: no limit.
    std::uint32_t maxPerWorker = 0;
    bool speculative = false; ///< Copies may run at the same time; the first end counts.
    bool longRunning = false; ///< Runs until the job is cancelled.
    std::string image;        ///< Tasks of one image are assumed to behave alike.
    /// Limit of the tail latency of latency-critical tasks. 0: none, the tasks are not
    /// latency-critical.
    std::int64_t tailTargetMs = 0;
    /// Works with processor time that other tasks leave unused; none is reserved for it.
    bool bestEffort = false;
    /// Number of tasks of a long-running step that the scheduler may make unavailable at a time. 0:
    /// no limit.
    std::uint32_t maxUnavailable = 0;

    bool operator==(const StepPlan &) const = default;
};
void to_json(Json &json, const StepPlan &step);   // NOLINT
void from_json(const Json &json, StepPlan &step); // NOLINT

/// A job as a caller submits it.
struct JobPlan
{
    std::string payload; ///< Passed to each task uninterpreted.
    std::vector<StepPlan> steps;
    /// Occurrences of a scheduled job; 0: the steps run once, immediately.
    std::uint32_t occurrences = 0;
    WallMs firstAt = 0; ///< When occurrence 0 is due.
    std::int64_t intervalMs = 0;

    bool operator==(const JobPlan &) const = default;

    [[nodiscard]] std::uint32_t occurrenceCount() const { return std::max(occurrences, 1U); }
    /// Number of tasks in one occurrence.
    [[nodiscard]] std::uint32_t taskCount() const;
    [[nodiscard]] WallMs dueAt(std::uint32_t occurrence) const
    {
        return occurrences == 0 ? 0 : firstAt + intervalMs * occurrence;
    }
    /// Checks that the job has a step, that every step has tasks, that every `after` names an
    /// earlier step, and that times are neither negative nor too large. Returns the violations.
    [[nodiscard]] Findings check() const;
};
void to_json(Json &json, const JobPlan &plan);   // NOLINT
void from_json(const Json &json, JobPlan &plan); // NOLINT

/// Identifies one task: number `task` of a step in one occurrence of a job.
struct TaskRef
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskRef &) const = default;

    /// Formats the reference as "job.occurrence.step.task".
    [[nodiscard]] std::string text() const;
    static std::optional<TaskRef> parse(std::string_view text);
};

/// Identifies one lifetime of a worker: a worker that restarts under its old name begins a
/// new one.
struct Lifetime
{
    std::string worker;
    std::int64_t startedAt = 0; ///< Unix milliseconds of the worker's start, as it reports.

    auto operator<=>(const Lifetime &) const = default;
};

/// Outcome of one run of a task.
enum class RunEnd : std::uint8_t {
    Done,
    Failed,    ///< Failed by itself or because of the worker; counts as an attempt.
    Stopped,   ///< Stopped by order.
    Lapsed,    ///< The worker's lease ran out.
    Broken,    ///< Another member of its gang ended.
    Alone,     ///< The other members of its gang did not start in time.
    NotStarted ///< The start was refused, or its order certainly never reached the worker.
};
/// Name for logs; "other" for a value that another version of the program sent.
std::string_view nameOf(RunEnd end);

/// What the end of a run tells about whether its task crashes workers.
enum class CrashEvidence : std::uint8_t {
    None,
    Survived,  ///< The run went on for some time, so its start crashed no worker.
    Suspected, ///< The worker crashed shortly after the start, and no other run is likelier the
               ///< cause.
    Exempt     ///< The same, but it must not end the job. Versions before take it for None.
};
/// Like nameOf(RunEnd).
std::string_view nameOf(CrashEvidence evidence);

} // namespace guavashift
