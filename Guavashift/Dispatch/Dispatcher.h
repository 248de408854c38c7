#pragma once

#include <Guavashift/Dispatch/WorkerPool.h>

#include <set>

namespace guavashift {

/// Times and shares by which the leader decides. Those named as limits come from the deployment.
struct DispatchSettings
{
    /// How long one grant lets a worker run; limit of the deployment, see FleetBounds.
    Duration workerLease = std::chrono::milliseconds(4500);
    /// Added before a lease counts as over: late timers, clocks that run 2 % slow.
    Duration leaseMargin = std::chrono::milliseconds(400);
    /// A worker that refused a start is passed over this long.
    Duration refusalPause = std::chrono::milliseconds(500);
    /// A worker on which different jobs failed is passed over this long; doubles up to the
    /// maxInterference.
    Duration failurePause = std::chrono::seconds(2);
    /// Failures of different jobs on one worker, without a success between, before it is doubted.
    std::uint32_t failuresToSuspect = 3;
    /// Part of what serving tasks reserve that they are taken to use on average.
    double latencyCriticalLoad = 0.5;
    /// Fillers may want this part of a worker's processors more than is left over.
    double bestEffortOvercommit = 0.25;
    /// Part of its target that a serving task's tail may be driven to by fillers.
    double tailLimit = 0.82;
    /// A filler that would run below this part of its speed waits for a better place.
    double minBestEffortSpeed = 0.8;
    /// A filler predicted to run below this part of its speed is moved, if it can go on elsewhere.
    double moveBelowSpeed = 0.35;
    /// What another worker must promise for a move to be worth it.
    double minSpeedAfterMove = 0.8;
    /// A run is left where it is for this long after it was bound.
    Duration settleTime = std::chrono::milliseconds(1200);
    /// Pause after a round of placing, for each worker that a waiting step looked at. With 71
    /// workers the leader then has maxInterference of its machine for all else, see
    /// docs/MEASUREMENTS.md.
    Duration placementPausePerCandidate = std::chrono::microseconds(5);
    /// The longest such pause.
    Duration maxPlacementPause = std::chrono::milliseconds(60);
    /// How often it is logged what steps wait for.
    Duration waitLogInterval = std::chrono::seconds(1);
    /// How often slowed fillers are looked at.
    Duration moveInterval = std::chrono::milliseconds(500);
    /// Two reports of a worker further apart than this say nothing on interference.
    Duration maxReportGap = std::chrono::milliseconds(1100);
    /// How often estimates are worked out and told.
    Duration interferenceInterval = std::chrono::milliseconds(500);
    /// Changes of a interference below this are not told.
    double minInterferenceChange = 0.15;
    /// What company of its own image is worth to a serving task, in parts of an empty worker:
    /// fillers are harmless to few images, so few should share a worker. More than the available
    /// counts.
    double sameImageBonus = 2;
    /// What each other serving image there costs it; an empty worker goes before a mixed one.
    double otherImagePenalty = 2;
    /// How much slower a task is away from its data; limit of the deployment.
    double remoteFactor = 1.5;
};

/// A task that could run now, in the order in which tasks are served.
struct ReadyTask
{
    std::int32_t priority = 0;
    WallMs objective = 0;         ///< When the job should be complete.
    WallMs worthlessAt = 0;       ///< When its completion is worth nothing any more.
    std::int64_t remainingMs = 0; ///< Of work from this task to the job's end, by estimate.
    bool longRunning = false;     ///< Has no end: it is never too late for it to start.
    TaskRef task;
    Instant readyAt;

    auto operator<=>(const ReadyTask &) const = default;
};

/// When a run's task was ready, and when the run was decided on.
struct BindingTimes
{
    Instant readyAt;
    Instant decidedAt;
};

using AgentOrder = std::variant<StartOrder, StopOrder>;

/// The leader's decisions on staged jobs: which task runs next, where, and which runs must stop.
/// Keeps only what can be learned again after a change of leader. Pure: time comes in as values,
/// commands and orders go out.
class Dispatcher final
{
public:
    Dispatcher(const DispatchSettings &settings, const JobTable &jobTable);

    /// Called when this replica begins to lead; learns all bound runs from the jobTable.
    void start(Instant now);
    void stop();

    /// Facts from the agent on `node`. A new lifetime there ends the one before.
    void workerReported(const std::string &node, const WorkerFacts &facts, Instant now);
    /// A grant was given to the agent on `node`.
    void leaseGranted(const std::string &node, Instant now);
    void nodeLost(const std::string &node);
    void runsReported(const Lifetime &lifetime, std::span<const RunStatus> rows, Instant now);
    /// All that runs there, and nothing else that was bound up to `boundBefore`.
    void inventoryReported(const Lifetime &lifetime, std::span<const RunStatus> rows,
                           Instant boundBefore);
    /// Nothing of that lifetime runs any more, or ever will.
    void lifetimeEnded(const Lifetime &lifetime, bool unreachable, Instant now);
    void startRefused(const Lifetime &lifetime, const TaskRef &task, std::uint32_t run,
                      Instant now);
    void endReported(const EndRun &end);

    /// A command was committed and applied to the jobTable.
    void applied(const StageCommand &command, const StageOutcome &outcome, Instant now);
    /// A proposed start was not committed.
    void proposalLost(const StageCommand &command);

    /// Commands that follow from what was reported, without new decisions.
    std::vector<StageCommand> takeCommands() { return std::exchange(m_commands, {}); }
    /// Commands to propose now.
    std::vector<StageCommand> decide(Instant now, WallMs wallNow);
    /// Orders for agents that have gathered, each with the agent's node.
    std::vector<std::pair<std::string, AgentOrder>> takeOrders();

    /// What an agent was told of estimates by the leader before.
    void interferenceReported(std::span<const InterferenceRow> rows);
    /// InterferenceByImage that agents do not know yet, each with the agent's node.
    std::vector<std::pair<std::string, std::vector<InterferenceRow>>> takeInterference(Instant now);

    /// Nothing for runs that this leader has not decided on.
    [[nodiscard]] std::optional<BindingTimes> timesOf(const StartRun &start) const;

    /// What the agent needs to know of the runs it found.
    [[nodiscard]] std::vector<RunTraits> traitsOf(const Lifetime &lifetime) const;

private:
    [[nodiscard]] ReadyTask readyTask(const StageJob &job, const TaskRef &ref) const;
    [[nodiscard]] PlacedRun placedRun(const TaskRef &ref, std::uint32_t run) const;
    /// `since`: it was ready before.
    void enqueue(const TaskRef &ref, std::optional<Instant> since = std::nullopt);
    void enqueueStep(const std::string &id, const StageJob &job, std::uint32_t occurrence,
                     std::uint32_t step);
    void enqueueReadySteps(const std::string &id, const StageJob &job);
    void jobAccepted(const std::string &id);
    void runBound(const StartRun &start, Instant now);
    void runEnded(const EndRun &end, Instant now);
    /// The run has ended, and the state had settled it before: as a gang's first end does for all.
    void releaseSettled(const EndRun &end);
    void release(std::map<TaskRef, Lifetime>::iterator placed);
    [[nodiscard]] RunTraits traitsOf(const TaskRef &task, std::uint32_t run) const;
    void withdraw(const std::string &id);
    void scheduleOccurrences(const std::string &id, const StageJob &job);
    void beginDueOccurrences(WallMs wallNow);
    void endAllRuns(const Lifetime &lifetime, RunEnd end);
    void queueEnd(const PlacedRun &run, RunEnd end);
    void expireLeases(Instant now);
    void evacuate(PoolWorker &worker, Instant now);
    void logWaiting(const StageJob &job, const ReadyTask &ready) const;
    void moveThrottled(Instant now);
    /// Whether the task may be stopped for the system's own ends without more of its step being
    /// away than its job allows.
    [[nodiscard]] bool allowsDisruption(const StageJob &job, const TaskRef &ref) const;
    [[nodiscard]] bool isRunning(const TaskRef &ref) const;
    void placeReady(Instant now, WallMs wallNow);
    [[nodiscard]] std::vector<ReadyTask> schedulingOrder(WallMs wallNow) const;
    bool placeTask(const ReadyTask &ready, Instant now);
    bool placeGang(const ReadyTask &ready, Instant now);
    [[nodiscard]] PoolWorker *chooseWorker(const StageJob &job, const TaskRef &ref, Instant now);
    [[nodiscard]] bool mayRun(const PoolWorker &worker, const QueueSettings &queue,
                              const StepPlan &step, const TaskRef &ref, Instant now) const;
    [[nodiscard]] double scoreOf(const PoolWorker &worker, const StepPlan &step) const;
    [[nodiscard]] double colocationScore(const PoolWorker &worker, const StepPlan &step) const;
    void learnInterference(PoolWorker &worker, std::span<const RunStatus> rows, Instant now);
    [[nodiscard]] const std::vector<SpareHeadroom> &spareHeadroomOf(const PoolWorker &worker) const;
    [[nodiscard]] double predictedSpeed(const PoolWorker &worker, const StepPlan &step) const;
    [[nodiscard]] double currentSpeed(const PoolWorker &worker, const PlacedRun &run) const;
    [[nodiscard]] std::int64_t unusedMilliCores(const PoolWorker &worker) const;
    void bind(const TaskRef &ref, std::uint32_t run, PoolWorker &worker, Instant now);
    void orderStop(const Lifetime &lifetime, PoolWorker &worker, PlacedRun &run);
    void recordEnd(const EndRun &end, const Lifetime &lifetime, Instant now);

    struct FailureRecord
    {
        std::set<std::string> failedJobs; ///< Since the last success.
        Duration pause = Duration::zero();
    };

    DispatchSettings m_settings;
    const JobTable &m_jobTable;
    Instant m_now; ///< As it came in last.
    WorkerPool m_pool;
    std::set<ReadyTask> m_ready;
    std::map<TaskRef, ReadyTask> m_readyByTask;
    std::map<TaskRef, Lifetime> m_placed; ///< Bound or proposed.
    std::set<std::pair<WallMs, std::pair<std::string, std::uint32_t>>> m_due;
    InterferenceTable m_interference;
    Instant m_nextInterference;
    Instant m_nextMoves;
    Instant m_nextWaitLog;
    Instant m_nextPlacement;
    std::map<std::string, FailureRecord> m_failureRecords; ///< By node.
    std::vector<StageCommand> m_commands;
    std::vector<std::pair<std::string, AgentOrder>> m_orders;
    std::set<std::pair<TaskRef, std::uint32_t>> m_endsProposed;
};

} // namespace guavashift
