#pragma once

#include <Guavashift/Dispatch/ColdWorkers.h>
#include <Guavashift/Dispatch/DispatchSettings.h>
#include <Guavashift/Dispatch/EarlierAnswers.h>
#include <Guavashift/Dispatch/EvacuationGuard.h>
#include <Guavashift/Dispatch/HeldWorkers.h>
#include <Guavashift/Dispatch/IdleJobs.h>
#include <Guavashift/Dispatch/JobProgress.h>
#include <Guavashift/Dispatch/LifetimeProof.h>
#include <Guavashift/Dispatch/LongRunningWaits.h>
#include <Guavashift/Dispatch/SettleReason.h>
#include <Guavashift/Scheduling/Scheduling.h>

#include <functional>
#include <set>
#include <tuple>

namespace guavashift {

/// A task that is ready to run. Its order is that of placement among tasks of equal priority and
/// lateness class.
struct ReadyTask
{
    std::int32_t priority = 0;
    WallMs objective = 0;         ///< When the job should be complete.
    WallMs worthlessAt = 0;       ///< When its completion is worth nothing any more.
    std::int64_t remainingMs = 0; ///< Estimated work from this task to the job's end.
    bool longRunning = false;     ///< Has no end, so it is never late.
    TaskRef task;
    Instant readyAt;
    bool suspected = false; ///< A worker has crashed under the task.

    auto operator<=>(const ReadyTask &) const = default;
};

/// Times at which a run's task became ready and its placement was decided.
struct BindingTimes
{
    Instant readyAt;
    Instant decidedAt;
};

using AgentOrder = std::variant<StartOrder, StopOrder>;

/// Schedules staged jobs on the leader: which task runs next, on which worker, and which runs must
/// stop. Holds only state that a new leader can learn again. Performs no I/O: times come in as
/// arguments, commands and orders are fetched by the caller.
class Dispatcher final
{
public:
    Dispatcher(const DispatchSettings &settings, const JobTable &jobTable);

    /// Called when this replica becomes leader; learns all bound runs from the job table.
    void start(Instant now);
    void stop();

    /// Records that the lifetime has answered at the address of the node's worker in the agent's
    /// session: no other one runs there. To be called before workerReported().
    void lifetimeAnswered(const std::string &node, const Lifetime &lifetime);
    /// Handles facts from the agent on `node`. Other lifetimes there get no new runs. If this one
    /// has answered, those of other workers that had answered there have ended, in the time of this
    /// leader or of earlier ones; the runs of all others stay bound until their leases run out. A
    /// report of a lifetime that has answered at another node changes nothing, unless it has
    /// answered here too. Runs of earlier lifetimes of the same worker stay bound until
    /// inventoryReported(): a start that was meant for one of them may be carried out by this one.
    void workerReported(const std::string &node, const WorkerFacts &facts, Instant now);
    /// Records a lease on the lifetimes that the agent on `node` has reported in its session.
    /// Returns false if there is none: then no lease may be granted.
    [[nodiscard]] bool leaseGranted(const std::string &node, Instant now);
    void nodeLost(const std::string &node);
    void runsReported(const Lifetime &lifetime, std::span<const RunStatus> rows, Instant now);
    /// Handles the full list of runs on a worker, read with a fencing token above that of all
    /// starts for earlier lifetimes. Runs bound up to `boundBefore`, or to an earlier lifetime of
    /// the worker, that are not in it never start. Those that this lifetime has listed before stay
    /// bound: they have ended, perhaps as done.
    void inventoryReported(const Lifetime &lifetime, std::span<const RunStatus> rows,
                           Instant boundBefore);
    /// Handles an agent's report that a lifetime has ended, without a proof: it gets no new runs,
    /// and those that it has stay bound until its lease runs out.
    void lifetimeDoubted(const Lifetime &lifetime);
    /// Handles an agent's proof that no run of that lifetime runs now or ever will again. That of
    /// an unreachable worker stays known. `recentRuns`: started shortly before a crash. Runs of
    /// which the agent knows nothing, because it restarted after their starts, are kept like those
    /// in startsOpen().
    void lifetimeEnded(const Lifetime &lifetime, LifetimeEnd end, LifetimeProof proof,
                       std::span<const TaskRun> recentRuns);
    /// Handles that these runs of a lifetime may still be carried out by the next one under the
    /// same name. They stay bound after the end of the lifetime, until the inventory of the next
    /// one, a refusal, or the end of the longest lease.
    void startsOpen(const Lifetime &lifetime, std::span<const TaskRun> runs);
    /// Handles that starts for a lifetime go out on any connection, so that those without an answer
    /// may be carried out by the next one under the same name. The next inventory leaves these runs
    /// bound if it does not list them, and if they are not all, other runs as well. Their agent
    /// refuses them, or sends another inventory, once they cannot start any more.
    void startsMayArriveLate(const Lifetime &lifetime, std::span<const TaskRun> runs,
                             bool namesAll);
    void startRefused(const Lifetime &lifetime, const TaskRef &task, std::uint32_t run,
                      Instant now);
    void endReported(const EndRun &end);

    /// Handles a command that was committed and applied to the job table.
    void applied(const StageCommand &command, const StageOutcome &outcome, Instant now);
    /// Handles a proposed command that did not take effect.
    void proposalLost(const StageCommand &command);

    /// Takes the commands that follow from reports, without new decisions.
    std::vector<StageCommand> takeCommands() { return std::exchange(m_commands, {}); }
    /// Makes the decisions that are due and returns the commands to propose. Calls `betweenTasks`
    /// before each task for which workers are examined: with many workers and tasks that wait, the
    /// decisions of one round take long. It must not change the job table or this object.
    std::vector<StageCommand> decide(
        Instant now, WallMs wallNow, const std::function<void()> &betweenTasks = [] {});
    /// Takes the orders for agents that have accumulated, each with the agent's node.
    std::vector<std::pair<std::string, AgentOrder>> takeOrders();

    /// Adopts interference that the previous leader sent to an agent.
    void interferenceReported(std::span<const InterferenceRow> rows);
    /// Interference to send to agents where it changed, each with the agent's node.
    std::vector<std::pair<std::string, std::vector<InterferenceRow>>> takeInterference(Instant now);

    /// Takes the waits for near places that have ended.
    std::vector<NearWaitEnd> takeNearWaits() { return m_nearPlaces.takeEnds(); }
    /// Workers that are slower than others by the runs of the last seconds.
    [[nodiscard]] std::size_t slowWorkers() const { return m_slowWorkers.size(); }

    /// Long-running tasks that are not running, at most once per interval of the settings.
    std::optional<LongRunningWaits> takeLongRunningWaits(Instant now);
    /// Jobs of which nothing runs, at most once per interval of the settings.
    std::optional<IdleJobs> takeIdleJobs(Instant now);

    /// Times of a run's placement; nothing for runs that another leader placed.
    [[nodiscard]] std::optional<BindingTimes> timesOf(const StartRun &start) const;

    /// Number of accepted jobs of a queue that have not ended and of which no task is known to have
    /// started on a worker.
    [[nodiscard]] std::size_t waitingIn(std::string_view queue) const;
    /// Whether a task of the job is known to have started on a worker.
    [[nodiscard]] bool hasBegun(std::string_view id, const StageJob &job) const;

    /// Number of lifetimes that were settled by what the replicated state tells of them, since
    /// this object exists.
    [[nodiscard]] std::uint64_t settledFromState() const { return m_settledFromState; }
    /// Whether a submission cannot be served in time, by what its caller needs. `job` must not have
    /// been accepted.
    [[nodiscard]] std::optional<AdmissionRefusal> refusalOf(const std::string &job,
                                                            const QueueSettings &queue,
                                                            const JobPlan &plan, Instant now,
                                                            WallMs wallNow);
    [[nodiscard]] const OverloadCounts &overloadCounts() const { return m_overload.counts(); }

    /// Number of runs placed on a lifetime.
    [[nodiscard]] std::size_t runsOn(const Lifetime &lifetime) const;

    /// Properties of the runs placed on a lifetime, for an agent that found them running.
    [[nodiscard]] std::vector<RunTraits> traitsOf(const Lifetime &lifetime) const;

private:
    /// Durations of a plan's chains of steps, by the declared estimates in milliseconds.
    struct Chains
    {
        std::int64_t longest = 0;
        std::vector<std::int64_t> remaining; ///< Of the longest chain that begins with each step.
    };
    /// Progress of a scheduled job's occurrences.
    struct Schedule
    {
        std::uint32_t next = 0;    ///< Number of the next occurrence to begin.
        std::uint32_t open = 0;    ///< Occurrences that have begun and are not done.
        std::optional<WallMs> due; ///< When `next` begins; empty if it waits for open ones to end.
    };

    [[nodiscard]] static Chains chainsOf(const JobPlan &plan);
    [[nodiscard]] ReadyTask readyTask(const StageJob &job, const TaskRef &ref,
                                      const Chains &chains) const;
    [[nodiscard]] PlacedRun placedRun(const TaskRef &ref, std::uint32_t run) const;
    /// `since`: when the task became ready, if not now.
    void enqueue(const TaskRef &ref, std::optional<Instant> since = std::nullopt);
    /// Whether the task may become ready: its job is active, and it is neither ready nor placed.
    [[nodiscard]] bool mayEnqueue(const StageJob *job, const TaskRef &ref) const;
    void enqueue(const StageJob &job, const TaskRef &ref, const Chains &chains, Instant since);
    void enqueueStep(const std::string &id, const StageJob &job, std::uint32_t occurrence,
                     std::uint32_t step, const Chains &chains);
    void enqueueReadySteps(const std::string &id, const StageJob &job);
    /// Makes the steps ready that waited for the step of `ref`, if that step is done.
    void enqueueFollowers(const StageJob &job, const TaskRef &ref);
    void jobAccepted(const std::string &id);
    void runBound(const StartRun &start, Instant now);
    /// Checkpoint that a bound run resumes from. All members of a gang resume from the same one.
    [[nodiscard]] std::string checkpointFor(const StageJob &job, const TaskRef &ref) const;
    /// Takes a binding back that the job table refused. If the job has ended, none of its other
    /// tasks may stay in the queue: the plan of an ended job is discarded.
    void startNotApplied(const StartRun &start);
    void runEnded(const EndRun &end, Instant now);
    /// Releases a run whose end changed nothing in the job table, because the table had settled it
    /// before: the first end in a gang settles all its members.
    void releaseSettled(const EndRun &end);
    void release(std::map<TaskRef, Lifetime>::iterator placed);
    /// Takes a done task out of the queue, or its whole gang, with proposed runs of its members.
    void withdrawDone(const StageJob &job, const TaskRef &ref);
    [[nodiscard]] RunTraits traitsOf(const TaskRef &task, std::uint32_t run) const;
    void withdraw(const std::string &id);
    void scheduleOccurrences(const std::string &id, const StageJob &job);
    /// Enters the next occurrence of the job, if it has one and not too many are open.
    void scheduleNext(const std::string &id, const StageJob &job, Schedule &schedule);
    void occurrenceEnded(const std::string &id, const StageJob &job);
    void removeSchedule(const std::string &id);
    void beginDueOccurrences(WallMs wallNow);
    /// Marks the starts as open that an agent which restarted after them cannot report as open.
    void keepUnknownStarts(PoolWorker &worker) const;
    /// Handles that no lifetime can carry out the worker's open starts any more.
    static void closeStarts(PoolWorker &worker);
    /// Whether the next lifetime of the worker may carry out the run's start.
    [[nodiscard]] static bool mayStartLate(const PoolWorker &worker, const PlacedRun &run);
    /// Whether late starts may still be carried out after the end of the worker's lease.
    [[nodiscard]] bool lateStartsMayWork(const PoolWorker &worker, Instant now) const;
    /// Whether all runs of the worker are such, and none may be settled yet.
    [[nodiscard]] bool holdsLateStartsOnly(const PoolWorker &worker, Instant now) const;
    /// Settles the lifetimes that had answered at the node in the time of earlier leaders, now that
    /// `present`, of another name, has answered there. Starts that the agent has named as open stay
    /// so, and one of which an agent has told this leader anything is not settled here.
    void settleEarlierAnswers(const std::string &node, const Lifetime &present);
    /// Whether the worker has a run that the end of its lifetime would settle.
    [[nodiscard]] bool hasUnsettledRuns(const PoolWorker &worker) const;
    /// What is known of the way by which a run bound to the worker now will be started.
    [[nodiscard]] StartPath startPathTo(const PoolWorker &worker) const;
    /// Settles an ended lifetime, all runs but those whose start is open. `earlierNode`: where it
    /// answered by the replicated state, if the proof rests on that.
    void settleLifetime(const Lifetime &lifetime, LifetimeEnd end, LifetimeProof proof,
                        std::span<const TaskRun> recentRuns, const std::string &earlierNode = {});
    /// Ends all runs of a lifetime but those whose start is open.
    void lapseAllRuns(const Lifetime &lifetime, SettleReason reason,
                      const std::set<TaskRef> &suspected);
    /// Takes no more facts of a lifetime that has ended. It stays known while runs are bound to it.
    void supersede(PoolWorker &worker);
    /// The same for one that may go on: it stays known until its lease runs out.
    void doubt(PoolWorker &worker);
    /// Whether the lifetime has answered at the worker of another node, so that a report from
    /// `node` is not that of its own worker.
    [[nodiscard]] bool isProvenElsewhere(const std::string &node, const Lifetime &lifetime) const;
    /// Whether `worker` is a later lifetime than `other`. Times of birth order only those of which
    /// no agent has proven the presence: clocks may be set back.
    [[nodiscard]] static bool follows(const PoolWorker &worker, const PoolWorker &other);
    /// Keeps the runs bound to a lifetime for the longest lease: calls for another one under its
    /// name may let them run for so long without an agent.
    void assumeLongestLease(PoolWorker &worker, Instant now) const;
    /// Settles the runs of earlier lifetimes of the worker: those in `running` run on it.
    void settleEarlierLifetimes(PoolWorker &worker,
                                const std::map<TaskRef, std::uint32_t> &running);
    /// Makes a run of an earlier lifetime one of `worker`, which carries it out.
    void adopt(const TaskRef &task, PoolWorker &earlier, PoolWorker &worker);
    /// Proposes the end of a run that its worker has not listed.
    void queueEnd(const PlacedRun &run, RunEnd end, SettleReason reason,
                  CrashEvidence evidence = CrashEvidence::None);
    void logSettled(const PlacedRun &run, RunEnd end, SettleReason reason) const;
    /// Removes the order of a run that was committed after the orders were last taken.
    void withdrawStart(const PlacedRun &run);
    /// Runs that may have crashed their worker: those that had just started. All of them count: one
    /// that crashed no worker before may be the cause as well.
    [[nodiscard]] std::set<TaskRef> suspectedRuns(const PoolWorker &worker,
                                                  std::span<const TaskRun> recentRuns) const;
    /// Workers that crashed under the task, or under any member of its gang.
    [[nodiscard]] std::uint32_t crashesOf(const TaskRef &ref) const;
    /// Whether the run has been listed as running for the probation time.
    [[nodiscard]] bool hasSurvived(const PlacedRun &run) const;
    [[nodiscard]] CrashEvidence evidenceOf(const PlacedRun &run) const;
    /// What a crash of the worker tells about a run that had just started there. Long-running tasks
    /// must be restarted however they end.
    [[nodiscard]] static CrashEvidence evidenceOfCrash(const PlacedRun &run);
    /// Whether a run of another task on the worker is under suspicion and has not survived yet.
    [[nodiscard]] bool hasOtherSuspect(const PoolWorker &worker, const StepPlan &step,
                                       const TaskRef &ref) const;

    /// A step of which no task has survived since workers crashed under some is tried with one run
    /// at a time: all its tasks may be alike.
    enum class TrialStage : std::uint8_t {
        None,   ///< All tasks may start.
        Due,    ///< One task may start: one under which a worker has crashed, if it has an end.
        Running ///< None may start until that run has survived or ended.
    };
    /// Which tasks of a step may start. Long-running ones under which workers crash again and again
    /// are started with pauses, and in turn: each of them must run again, also the innocent ones.
    struct StepTrial
    {
        TrialStage stage = TrialStage::None;
        bool longRunning = false;
        bool paused = false;             ///< For the tasks that take turns.
        std::uint32_t fewestCrashes = 0; ///< Of the waiting tasks that take turns.
    };
    [[nodiscard]] StepTrial trialOf(const StageJob &job, const TaskRef &ref, Instant now) const;
    [[nodiscard]] TrialStage trialStageOf(const StageStep &step, const TaskRef &ref) const;
    /// Pause between two starts of tasks of a long-running step that take turns.
    [[nodiscard]] Duration trialPauseOf(const StageStep &step, const StepPlan &plan,
                                        TrialStage stage) const;
    /// Whether the task is one of those that take turns.
    [[nodiscard]] bool takesTurns(const TaskRef &ref, TrialStage stage) const;
    [[nodiscard]] bool mayStart(const TaskRef &ref, const StepTrial &trial) const;
    /// Records that a task of the step was bound.
    void updateTrial(StepTrial &trial, const TaskRef &ref, Instant now);
    /// Records that an end is about to be proposed. Returns false if it must not be, because one
    /// was. The report that a run is done is proposed also after another end: that may have been
    /// derived without the run's report.
    bool recordProposedEnd(const TaskRef &task, std::uint32_t run, RunEnd end);
    void forgetProposedEnd(const EndRun &end);
    /// The committed run placed for the task, if it has that number.
    [[nodiscard]] const PlacedRun *committedRun(const TaskRef &ref, std::uint32_t run);
    /// Whether the end says that the last run of a waiting task is done. The job table decides
    /// whether that counts.
    [[nodiscard]] bool isLateDone(const EndRun &end) const;
    void expireLeases(Instant now);
    void evacuate(PoolWorker &worker, Instant now);
    void logWaiting(const StageJob &job, const ReadyTask &ready) const;
    void moveThrottled(Instant now, const std::function<void()> &betweenTasks);
    /// Whether the scheduler may stop the task without making more tasks of its step unavailable
    /// than its job allows.
    [[nodiscard]] bool allowsDisruption(const StageJob &job, const TaskRef &ref) const;
    [[nodiscard]] bool isRunning(const TaskRef &ref) const;
    /// Enters a job into the account of work, if it takes room for a limited time.
    void accountJob(const std::string &id, const StageJob &job);
    void noteTasksLeft(const StageJob &job, const TaskRef &ref);
    /// Notes what the end of a run tells about the run times of its kind.
    void learnRunTime(const PlacedRun &run, const EndRun &end, Instant now);
    void planOverload(Instant now, WallMs wallNow);
    void placeReady(Instant now, WallMs wallNow, const std::function<void()> &betweenTasks);
    [[nodiscard]] std::vector<ReadyTask> schedulingOrder(WallMs wallNow) const;
    /// Places of a task by what it can expect there.
    enum class AcceptedPlaces : std::uint8_t {
        Good, ///< No suspect worker, no cold one beyond its share, no slow best-effort task.
        Any   ///< All that it fits on.
    };
    bool place(const ReadyTask &ready, Instant now, const HeldWorkers &held,
               AcceptedPlaces accepted);
    bool placeTask(const ReadyTask &ready, Instant now, const HeldWorkers &held,
                   AcceptedPlaces accepted);
    bool placeGang(const ReadyTask &ready, Instant now, const HeldWorkers &held,
                   AcceptedPlaces accepted);
    /// Places a task of a job of which nothing has run for long wherever it fits: what speaks
    /// against a worker is a prediction, and without a run nothing shows whether it is right.
    bool placeIdle(const ReadyTask &ready, Instant now);
    /// When the task, or another one of its job if it has an end, was running last or became ready.
    [[nodiscard]] Instant idleSince(const ReadyTask &ready) const;
    /// Whether a run of the job is listed, or has been bound for too short a time to be.
    [[nodiscard]] bool hasRuns(const std::string &job, Instant now) const;
    [[nodiscard]] PoolWorker *chooseWorker(const StageJob &job, const TaskRef &ref, Instant now,
                                           const HeldWorkers &held,
                                           AcceptedPlaces accepted = AcceptedPlaces::Good);
    /// Whether the task, which could take a far place now, waits for one near its data or group.
    [[nodiscard]] bool waitsForNearPlace(const StageJob &job, const ReadyTask &ready, Instant now,
                                         WallMs wallNow, const HeldWorkers &held);
    /// Records that the task was placed, for its wait or that of its group.
    void recordNearness(const StepPlan &step, const TaskRef &ref, Instant now);
    /// Rack on which the task would be together with all others of its step; empty: none.
    [[nodiscard]] std::string groupRackOf(const StepPlan &step, const TaskRef &ref) const;
    [[nodiscard]] std::vector<RackRoom> roomByRack(const StageJob &job, const TaskRef &ref,
                                                   Instant now, const HeldWorkers &held) const;
    /// Holds the worker that lacks least for a long-running task that found no room. Returns
    /// whether there is one.
    bool holdWorker(const StageJob &job, const TaskRef &ref, Instant now, HeldWorkers &held) const;
    /// Why the worker may not run the task now, if it may not.
    [[nodiscard]] std::optional<Exclusion>
    exclusionOf(const PoolWorker &worker, const QueueSettings &queue, const StepPlan &step,
                const TaskRef &ref, Instant now,
                AcceptedPlaces accepted = AcceptedPlaces::Good) const;
    /// Whether the task, or a member of its gang, is placed in an evacuated failure domain.
    [[nodiscard]] bool isBoundIntoEvacuated(const StageJob &job, const TaskRef &ref) const;
    /// Proposes the end of a committed run whose start was not ordered.
    void withholdStart(const PlacedRun &run, const PoolWorker &worker);
    /// Takes back the starts in evacuated failure domains that are bound and not ordered yet.
    void withholdEvacuated();
    /// Stops runs in evacuated failure domains that have not begun some time after their order.
    void stopEvacuated();
    /// Jobs of which tasks with an end are ready or bound and none is listed as running, by id.
    [[nodiscard]] std::map<std::string, IdleJob> jobsWithoutRuns(Instant now);
    /// Adds what its service has left for the job.
    void describe(IdleJob &idle, Instant now) const;
    [[nodiscard]] QueuedState queuedState(const TaskRef &ref, Instant now) const;
    [[nodiscard]] BoundState boundState(const TaskRef &ref, const Lifetime &lifetime,
                                        Instant now) const;
    /// Updates the time at which a long-running task was last listed as running.
    void updateLastListed(const PlacedRun &run);
    [[nodiscard]] double scoreOf(const PoolWorker &worker, const StepPlan &step) const;
    [[nodiscard]] double colocationScore(const PoolWorker &worker, const StepPlan &step) const;
    /// Deduction from the score of a worker that is paused after failures.
    [[nodiscard]] double suspicionOf(const PoolWorker &worker, Instant now) const;
    /// Deduction from the score for what a crash of the worker would end.
    [[nodiscard]] double lossOf(const PoolWorker &worker) const;
    /// Learns interference from workers that run tasks of the same step.
    void compareWorkers(Instant now);
    void learnInterference(PoolWorker &worker, std::span<const RunStatus> rows, Instant now);
    [[nodiscard]] const std::vector<SpareHeadroom> &spareHeadroomOf(const PoolWorker &worker) const;
    [[nodiscard]] double predictedSpeed(const PoolWorker &worker, const StepPlan &step) const;
    [[nodiscard]] double currentSpeed(const PoolWorker &worker, const PlacedRun &run) const;
    [[nodiscard]] std::int64_t unusedMilliCores(const PoolWorker &worker) const;
    /// Whether the duration of a run of the task, begun now, tells about its worker's speed.
    [[nodiscard]] bool showsSpeed(const TaskRef &ref) const;
    /// How long the run takes if it goes on as it has, by its age and the progress reported last.
    [[nodiscard]] static Duration projectedDuration(const PlacedRun &run, Instant now);
    /// Learns from a run that was done.
    void learnSpeed(const PlacedRun &run, const Lifetime &lifetime, Instant now);
    /// Learns from runs that already take longer than others.
    void learnFromLongRuns(const PoolWorker &worker, Instant now);
    /// Deduction from the score of a worker that is slower than others.
    [[nodiscard]] double slownessPenalty(const PoolWorker &worker) const;
    void updateSlowWorkers(Instant now);
    /// Stops runs on slow workers that would end sooner if they started anew elsewhere, on each
    /// worker the one that is due first.
    void restartSlowRuns(Instant now);
    /// Whether the run would end sooner if it started anew on a worker of normal speed.
    [[nodiscard]] bool endsSoonerElsewhere(const PoolWorker &worker, const PlacedRun &run,
                                           Instant now) const;
    void bind(const TaskRef &ref, std::uint32_t run, PoolWorker &worker, Instant now);
    /// Pauses the starts of other tasks on the worker of a suspected one that was just placed.
    void pauseOtherStarts(const TaskRef &ref, Instant now);
    void orderStop(const Lifetime &lifetime, PoolWorker &worker, PlacedRun &run);
    /// Reserves the capacity of the listed runs that are not bound to the worker, until a later
    /// list lacks them.
    void reserveUnbound(PoolWorker &worker, std::span<const RunStatus> rows) const;
    /// Records which of the worker's runs a list names, and whether that contradicts an end that
    /// was proposed before.
    void noteListed(PoolWorker &worker, std::span<const RunStatus> rows, Instant now) const;
    /// Logs runs that were listed and that no list has named for longer than any lease.
    void checkMissing(PoolWorker &worker, Instant now) const;
    /// Logs once that a run is gone and its worker has listed no end of it.
    void logMissing(const Lifetime &lifetime, PlacedRun &run, Instant now) const;
    /// Handles that a committed run is not on its worker, which has listed no end of it. One that
    /// was never listed has not started. The others stay bound until their end is reported or
    /// their lifetime ends, unless no end of them can mean that the task is done.
    void settleAbsent(const Lifetime &lifetime, PlacedRun &run, SettleReason reason);
    /// Handles that a run which is not bound any more has ended.
    void forgetUnbound(const TaskRef &task, std::uint32_t run);
    /// Tasks of which a worker is known to carry out a run that is not bound any more. None of them
    /// may start: it would run twice.
    [[nodiscard]] std::set<TaskRef> tasksAtWork(Instant now) const;
    /// Orders the stop of each run in `rows` that is bound nowhere any more, once in a session: it
    /// was settled with another end than its worker knows.
    void stopUnbound(PoolWorker &worker, std::span<const RunStatus> rows);
    void orderStopOfUnbound(const PoolWorker &worker, const RunStatus &row);
    /// Whether the run is bound to an earlier lifetime of the worker, so that its inventory will
    /// make it one of this lifetime.
    [[nodiscard]] bool isBoundToEarlier(const Lifetime &lifetime, const RunStatus &row) const;
    void recordEnd(const EndRun &end, const Lifetime &lifetime, Instant now);

    struct FailureRecord
    {
        std::set<std::string> failedJobs; ///< Since the last success.
        Duration pause = Duration::zero();
        Instant pausedUntil;
    };

    DispatchSettings m_settings;
    const JobTable &m_jobTable;
    Instant m_now; ///< Latest time passed in.
    WorkerPool m_pool;
    std::set<ReadyTask> m_ready;
    std::map<TaskRef, ReadyTask> m_readyByTask;
    std::map<TaskRef, Lifetime> m_placed;           ///< Bound or proposed.
    std::map<std::string, Schedule> m_schedules;    ///< By job.
    std::set<std::pair<WallMs, std::string>> m_due; ///< Next occurrences, one of a job.
    using StepRef = std::tuple<std::string, std::uint32_t, std::uint32_t>;

    JobProgress m_progress;
    EvacuationGuard m_evacuation;
    ColdWorkers m_coldWorkers;
    OverloadPlanner m_overload;
    InterferenceTable m_interference;
    NearPlaces m_nearPlaces;
    WorkerSpeeds m_speeds;                    ///< By lifetime, see speedKey().
    std::map<Lifetime, double> m_slowWorkers; ///< With their speed when it was logged.
    Instant m_nextSpeedCheck;
    /// Latency-critical steps that ran on several workers at the last comparison: job, occurrence
    /// and step.
    std::set<StepRef> m_comparedSteps;
    Instant m_nextInterference;
    Instant m_nextMoves;
    /// Time at which each long-running task of an active job was last listed as running, initially
    /// when it became ready. Entries of ended jobs are removed by the next check.
    std::map<TaskRef, Instant> m_lastListed;
    Instant m_nextLongRunningCheck;
    std::map<std::string, Instant> m_lastRunning; ///< When a run of an active job was seen last.
    Instant m_nextIdleCheck;
    std::map<std::string, Instant, std::less<>> m_nextIdleStarts; ///< By service.
    Instant m_nextWaitLog;
    Instant m_nextPlacement;
    std::map<std::string, FailureRecord> m_failureRecords; ///< By node.
    std::map<std::string, Lifetime> m_answered;            ///< In sessions that are open, by node.
    std::map<std::string, Instant> m_endedWorkers; ///< When a lifetime of theirs ended last.
    EarlierAnswers m_earlierAnswers;
    std::uint64_t m_settledFromState = 0;
    std::uint64_t m_lastProvenOrder = 0;
    /// When a long-running task under which workers have crashed was last bound. A new leader
    /// begins with no pause.
    std::map<StepRef, Instant> m_lastTrials;
    std::vector<StageCommand> m_commands;
    std::vector<std::pair<std::string, AgentOrder>> m_orders;
    std::map<std::pair<TaskRef, std::uint32_t>, RunEnd> m_endsProposed; ///< The latest of each run.
};

} // namespace guavashift
