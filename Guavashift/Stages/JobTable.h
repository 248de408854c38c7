#pragma once

#include <Guavashift/Stages/QueueTable.h>
#include <Guavashift/Stages/StageCommands.h>

#include <map>
#include <set>

namespace guavashift {

enum class TaskStage : std::uint8_t { Waiting, Bound, Done };

/// One task as all replicas know it.
struct StageTask
{
    TaskStage stage = TaskStage::Waiting;
    std::uint32_t run = 0;      ///< Number of the last run; 0 before the first.
    std::uint32_t failures = 0; ///< Runs that ended as failed.
    Lifetime lifetime;          ///< Where the run is bound to while Bound.
    std::string checkpoint;     ///< The newest that an ended run left.

    bool operator==(const StageTask &) const = default;
};

struct StageStep
{
    std::vector<StageTask> tasks;
    std::uint32_t done = 0;

    [[nodiscard]] bool isDone() const { return done == tasks.size(); }
};

struct StageOccurrence
{
    std::vector<StageStep> steps;
    std::uint32_t stepsDone = 0;
};

enum class StageJobStatus : std::uint8_t { Active, Completed, Failed, Cancelled };

struct StageJob
{
    std::string queue;
    /// The queue as it was when the job was accepted; holds on when the queue is removed.
    QueueSettings queueSettings;
    JobPlan plan; ///< Emptied once the job has ended and nothing of it runs.
    StageJobStatus status = StageJobStatus::Active;
    WallMs acceptedAt = 0;
    WallMs endedAt = 0;
    std::uint32_t bound = 0; ///< Tasks whose run has not ended.
    bool started = false;    ///< A task was started once.
    std::map<std::uint32_t, StageOccurrence> occurrences;
    std::set<std::uint32_t> occurrencesDone;

    [[nodiscard]] bool isActive() const { return status == StageJobStatus::Active; }
};

struct JobTableSettings
{
    /// How long the state of an ended job can be asked for.
    std::int64_t endedJobRetentionMs = 150'000;
};

/// Whether a command changed the state, and if not why.
struct StageOutcome
{
    bool applied = false;
    std::string_view reason = {};
};

/// The state of staged jobs and of the configuration that all control replicas share.
/// Deterministic. All rules on the order and number of runs are checked here, so that a leader with
/// an old view can bind nothing twice.
class JobTable final
{
public:
    JobTable(const JobTableSettings &settings, QueueTableReader reader);

    StageOutcome apply(WallMs time, const StageCommand &command);

    [[nodiscard]] const std::map<std::string, StageJob, std::less<>> &jobs() const
    {
        return m_jobs;
    }
    [[nodiscard]] const StageJob *find(std::string_view job) const;
    /// The task, or null if the job, occurrence, step or task does not exist (any more).
    [[nodiscard]] const StageTask *find(const TaskRef &ref) const;
    [[nodiscard]] const QueueTable &queues() const { return m_queues; }
    /// The settings of the job's queue: those in force, or the last ones if it was removed.
    [[nodiscard]] const QueueSettings &queueSettingsOf(const StageJob &job) const;
    /// The configuration as the operator sent it; empty before the first.
    [[nodiscard]] const std::string &document() const { return m_document; }
    /// Accepted jobs of a queue of which no task was ever started and that have not ended.
    [[nodiscard]] std::size_t pendingIn(std::string_view queue) const;
    /// Changes with each command, alike on all replicas.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

    /// Whether the steps that `step` waits for are done in that occurrence.
    [[nodiscard]] static bool isReady(const StageJob &job, std::uint32_t occurrence,
                                      std::uint32_t step);

    [[nodiscard]] std::string save() const;
    /// Replaces the state by a saved one. Fails, changing nothing, for other bytes.
    Result<void> load(std::string_view bytes);

private:
    StageOutcome handle(const ReplaceConfiguration &command);
    StageOutcome handle(const AcceptJob &command);
    StageOutcome handle(const CancelJob &command);
    StageOutcome handle(const StartRun &command);
    StageOutcome handle(const EndRun &command);

    StageTask *findTask(const TaskRef &ref);
    StageOccurrence &occurrenceOf(StageJob &job, std::uint32_t occurrence);
    void taskDone(StageJob &job, const TaskRef &ref);
    void taskFailed(StageJob &job, const TaskRef &ref);
    void endJob(const std::string &id, StageJob &job, StageJobStatus status);
    void discardPlanIfEnded(StageJob &job);
    void removeExpired();

    JobTableSettings m_settings;
    QueueTableReader m_reader;
    WallMs m_time = 0;
    std::string m_document;
    QueueTable m_queues;
    std::map<std::string, StageJob, std::less<>> m_jobs;
    std::uint64_t m_digest = 0;

    // Derived from the above.
    std::map<std::string, std::size_t, std::less<>> m_pending;
    std::set<std::pair<WallMs, std::string>> m_ended;
};

} // namespace guavashift
