#pragma once

#include <Guavashift/Configuration/Configuration.h>

#include <optional>
#include <set>

namespace guavashift {

/// Number of an attempt of a task. Increases by one with each start of the task, on any worker.
using Attempt = std::uint64_t;

/// Backend server that announced itself with its agent.
struct BackendServer
{
    ServiceId service;
    TaskId task;
    std::uint32_t slots = 8;
    bool leaving = false;

    bool operator==(const BackendServer &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(BackendServer, service, task, slots, leaving)

/// Description of a VM that its agent sends when it announces itself.
struct WorkerFacts
{
    Incarnation incarnation; ///< Of the agent process.
    std::string bootId;      ///< Of the VM; a new one means that all its tasks are gone.
    FailureDomain failureDomain;
    RackId rack;
    Resources capacity;
    std::string httpAddress; ///< To which entries send requests.
    std::string rpcAddress;  ///< To which entries send revocations of requests.

    bool operator==(const WorkerFacts &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerFacts, incarnation, bootId, failureDomain,
                                                rack, capacity, httpAddress, rpcAddress)

enum class WorkerStatus { Up, Draining, Lost };
NLOHMANN_JSON_SERIALIZE_ENUM(WorkerStatus,
                             {{WorkerStatus::Up, "up"},
                              {WorkerStatus::Draining, "draining"},
                              {WorkerStatus::Lost, "lost"}})

/// Worker VM with the tasks, resources and backend servers assigned to it.
struct Worker
{
    WorkerId id;
    WorkerFacts facts;
    WorkerStatus status = WorkerStatus::Up;
    Resources reserved; ///< Sum of the sizes of the attempts that may still run there.
    std::set<TaskId> tasks;
    std::vector<BackendServer> backends;
    std::uint64_t ordersVersion = 0; ///< Increases with each change of what should run there.
    /// Routing version of the state at the last change of this worker that entries must know.
    std::uint64_t routingVersion = 0;
    /// Distinct jobs that failed on this worker since the last success.
    std::set<std::string> failedJobs;
    WallMs quarantinedUntil = 0;
    std::uint32_t quarantines = 0; ///< Consecutive ones; each doubles the length of the next.
    bool probation = false;        ///< After a quarantine, until one task succeeds.
    Incarnation closedIncarnation; ///< Of the last agent that was stopped as planned.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Worker, id, facts, status, reserved, tasks,
                                                backends, ordersVersion, routingVersion, failedJobs,
                                                quarantinedUntil, quarantines, probation,
                                                closedIncarnation)

enum class TaskKind { LatencyCritical, Batch };
NLOHMANN_JSON_SERIALIZE_ENUM(TaskKind,
                             {{TaskKind::LatencyCritical, "latency-critical"},
                              {TaskKind::Batch, "batch"}})

enum class TaskPhase {
    Queued,   ///< Waits for a worker.
    Starting, ///< Ordered to start; may run.
    Running,  ///< Reported as running.
    Stopping, ///< Ordered to stop; may still run.
    Done,
};
NLOHMANN_JSON_SERIALIZE_ENUM(TaskPhase,
                             {{TaskPhase::Queued, "queued"},
                              {TaskPhase::Starting, "starting"},
                              {TaskPhase::Running, "running"},
                              {TaskPhase::Stopping, "stopping"},
                              {TaskPhase::Done, "done"}})

/// Reason for an order to stop a task.
enum class StopReason { None, Eviction, Cancellation, Removal };
NLOHMANN_JSON_SERIALIZE_ENUM(StopReason,
                             {{StopReason::None, "none"},
                              {StopReason::Eviction, "eviction"},
                              {StopReason::Cancellation, "cancellation"},
                              {StopReason::Removal, "removal"}})

/// One replica of a service or one task of a batch job.
struct Task
{
    TaskId id;
    TaskKind kind = TaskKind::Batch;
    TeamId team;
    ServiceId service;  ///< Of a latency-critical task.
    std::string job;    ///< "team/job" of a batch task.
    std::string family; ///< Jobs of one family behave alike.
    Resources size;
    bool urgent = false;
    WallMs releaseAt = 0;
    WallMs dueAt = 0;
    std::int64_t declaredRuntimeMs = 0;

    TaskPhase phase = TaskPhase::Queued;
    Attempt attempt = 0; ///< Number of the latest attempt.
    WorkerId worker;     ///< Where the current attempt may run; empty while queued.
    StopReason stopReason = StopReason::None;
    WallMs queuedAt = 0;
    WallMs startedAt = 0;             ///< Of the current attempt.
    std::string checkpoint;           ///< From which the next attempt resumes.
    std::int64_t doneMs = 0;          ///< Work covered by the checkpoint.
    std::uint32_t speedPercent = 100; ///< Below 100 while throttled.
    std::uint32_t evictions = 0;
    std::set<WorkerId> failedOn;

    [[nodiscard]] bool isPlaced() const
    {
        return phase == TaskPhase::Starting || phase == TaskPhase::Running
            || phase == TaskPhase::Stopping;
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Task, id, kind, team, service, job, family, size,
                                                urgent, releaseAt, dueAt, declaredRuntimeMs, phase,
                                                attempt, worker, stopReason, queuedAt, startedAt,
                                                checkpoint, doneMs, speedPercent, evictions,
                                                failedOn)

/// Batch job as a team submits it.
struct JobSpec
{
    TeamId team;
    std::string id; ///< Unique within the team.
    std::string family;
    std::uint32_t tasks = 1;
    Resources size; ///< Of each task.
    bool urgent = false;
    WallMs releaseAt = 0;       ///< No task starts earlier.
    WallMs dueAt = 0;           ///< Time by which it should be complete; 0 for none.
    std::int64_t runtimeMs = 0; ///< Declared; may be far off.

    bool operator==(const JobSpec &) const = default;
    [[nodiscard]] std::string key() const { return team.value + "/" + id; }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobSpec, team, id, family, tasks, size, urgent,
                                                releaseAt, dueAt, runtimeMs)

enum class JobStatus { Active, Completed, Failed, Cancelled };
NLOHMANN_JSON_SERIALIZE_ENUM(JobStatus,
                             {{JobStatus::Active, "active"},
                              {JobStatus::Completed, "completed"},
                              {JobStatus::Failed, "failed"},
                              {JobStatus::Cancelled, "cancelled"}})

struct Job
{
    JobSpec spec;
    JobStatus status = JobStatus::Active;
    std::uint32_t completedTasks = 0;
    std::uint32_t openTasks = 0; ///< Not done yet.
    std::uint32_t evictions = 0;
    std::uint32_t failures = 0;
    WallMs submittedAt = 0;
    WallMs endedAt = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Job, spec, status, completedTasks, openTasks,
                                                evictions, failures, submittedAt, endedAt)

/// Whole answer to a request that has run. Outlives the agent that ran it.
struct KeptAnswer
{
    RequestId requestId;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::vector<std::uint8_t> body;

    bool operator==(const KeptAnswer &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeptAnswer, requestId, status, headers, body)

/// What an agent that was stopped as planned has reported about a claimed request.
enum class ClaimEnd {
    Open,       ///< Nothing: it may run or have run.
    MayHaveRun, ///< It has run or may have run there; its answer is not kept.
    NotRun,     ///< It did not run there and never will.
};
NLOHMANN_JSON_SERIALIZE_ENUM(ClaimEnd,
                             {{ClaimEnd::Open, "open"},
                              {ClaimEnd::MayHaveRun, "may-have-run"},
                              {ClaimEnd::NotRun, "not-run"}})

/// Assignment of the request with an idempotency key to the agent that may run it.
struct Claim
{
    ServiceId service;
    std::string key;
    std::uint64_t requestHash = 0; ///< Of method, target and body.
    RequestId requestId;
    WorkerId worker;
    Incarnation incarnation;  ///< Of the agent at the time of the claim.
    std::uint64_t window = 0; ///< Window number of the agent at that time.
    WallMs expiresAt = 0;
    /// Handed over by the agent when it was stopped as planned.
    std::optional<KeptAnswer> answer = std::nullopt;
    ClaimEnd end = ClaimEnd::Open;

    bool operator==(const Claim &) const = default;
};
void to_json(Json &json, const Claim &claim);   // NOLINT
void from_json(const Json &json, Claim &claim); // NOLINT

} // namespace guavashift
