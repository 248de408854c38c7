#pragma once

#include <Guavashift/State/Records.h>

#include <variant>

namespace guavashift {

struct SubmitPatch
{
    static constexpr std::string_view kind = "submit-patch";
    ConfigPatch patch;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitPatch, patch)

/// Announces an agent that joins or returns. Ends all attempts on its VM if the VM has restarted.
struct AnnounceWorker
{
    static constexpr std::string_view kind = "announce-worker";
    WorkerId worker;
    WorkerFacts facts;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AnnounceWorker, worker, facts)

/// Replaces the backend servers that are announced with an agent.
struct UpdateBackends
{
    static constexpr std::string_view kind = "update-backends";
    WorkerId worker;
    Incarnation incarnation;
    std::vector<BackendServer> backends;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(UpdateBackends, worker, incarnation, backends)

/// Declares a worker lost whose lease has provably expired.
struct DeclareWorkerLost
{
    static constexpr std::string_view kind = "declare-worker-lost";
    WorkerId worker;
    Incarnation incarnation;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DeclareWorkerLost, worker, incarnation)

/// Starts or ends the draining of a worker, which then gets no new tasks; its batch tasks are
/// evicted.
struct DrainWorker
{
    static constexpr std::string_view kind = "drain-worker";
    WorkerId worker;
    bool draining = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DrainWorker, worker, draining)

struct SubmitJob
{
    static constexpr std::string_view kind = "submit-job";
    JobSpec spec;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SubmitJob, spec)

struct CancelJobs
{
    static constexpr std::string_view kind = "cancel-jobs";
    TeamId team;
    std::vector<std::string> jobs;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CancelJobs, team, jobs)

/// Starts the next attempt of a queued task.
struct StartAttempt
{
    static constexpr std::string_view kind = "start-attempt";
    TaskId task;
    WorkerId worker;
    Incarnation incarnation; ///< Of the agent that the decision was made for.
    /// Resources to reserve: the declared size, or more where earlier runs have needed more.
    Resources size;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartAttempt, task, worker, incarnation, size)

/// Stops an attempt with a checkpoint; the task is queued again once the attempt's end is certain.
struct EvictAttempt
{
    static constexpr std::string_view kind = "evict-attempt";
    TaskId task;
    Attempt attempt = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EvictAttempt, task, attempt)

struct ThrottleAttempt
{
    static constexpr std::string_view kind = "throttle-attempt";
    TaskId task;
    Attempt attempt = 0;
    std::uint32_t speedPercent = 100;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ThrottleAttempt, task, attempt, speedPercent)

enum class AttemptEvent {
    Started,   ///< Runs on the platform.
    Completed, ///< Ended with success.
    Failed,    ///< Ended with an error of the task.
    Stopped,   ///< Ended by an order or by the platform's lease; the checkpoint is reported.
};
NLOHMANN_JSON_SERIALIZE_ENUM(AttemptEvent,
                             {{AttemptEvent::Started, "started"},
                              {AttemptEvent::Completed, "completed"},
                              {AttemptEvent::Failed, "failed"},
                              {AttemptEvent::Stopped, "stopped"}})

/// Reports an event of an attempt, as its agent observed it. Rejected unless the attempt is the
/// current one.
struct ReportAttempt
{
    static constexpr std::string_view kind = "report-attempt";
    TaskId task;
    Attempt attempt = 0;
    WorkerId worker;
    AttemptEvent event = AttemptEvent::Started;
    std::string checkpoint;
    std::int64_t doneMs = 0;

    bool operator==(const ReportAttempt &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ReportAttempt, task, attempt, worker, event,
                                                checkpoint, doneMs)

/// Claims an idempotency key for one agent, or returns the earlier claim.
struct ClaimKey
{
    static constexpr std::string_view kind = "claim-key";
    Claim claim;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ClaimKey, claim)

/// Moves a claim after its agent has confirmed that the request did not and will not run there.
struct MoveClaim
{
    static constexpr std::string_view kind = "move-claim";
    RequestId from;
    Claim claim;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MoveClaim, from, claim)

/// Keeps answers of claimed requests that an agent held when it was stopped as planned.
struct KeepAnswers
{
    static constexpr std::string_view kind = "keep-answers";
    Incarnation incarnation; ///< Of the agent.
    std::vector<KeptAnswer> answers;
    /// Further requests with a key that have run or may have run there, without an answer.
    std::vector<RequestId> withoutAnswer;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(KeepAnswers, incarnation, answers, withoutAnswer)

/// Ends the claims of an agent that accepts no new request any more and has reported all that have
/// run: what it has not reported never runs there.
struct CloseAgent
{
    static constexpr std::string_view kind = "close-agent";
    WorkerId worker;
    Incarnation incarnation;
    std::uint64_t oldestWindow = 0; ///< From which on the agent remembers requests with a key.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CloseAgent, worker, incarnation, oldestWindow)

using CommandBody =
    std::variant<SubmitPatch, AnnounceWorker, UpdateBackends, DeclareWorkerLost, DrainWorker,
                 SubmitJob, CancelJobs, StartAttempt, EvictAttempt, ThrottleAttempt, ReportAttempt,
                 ClaimKey, MoveClaim, KeepAnswers, CloseAgent>;

/// Commands that were proposed together, with the leader's wall-clock time.
struct CommandBatch
{
    WallMs time = 0;
    std::vector<CommandBody> commands;

    [[nodiscard]] std::string encode() const;
    /// Throws Json::exception for bytes that encode() did not write.
    static CommandBatch decode(std::string_view bytes);
};

} // namespace guavashift
