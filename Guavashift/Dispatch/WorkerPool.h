#pragma once

#include <Guavashift/Dispatch/InterferenceTable.h>
#include <Guavashift/Dispatch/WorkerFacts.h>

#include <map>
#include <set>

namespace guavashift {

/// A run that the leader has bound to a worker, or is about to.
struct PlacedRun
{
    TaskRef task;
    std::uint32_t run = 0;
    Resources size;
    bool bestEffort = false;
    bool latencyCritical = false;
    bool committed = false;
    bool stopRequested = false;
    Instant boundAt;
    Instant readyAt; ///< The task was ready; 0 where an earlier leader bound it.
    Instant decidedAt;
    std::string image;
    double tailTargetMs = 0;
    RunStatus lastStatus; ///< As the worker showed it last.
    Instant lastStatusAt;
    double ownHeadroom = 0; ///< A serving task's headroom without fillers; smoothed.
};

/// Headroom that fillers may still take from the serving tasks of one image on one worker.
struct SpareHeadroom
{
    std::string image;
    double remaining = 0;
};

/// What the leader knows of one lifetime of a worker.
struct PoolWorker
{
    WorkerFacts facts;
    std::string node;         ///< Whose agent speaks for it; empty: none does now.
    bool hasFacts = false;    ///< False for one that is known from bound runs only.
    bool unreachable = false; ///< Does not answer its agent.
    Instant leaseEnd;         ///< Nothing runs there after this without a new grant.
    Instant suspectUntil;     ///< Not used for new runs before, after refusals or failures.
    Resources reserved;       ///< By all placed runs; fillers without their processor share.
    std::int64_t bestEffortMilliCores = 0;      ///< Thousandths of a core that fillers could use.
    std::int64_t latencyCriticalMilliCores = 0; ///< Reserved by tasks that serve.
    std::map<TaskRef, PlacedRun> runs;
    BestEffortActivity activity; ///< Of the fillers that its last report showed.
    Instant activityAt;
    std::vector<InterferenceRow> sentInterference; ///< To its agent, last.
    /// Worked out when asked for, since every waiting step asks every worker.
    mutable std::vector<SpareHeadroom> spare;
    /// Of the estimates that `spare` was worked out from; 0: it must be worked out anew.
    mutable std::uint64_t spareVersion = 0;

    /// What all fillers there would use at full speed.
    [[nodiscard]] BestEffortActivity bestEffortDemand() const;
    [[nodiscard]] Resources available() const { return facts.capacity - reserved; }
};

/// All lifetimes of workers that the leader knows, with what is placed on them. Pure.
class WorkerPool final
{
public:
    using Workers = std::map<Lifetime, PoolWorker>;

    [[nodiscard]] const Workers &workers() const { return m_workers; }
    [[nodiscard]] PoolWorker *find(const Lifetime &lifetime);
    PoolWorker &add(const Lifetime &lifetime);
    void clear();

    /// The agent on `node` speaks for the worker from now on; empty: none does.
    void setNode(PoolWorker &worker, const std::string &node);
    /// Lifetimes for which the agent on `node` speaks.
    [[nodiscard]] std::vector<Lifetime> lifetimesReportedBy(const std::string &node) const;
    /// Lifetimes of the worker with that name.
    [[nodiscard]] std::vector<Lifetime> lifetimesOf(const std::string &worker) const;

    /// Forgets a lifetime on which nothing is placed any more.
    void removeIfIdle(const Lifetime &lifetime);

    void place(const Lifetime &lifetime, PlacedRun run);
    void release(const Lifetime &lifetime, const TaskRef &task);

private:
    Workers m_workers;
    std::map<std::string, std::set<Lifetime>> m_byNode;
};

} // namespace guavashift
