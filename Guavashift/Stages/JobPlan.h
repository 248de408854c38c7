#pragma once

#include <Guavashift/Core/Core.h>

#include <cstdint>
#include <string>
#include <vector>

namespace guavashift {

/// One step of a staged job: tasks that are alike. Times are milliseconds.
struct StepPlan
{
    std::uint32_t tasks = 1;
    Resources size; ///< Of each task.
    std::int64_t estimateMs = 0;
    /// Numbers of earlier steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    bool checkpoints = false; ///< Can go on elsewhere from a checkpoint.
    bool gang = false;        ///< All tasks run together or not at all, and end together.
    bool sameRack = false;    ///< Slower when its tasks are on several racks.
    std::string requiredLabel;
    std::string dataRack; ///< Slower on any other rack. Empty: none.
    /// Most tasks of the step on one worker; 0: no limit.
    std::uint32_t maxPerWorker = 0;
    bool speculative = false; ///< Copies may run at the same time; the first end counts.
    bool longRunning = false; ///< Runs until the job is cancelled.
    std::string image;        ///< Tasks of one image behave alike.
    /// For tasks that serve: what the tail of their response times must stay below. 0: none.
    std::int64_t tailTargetMs = 0;
    /// Its processor share is not reserved; it works with what others leave unused.
    bool bestEffort = false;
    /// Tasks of a long-running step that the system may take down at a time.
    std::uint32_t maxUnavailable = 0;

    bool operator==(const StepPlan &) const = default;
};
void to_json(Json &json, const StepPlan &step);   // NOLINT
void from_json(const Json &json, StepPlan &step); // NOLINT

/// What a caller hands in.
struct JobPlan
{
    std::string payload; ///< Passed on to each task unread.
    std::vector<StepPlan> steps;
    /// Occurrences of a scheduled job; 0: the steps run once, at once.
    std::uint32_t occurrences = 0;
    WallMs firstAt = 0; ///< When occurrence 0 is due.
    std::int64_t intervalMs = 0;

    bool operator==(const JobPlan &) const = default;

    [[nodiscard]] std::uint32_t occurrenceCount() const { return std::max(occurrences, 1U); }
    [[nodiscard]] WallMs dueAt(std::uint32_t occurrence) const
    {
        return occurrences == 0 ? 0 : firstAt + intervalMs * occurrence;
    }
    /// Whether every `after` names an earlier step and every step has tasks.
    [[nodiscard]] Findings check() const;
};
void to_json(Json &json, const JobPlan &plan);   // NOLINT
void from_json(const Json &json, JobPlan &plan); // NOLINT

/// One task: the `task`-th of a step in one occurrence of a job.
struct TaskRef
{
    std::string job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t task = 0;

    auto operator<=>(const TaskRef &) const = default;

    /// As "job.occurrence.step.task".
    [[nodiscard]] std::string text() const;
    static std::optional<TaskRef> parse(std::string_view text);
};

/// One life of one worker. A worker that restarts under its old name is another lifetime.
struct Lifetime
{
    std::string worker;
    std::int64_t startedAt = 0; ///< Unix milliseconds of the worker's start, as it says itself.

    auto operator<=>(const Lifetime &) const = default;
};

/// How one run of a task ended.
enum class RunEnd : std::uint8_t {
    Done,
    Failed,    ///< By its own fault or the worker's; counts as an attempt.
    Stopped,   ///< By order.
    Lapsed,    ///< The worker's lease ran out.
    Broken,    ///< Another member of its gang ended.
    Alone,     ///< The other members of its gang did not come in time.
    NotStarted ///< The order to start was refused, or certainly never reached the worker.
};
std::string_view nameOf(RunEnd end);

} // namespace guavashift
