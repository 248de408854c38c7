#pragma once

#include <Guavashift/Stages/EarlyCancels.h>
#include <Guavashift/Stages/EvacuatedDomains.h>
#include <Guavashift/Stages/OccurrenceSet.h>
#include <Guavashift/Stages/QueueTable.h>
#include <Guavashift/Stages/StageCommands.h>

#include <map>
#include <set>

namespace guavashift {

enum class TaskStage : std::uint8_t { Waiting, Bound, Done };

/// Replicated state of one task.
struct StageTask
{
    TaskStage stage = TaskStage::Waiting;
    std::uint32_t run = 0;      ///< Number of the last run; 0 before the first.
    std::uint32_t failures = 0; ///< Runs that failed.
    /// Worker lifetime that the run is bound to. Kept while Waiting if the run was settled without
    /// its report, which may still say that it is done.
    Lifetime lifetime;
    std::string checkpoint; ///< The newest one from an ended run.
    /// Workers that crashed under the task since a run last survived, see CrashEvidence.
    std::uint32_t crashes = 0;
    /// The same for crashes that must not end the job.
    std::uint32_t exemptCrashes = 0;

    [[nodiscard]] std::uint32_t allCrashes() const { return crashes + exemptCrashes; }

    bool operator==(const StageTask &) const = default;
};

/// State of one step: its tasks and how many of them are done.
struct StageStep
{
    std::vector<StageTask> tasks;
    std::uint32_t done = 0;
    std::uint32_t suspected = 0; ///< Tasks with a number of crashes.

    [[nodiscard]] bool isDone() const { return done == tasks.size(); }
};

/// State of one occurrence of a job.
struct StageOccurrence
{
    std::vector<StageStep> steps;
    std::uint32_t stepsDone = 0;
};

enum class StageJobStatus : std::uint8_t { Active, Completed, Failed, Cancelled };

/// Replicated state of one job.
struct StageJob
{
    std::string queue;
    /// Settings of the queue when the job was accepted; used once the queue is removed.
    QueueSettings queueSettings;
    JobPlan plan; ///< Cleared once the job has ended and none of its runs is bound.
    StageJobStatus status = StageJobStatus::Active;
    WallMs acceptedAt = 0;
    WallMs endedAt = 0;
    std::uint32_t bound = 0; ///< Tasks with a bound run.
    bool started = false;    ///< Whether a run of a task was ever bound.
    std::map<std::uint32_t, StageOccurrence> occurrences;
    OccurrenceSet occurrencesDone;

    [[nodiscard]] bool isActive() const { return status == StageJobStatus::Active; }
};

struct JobTableSettings
{
    /// Time for which the state of an ended job is kept for queries.
    std::int64_t endedJobRetentionMs = 150'000;
    /// Most cancels of unknown jobs that are kept. They are kept no longer than ended jobs.
    std::size_t maxEarlyCancels = 10'000;
    /// A job fails once so many workers have crashed under one of its tasks, see
    /// CrashEvidence::Suspected.
    std::uint32_t maxCrashes = 2;
    EvacuationSettings evacuation = {};
};

/// Whether a command changed the state, and if not, why.
struct StageOutcome
{
    bool applied = false;
    std::string_view reason = {};
};

/// State of staged jobs and of the configuration, replicated on all control processes.
/// Deterministic. Checks all rules on the order and number of runs, so that a leader with an
/// outdated view cannot bind a task twice.
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
    /// Settings of the job's queue: those in force, or those at the job's acceptance if the queue
    /// was removed.
    [[nodiscard]] const QueueSettings &queueSettingsOf(const StageJob &job) const;
    /// Failure domains in which nothing may start. Bindings are not checked against them: the table
    /// does not know the workers' domains.
    [[nodiscard]] const EvacuatedDomains &evacuations() const { return m_evacuations; }
    /// The configuration as the operator sent it; empty before the first one.
    [[nodiscard]] const std::string &document() const { return m_document; }
    /// Number of accepted jobs of a queue that have not ended and of which no run was ever bound.
    [[nodiscard]] std::size_t pendingIn(std::string_view queue) const;
    /// Hash chained over the kind and outcome of every command; equal on all replicas that applied
    /// the same commands.
    [[nodiscard]] std::uint64_t digest() const { return m_digest; }

    /// To be raised with each change of what stateDigest() covers.
    static constexpr std::uint32_t stateDigestFormat = 1;
    /// Hash of the state and of digest(). Equal on all replicas with the same state, whether they
    /// applied all commands or loaded a snapshot. Takes time in proportion to the state.
    [[nodiscard]] std::uint64_t stateDigest() const;

    /// Where each lifetime with bound runs has answered.
    [[nodiscard]] const AnsweredLifetimes &answeredLifetimes() const { return m_answered; }

    /// Whether the steps that `step` waits for are done in that occurrence.
    [[nodiscard]] static bool isReady(const StageJob &job, std::uint32_t occurrence,
                                      std::uint32_t step);

    /// Removes all state.
    void clear();
    [[nodiscard]] std::string save() const;
    /// Replaces the state by a saved one. Fails and changes nothing if the bytes are not one.
    Result<void> load(std::string_view bytes);

private:
    StageOutcome handle(const ReplaceConfiguration &command);
    StageOutcome handle(const AcceptJob &command);
    StageOutcome handle(const CancelJob &command);
    StageOutcome handle(const StartRun &command);
    StageOutcome handle(const EndRun &command);
    StageOutcome handle(const EvacuateDomain &command);
    StageOutcome handle(const TakeBackDomain &command);

    StageTask *findTask(const TaskRef &ref);
    StageOccurrence &occurrenceOf(StageJob &job, std::uint32_t occurrence);
    void taskDone(StageJob &job, const TaskRef &ref);
    void taskFailed(StageJob &job, const TaskRef &ref);
    void recordEvidence(StageJob &job, const EndRun &command);
    void endJob(const std::string &id, StageJob &job, StageJobStatus status);
    void discardPlanIfEnded(StageJob &job);
    void removeExpired();

    JobTableSettings m_settings;
    QueueTableReader m_reader;
    WallMs m_time = 0;
    std::string m_document;
    QueueTable m_queues;
    std::map<std::string, StageJob, std::less<>> m_jobs;
    EarlyCancels m_earlyCancels;
    EvacuatedDomains m_evacuations;
    AnsweredLifetimes m_answered;
    std::uint64_t m_digest = 0;

    // Derived from the members above.
    std::map<std::string, std::size_t, std::less<>> m_pending;
    std::set<std::pair<WallMs, std::string>> m_ended;
};

} // namespace guavashift
