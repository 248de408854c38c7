#pragma once

#include <Guavashift/Scheduling/RunTimes.h>

#include <optional>
#include <vector>

namespace guavashift {

/// One step of an accepted job, as far as it takes room.
struct StepDemand
{
    std::string image;
    std::int64_t milliCores = 0; ///< Of each task.
    std::int64_t estimateMs = 0; ///< Declared.
    std::uint32_t left = 0;      ///< Tasks that are not done.
    /// Indices of the earlier steps that must be done before.
    std::vector<std::uint32_t> after;
};

/// An accepted job, as far as it takes room.
struct JobDemand
{
    std::string queue;
    std::string service;     ///< Whose workers run it.
    bool bestEffort = false; ///< Works with what other tasks leave unused.
    std::int32_t priority = 0;
    WallMs objective = 0;   ///< When it should be complete.
    WallMs worthlessAt = 0; ///< When its completion is worth nothing any more.
    bool returned = false;  ///< Its caller was refused before and has come back.
    std::vector<StepDemand> steps;
};

/// What is left of one job.
struct JobLoad
{
    std::string_view job;
    const JobDemand *demand = nullptr;
    double work = 0;        ///< Milli-core-milliseconds.
    double runningWork = 0; ///< The part of it that is left of runs.
    double chainMs = 0; ///< Time that its longest remaining chain takes if none of its tasks waits.
    bool begun = false; ///< A run of it was bound.
    std::uint32_t toStart = 0; ///< Tasks that are neither done nor running.
};

/// The work of all accepted jobs that is left, by job. Each change costs a look-up; the loads of
/// all jobs cost a pass over their steps.
///
/// Jobs without an end and scheduled jobs are not in it: the room that they hold is deducted from
/// the room instead.
class WorkAccount final
{
public:
    void accepted(const std::string &job, JobDemand demand);
    void ended(std::string_view job);
    void clear() { m_jobs.clear(); }

    /// A run of a task of the step was bound at that time.
    void runBound(std::string_view job, std::uint32_t step, Instant at);
    /// A run that was bound at that time takes no room any more.
    void runReleased(std::string_view job, std::uint32_t step, Instant boundAt);
    /// Tasks of the step that are not done.
    void tasksLeft(std::string_view job, std::uint32_t step, std::uint32_t left);

    /// The demand of a job in the account; null for all others.
    [[nodiscard]] const JobDemand *find(std::string_view job) const;
    [[nodiscard]] std::size_t size() const { return m_jobs.size(); }
    /// Loads of all jobs. They refer to this object, until it changes.
    [[nodiscard]] std::vector<JobLoad> loads(const RunTimes &times, Instant now) const;
    /// Load of a job that is not in the account and has not begun.
    [[nodiscard]] static JobLoad loadOf(const JobDemand &demand, const RunTimes &times);

private:
    struct Running
    {
        std::uint32_t runs = 0;
        double boundMs = 0; ///< Sum of the times at which they were bound, in milliseconds.
    };
    struct Entry
    {
        JobDemand demand;
        std::vector<Running> running; ///< By step.
        bool begun = false;
    };

    [[nodiscard]] static JobLoad loadOf(const JobDemand &demand,
                                        const std::vector<Running> &running, const RunTimes &times,
                                        double nowMs);

    std::map<std::string, Entry, std::less<>> m_jobs;
};

} // namespace guavashift
