#pragma once

#include <Guavashift/Dispatch/HeadroomTrend.h>
#include <Guavashift/Dispatch/InterferenceTable.h>
#include <Guavashift/Dispatch/WorkerFacts.h>

#include <map>
#include <set>

namespace guavashift {

/// A run that is bound to a worker or proposed to be.
struct PlacedRun
{
    TaskRef task;
    std::uint32_t run = 0;
    Resources size;
    bool bestEffort = false;
    bool latencyCritical = false;
    bool longRunning = false;
    bool committed = false;
    bool stopRequested = false;
    bool startIsOpen = false; ///< The start has no answer, and its lifetime has ended.
    bool ordered = false;     ///< In the present session of its worker's agent.
    /// Its start can be carried out by the lifetime that it is bound to only.
    bool reachesOnlyItsLifetime = false;
    bool listed = false;    ///< As running, in a report on the lifetime that it is bound to.
    bool suspected = false; ///< A worker had crashed under the task before.
    /// Its duration tells about its worker's speed, see Dispatcher::showsSpeed().
    bool showsSpeed = false;
    bool listedSinceEnd = false; ///< By the latest list, which came after its end was proposed.
    Instant boundAt;
    Instant readyAt; ///< When the task became ready; 0 if an earlier leader bound the run.
    Instant decidedAt;
    std::string image;
    double tailTargetMs = 0;
    RunStatus lastStatus; ///< From the worker's latest report.
    Instant lastStatusAt;
    Instant listedAt;          ///< By any report on the lifetime that it is bound to, when last.
    bool missing = false;      ///< It was logged that no list names it any more.
    HeadroomTrend ownHeadroom; ///< Of a latency-critical task without best-effort tasks.
};

/// Capacity that a run reserves: none of the processors for a best-effort task.
[[nodiscard]] Resources reservationOf(const PlacedRun &run);
/// Capacity that a task of the step reserves.
[[nodiscard]] Resources reservationOf(const StepPlan &step);

/// Number of tasks that need `size` each for which there is room, up to `most`.
[[nodiscard]] std::uint32_t countThatFit(const Resources &room, const Resources &size,
                                         std::uint32_t most);

/// Headroom that best-effort tasks may still take from the latency-critical tasks of one image on
/// one worker.
struct SpareHeadroom
{
    std::string image;
    double remaining = 0;
};

/// What an agent has said of starts that the next lifetime of its worker may still carry out,
/// because they went out on any connection.
struct LateStartsNotice
{
    std::set<std::pair<TaskRef, std::uint32_t>> runs;
    bool namesAll = true; ///< False if an earlier process of the agent may have sent others.
};

/// The leader's state of one lifetime of a worker.
struct PoolWorker
{
    using RunKey = std::pair<TaskRef, std::uint32_t>;

    WorkerFacts facts;
    std::string node;      ///< Node whose agent reports for it; empty: none at present.
    std::string lastNode;  ///< Node whose agent reported for it last.
    bool hasFacts = false; ///< False if the worker is known from bound runs only.
    /// Rises with each proof that a lifetime is present; 0: there was none for this one.
    std::uint64_t provenOrder = 0;
    std::string provenNode;   ///< Node of the agent that gave the last of them.
    bool unreachable = false; ///< Does not answer its agent.
    /// Calls for an earlier lifetime of the worker may still be carried out there, until its first
    /// inventory. A leader does not know of those before its time.
    bool takesEarlierCalls = false;
    /// For the next inventory.
    std::optional<LateStartsNotice> lateStarts;
    /// Its starts may go out on any connection, so that the next lifetime may carry them out late.
    bool startsOnAnyConnection = false;
    /// Its agent has listed its runs in this session, and no lifetime but this one can carry out a
    /// start for it.
    bool startsReachOnlyIt = false;
    Instant leaseEnd;          ///< Without a new grant nothing runs there after this time.
    Instant refusesUntil;      ///< Gets no new runs until then, after a refusal.
    Instant suspectUntil;      ///< Gets no new runs until then, after failures.
    Instant suspectAloneUntil; ///< A run under suspicion has just started there.
    Instant coldUntil;         ///< It is slow until then, after its start.
    Duration coldInAll = Duration::zero(); ///< The longest time that it reported as left.
    Resources reserved; ///< By all placed runs, without the processor share of best-effort ones.
    std::int64_t bestEffortMilliCores = 0;      ///< That best-effort tasks would use at full speed.
    std::int64_t latencyCriticalMilliCores = 0; ///< Reserved by latency-critical tasks.
    Resources longRunning;                      ///< Part of `reserved`, by long-running tasks.
    std::map<TaskRef, PlacedRun> runs;
    Resources unboundReserved; ///< By runs that it lists and that are not bound to it.
    bool runsUnknown = false;  ///< Whether it lists runs whose size is not known.
    /// Runs that are not bound to it and that its latest list names, also those that were released
    /// after it. The value tells whether this session has ordered their stop.
    std::map<RunKey, bool> unboundRuns;
    BestEffortActivity activity;                   ///< Of the best-effort tasks in its last report.
    Instant activityAt;                            ///< Time of that report.
    std::vector<InterferenceRow> sentInterference; ///< Last sent to its agent.
    /// Computed on demand and cached, since every waiting step queries every worker.
    mutable std::vector<SpareHeadroom> spare;
    /// Version of the interference table from which `spare` was computed; 0: out of date.
    mutable std::uint64_t spareVersion = 0;

    /// Share of its processors; 0 if it has none at present.
    [[nodiscard]] double shareOfProcessors(double milliCores) const;
    /// Activity of all placed best-effort tasks at full speed.
    [[nodiscard]] BestEffortActivity bestEffortDemand() const;
    [[nodiscard]] Resources available() const
    {
        return facts.capacity - reserved - unboundReserved;
    }
    /// Forgets the runs that are not bound to it: it carries out none any more.
    void clearUnbound();
    /// Whether it is a worker of the service that reports, answers and is not about to leave.
    [[nodiscard]] bool takesRunsOf(std::string_view service) const;
    /// Whether the runs there reserve more than the capacity, because it has shrunk.
    [[nodiscard]] bool isOverCapacity() const { return !Resources().fitsWithin(available()); }
};

/// Processors of a service's workers that take runs, in thousandths.
struct ServiceUse
{
    std::int64_t capacity = 0;
    std::int64_t reserved = 0;
    std::int64_t bestEffort = 0; ///< That best-effort tasks would use at full speed.
};

/// All lifetimes of workers that the leader knows, with the runs placed on them. Performs no I/O
/// and reads no clock.
class WorkerPool final
{
public:
    using Workers = std::map<Lifetime, PoolWorker>;

    [[nodiscard]] const Workers &workers() const { return m_workers; }
    [[nodiscard]] PoolWorker *find(const Lifetime &lifetime);
    PoolWorker &add(const Lifetime &lifetime);
    void clear();

    /// Makes the agent on `node` the one that reports for the worker; empty: none. With another
    /// node a new session begins.
    void setNode(PoolWorker &worker, const std::string &node);
    /// Lifetimes for which the agent on `node` reports.
    [[nodiscard]] std::vector<Lifetime> lifetimesReportedBy(const std::string &node) const;
    /// Lifetimes for which the agent on `node` reports, or did so last.
    [[nodiscard]] std::vector<Lifetime> lifetimesLastReportedBy(const std::string &node) const;
    /// Lifetimes of the worker named `worker`.
    [[nodiscard]] std::vector<Lifetime> lifetimesOf(const std::string &worker) const;

    [[nodiscard]] ServiceUse useOf(std::string_view service) const;

    /// Removes a lifetime unless runs are placed on it.
    void removeIfIdle(const Lifetime &lifetime);

    void place(const Lifetime &lifetime, PlacedRun run);
    void release(const Lifetime &lifetime, const TaskRef &task);

private:
    Workers m_workers;
    using NodeIndex = std::map<std::string, std::set<Lifetime>>;

    /// Moves a lifetime between the entries of two nodes; empty: none.
    static void move(NodeIndex &index, const Lifetime &lifetime, const std::string &from,
                     const std::string &to);
    [[nodiscard]] static std::vector<Lifetime> lifetimesIn(const NodeIndex &index,
                                                           const std::string &node);

    NodeIndex m_byNode;
    NodeIndex m_byLastNode;
};

} // namespace guavashift
