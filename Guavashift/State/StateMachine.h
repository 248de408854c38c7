#pragma once

#include <Guavashift/State/Commands.h>
#include <Guavashift/State/Outcomes.h>

#include <deque>
#include <map>
#include <set>

namespace guavashift {

/// Rules that StateMachine::apply() checks. Only tests disable one, to check that the property it
/// guards is then violated.
struct StateRules
{
    bool checkCapacity = true;
    bool checkAttempt = true;
    bool checkVersion = true;
    bool keepReservationUntilEnd = true;
    bool checkClaims = true;
};

/// Sort key of the task queue: latency-critical tasks first, then urgent tasks, then tasks with a
/// due time by the latest start that the declared run time allows, then those without one. The
/// tasks of the other three ranks are in the order of arrival.
struct QueuePosition
{
    int rank = 0;
    WallMs at = 0;
    TaskId task;

    auto operator<=>(const QueuePosition &) const = default;
};

/// State that all control replicas share. Deterministic: the same commands in the same order give
/// the same state and outcomes on all of them. All rules are checked here, so that a command that a
/// leader proposes from an outdated view cannot violate them.
class StateMachine final
{
public:
    explicit StateMachine(const StateRules &rules = {});

    /// Applies all commands in order.
    std::vector<Outcome> apply(const CommandBatch &batch);
    Outcome apply(WallMs time, const CommandBody &command);

    [[nodiscard]] WallMs time() const { return m_time; }
    [[nodiscard]] const VersionedDocument &configuration() const { return m_configuration; }
    [[nodiscard]] const std::map<WorkerId, Worker> &workers() const { return m_workers; }
    [[nodiscard]] const std::map<TaskId, Task> &tasks() const { return m_tasks; }
    [[nodiscard]] const std::map<std::string, Job> &jobs() const { return m_jobs; }
    [[nodiscard]] const std::map<std::string, Claim> &claims() const { return m_claims; }
    /// Tasks that wait for a worker and whose release time has passed at time().
    [[nodiscard]] const std::set<QueuePosition> &queued() const { return m_queued; }
    /// Tasks that wait for their release time, ordered by it.
    [[nodiscard]] const std::set<std::pair<WallMs, TaskId>> &unreleased() const
    {
        return m_unreleased;
    }
    [[nodiscard]] const std::map<TeamId, Resources> &teamUsage() const { return m_teamUsage; }
    /// Increases with each change of workers or backend servers that entries must know.
    [[nodiscard]] std::uint64_t routingVersion() const { return m_routingVersion; }

    /// Returns the violated invariants of those that must hold after every command.
    [[nodiscard]] Findings checkInvariants() const;

private:
    friend class SnapshotCodec;

    Outcome handle(const SubmitPatch &command);
    Outcome handle(const AnnounceWorker &command);
    Outcome handle(const UpdateBackends &command);
    Outcome handle(const DeclareWorkerLost &command);
    Outcome handle(const DrainWorker &command);
    Outcome handle(const SubmitJob &command);
    Outcome handle(const CancelJobs &command);
    Outcome handle(const StartAttempt &command);
    Outcome handle(const EvictAttempt &command);
    Outcome handle(const ThrottleAttempt &command);
    Outcome handle(const ReportAttempt &command);
    Outcome handle(const ClaimKey &command);
    Outcome handle(const MoveClaim &command);
    Outcome handle(const KeepAnswers &command);
    Outcome handle(const CloseAgent &command);

    // Services and jobs.
    void reconcileServices();
    [[nodiscard]] Findings checkJob(const JobSpec &spec) const;
    [[nodiscard]] Findings explainInfeasible(const JobSpec &spec) const;
    void addTask(Task task);
    void removeTask(const TaskId &id);
    void enqueue(const Task &task);
    void dequeue(const Task &task);
    void releaseDueTasks();
    void endJob(Job &job, JobStatus status);
    void stopJobTasks(const std::string &key);
    void removeExpiredJobs();

    // Attempts.
    [[nodiscard]] std::optional<std::string> startRejection(const StartAttempt &command,
                                                            const Task &task) const;
    void stopTask(Task &task, StopReason reason);
    /// Frees the reservation of the current attempt, whose end is certain.
    void releaseAttempt(Task &task);
    void requeue(Task &task);
    void endAttempts(Worker &worker);
    void taskCompleted(Task &task);
    void taskFailed(Task &task);
    void taskStopped(Task &task);
    void recordFailure(Worker &worker, const Task &task);
    void incrementOrdersVersion(Worker &worker) { ++worker.ordersVersion; }
    void incrementRoutingVersion(Worker &worker) { worker.routingVersion = ++m_routingVersion; }

    // Claims.
    void expireClaims();
    void addClaim(const std::string &key, Claim claim);
    static std::string claimKey(const Claim &claim);
    /// Of a claim that names its agent now.
    [[nodiscard]] ClaimEnd endOfNewClaim(const Claim &claim) const;

    StateRules m_rules;
    WallMs m_time = 0;
    VersionedDocument m_configuration;
    std::map<WorkerId, Worker> m_workers;
    std::map<TaskId, Task> m_tasks;
    std::map<std::string, Job> m_jobs;
    std::map<std::string, Claim> m_claims;
    std::uint64_t m_routingVersion = 0;

    // Indexes and sums, derived from the members above.
    std::set<QueuePosition> m_queued;
    std::set<std::pair<WallMs, TaskId>> m_unreleased;
    std::map<TeamId, Resources> m_teamUsage;
    std::set<std::pair<WallMs, std::string>> m_claimExpiry;
    std::size_t m_keptAnswerBytes = 0;
    std::set<std::pair<WallMs, std::string>> m_endedJobs;
};

/// Position of a queued task in the queue.
QueuePosition queuePositionOf(const Task &task);

/// Id of a task of a job or of a replica of a service. Numbers start at 0.
TaskId batchTaskId(std::string_view jobKey, std::uint32_t number);
TaskId serviceTaskId(const ServiceId &service, std::uint32_t number);

} // namespace guavashift
