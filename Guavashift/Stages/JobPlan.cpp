#include <Guavashift/Stages/JobPlan.h>

#include <array>
#include <charconv>
#include <limits>

namespace guavashift {

namespace {

constexpr std::array<std::string_view, 7> endNames{"done",   "failed", "stopped",    "lapsed",
                                                   "broken", "alone",  "not-started"};

/// Latest time at which an occurrence may be due. Sums with durations stay far below an overflow.
constexpr WallMs latestTime = std::numeric_limits<WallMs>::max() / 4;

std::optional<std::uint32_t> takeNumber(std::string_view &text)
{
    if (text.empty() || text.front() != '.')
        return std::nullopt;
    text.remove_prefix(1);
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end == text.data())
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

} // namespace

std::string_view nameOf(RunEnd end)
{
    const auto index = static_cast<std::size_t>(end);
    return index < endNames.size() ? endNames.at(index) : "other";
}

std::string_view nameOf(CrashEvidence evidence)
{
    constexpr std::array<std::string_view, 4> names{"none", "survived", "suspected", "exempt"};
    const auto index = static_cast<std::size_t>(evidence);
    return index < names.size() ? names.at(index) : "other";
}

void to_json(Json &json, const StepPlan &step) // NOLINT
{
    const std::uint32_t flags = (step.checkpoints ? 1U : 0U) | (step.gang ? 2U : 0U)
        | (step.sameRack ? 4U : 0U) | (step.speculative ? 8U : 0U) | (step.longRunning ? 16U : 0U)
        | (step.bestEffort ? 32U : 0U);
    json =
        Json::array({step.tasks, step.size.milliCores, step.size.memoryMb, step.size.accelerators,
                     step.estimateMs, step.after, flags, step.requiredLabel, step.dataRack,
                     step.maxPerWorker, step.image, step.tailTargetMs, step.maxUnavailable});
}

void from_json(const Json &json, StepPlan &step) // NOLINT
{
    json.at(0).get_to(step.tasks);
    json.at(1).get_to(step.size.milliCores);
    json.at(2).get_to(step.size.memoryMb);
    json.at(3).get_to(step.size.accelerators);
    json.at(4).get_to(step.estimateMs);
    json.at(5).get_to(step.after);
    const auto flags = json.at(6).get<std::uint32_t>();
    step.checkpoints = (flags & 1U) != 0;
    step.gang = (flags & 2U) != 0;
    step.sameRack = (flags & 4U) != 0;
    step.speculative = (flags & 8U) != 0;
    step.longRunning = (flags & 16U) != 0;
    step.bestEffort = (flags & 32U) != 0;
    json.at(7).get_to(step.requiredLabel);
    json.at(8).get_to(step.dataRack);
    json.at(9).get_to(step.maxPerWorker);
    json.at(10).get_to(step.image);
    json.at(11).get_to(step.tailTargetMs);
    json.at(12).get_to(step.maxUnavailable);
}

std::uint32_t JobPlan::taskCount() const
{
    std::uint32_t count = 0;
    for (const StepPlan &step : steps)
        count += step.tasks;
    return count;
}

Findings JobPlan::check() const
{
    Findings findings;
    if (steps.empty())
        findings.push_back({"/steps", "a job needs a step"});
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const std::string place = fmt::format("/steps/{}", i);
        if (steps[i].tasks == 0)
            findings.push_back({place, "a step needs a task"});
        for (const std::uint32_t earlier : steps[i].after) {
            if (earlier >= i)
                findings.push_back({place, fmt::format("step {} is not an earlier one", earlier)});
        }
    }
    if (occurrences > 0 && (firstAt < 0 || intervalMs < 0))
        findings.push_back({"/schedule", "times must not be negative"});
    else if (occurrences > 0 && intervalMs > (latestTime - firstAt) / occurrences)
        findings.push_back({"/schedule", "the last occurrence is too far in the future"});
    return findings;
}

void to_json(Json &json, const JobPlan &plan) // NOLINT
{
    json = Json::array({plan.payload, plan.steps, plan.occurrences, plan.firstAt, plan.intervalMs});
}

void from_json(const Json &json, JobPlan &plan) // NOLINT
{
    json.at(0).get_to(plan.payload);
    json.at(1).get_to(plan.steps);
    json.at(2).get_to(plan.occurrences);
    json.at(3).get_to(plan.firstAt);
    json.at(4).get_to(plan.intervalMs);
}

std::string TaskRef::text() const
{
    return fmt::format("{}.{}.{}.{}", job, occurrence, step, task);
}

std::optional<TaskRef> TaskRef::parse(std::string_view text)
{
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0)
        return std::nullopt;
    TaskRef ref;
    ref.job = text.substr(0, dot);
    text.remove_prefix(dot);
    const std::optional<std::uint32_t> occurrence = takeNumber(text);
    const std::optional<std::uint32_t> step = occurrence ? takeNumber(text) : std::nullopt;
    const std::optional<std::uint32_t> task = step ? takeNumber(text) : std::nullopt;
    if (!task || !text.empty())
        return std::nullopt;
    ref.occurrence = *occurrence;
    ref.step = *step;
    ref.task = *task;
    return ref;
}

} // namespace guavashift
