#pragma once

#include <Guavashift/Scheduling/OverloadOrder.h>
#include <Guavashift/Scheduling/RetryAdvice.h>
#include <Guavashift/Scheduling/ReturningJobs.h>
#include <Guavashift/Scheduling/WorkAccount.h>

#include <set>

namespace guavashift {

struct OverloadPlannerSettings
{
    OverloadOrderSettings order;
    /// Share of the room that a plan counts on: tasks do not fill workers to the last core.
    double usableRoom = 0.8;
    /// Least time between two plans.
    Duration interval = std::chrono::milliseconds(100);
    /// Time that a plan takes for each job in the account; the next one waits ten times as long.
    /// See docs/design/room.md.
    Duration intervalPerJob = std::chrono::microseconds(20);
    /// Part of an expected wait that may turn out to be shorter, before a job is refused for it.
    double waitTolerance = 0.25;
    /// Time after the leader's start in which no job is refused: workers have not reported yet.
    Duration learningTime = std::chrono::seconds(3);
    /// A job that is put back or late goes before others once its last chance to be worth something
    /// is this close.
    Duration lastChance = std::chrono::milliseconds(1000);
    /// But only up to this load: work that comes in the meantime must find room.
    double lastChanceLoad = 0.6;
    /// Most decisions on single jobs that are logged in one second.
    std::uint32_t logLinesPerSecond = 20;
};

/// Tasks that compete for the same room: those of one service that have processors reserved, or
/// those that work with what others leave unused.
struct RoomPool
{
    std::string service;
    bool bestEffort = false;

    auto operator<=>(const RoomPool &) const = default;
};

/// Why a submission is refused, and when the caller should return.
struct AdmissionRefusal
{
    std::string reason;
    std::int64_t retryAfterSeconds = 0;
};

/// Counts since the leader started, and the present load.
struct OverloadCounts
{
    std::uint64_t putBack = 0; ///< Jobs that were put back, each time.
    std::uint64_t takenUp = 0; ///< Jobs that were taken up again.
    std::map<std::string, std::uint64_t, std::less<>> refused; ///< By queue.
    double load = 0; ///< Of the fullest pool: work that is due against the room until then.
};

/// Weighs the work of the accepted jobs against the room and decides which of them give way, and
/// which submissions cannot be served. Reads no clock and performs no I/O but log lines.
///
/// Nothing here is replicated: a new leader learns the work from the job table, the room from its
/// workers' reports, and run times from the runs that end.
class OverloadPlanner final
{
public:
    explicit OverloadPlanner(const OverloadPlannerSettings &settings = {});

    /// Forgets everything. Called when leadership begins or ends.
    void reset(Instant now);

    [[nodiscard]] WorkAccount &account() { return m_account; }
    [[nodiscard]] RunTimes &runTimes() { return m_runTimes; }
    /// A job was accepted. One that was refused before goes before others in its first plans.
    void accepted(const std::string &job, JobDemand demand);
    void ended(const std::string &job);

    /// Whether the room should be determined for a new plan.
    [[nodiscard]] bool isDue(Instant now) const { return now >= m_nextPlan; }
    /// Makes a new plan. `rooms`: milli-cores for the jobs of the account, by pool.
    void plan(const std::map<RoomPool, double> &rooms, Instant now, WallMs wallNow);

    /// Whether any pool is overloaded, so that places of jobs matter.
    [[nodiscard]] bool isOverloaded() const { return !m_overloaded.empty(); }
    [[nodiscard]] bool isOverloaded(std::string_view service, bool bestEffort) const;
    /// Place of a job in an overloaded pool.
    struct Place
    {
        int rank = 0;   ///< 0 goes first.
        WallMs due = 0; ///< Order within the rank.
        Standing standing = Standing::InTime;
    };
    /// Nothing for jobs that are in no overloaded pool, and for best-effort ones: their ends depend
    /// on the slowest of their runs and hardly on their turn, see docs/design/room.md. A job
    /// accepted since the last plan gives way to those that are in it.
    [[nodiscard]] std::optional<Place> placeOf(std::string_view job) const;

    /// Whether a new job cannot be worth anything to its caller even if it is the next to start:
    /// what runs already takes the room for too long.
    [[nodiscard]] std::optional<AdmissionRefusal>
    refusalOf(const std::string &job, const JobDemand &demand, Instant now, WallMs wallNow);

    [[nodiscard]] const OverloadCounts &counts() const { return m_counts; }

private:
    struct PoolPlan
    {
        double roomMilliCores = 0;
        double runningWork = 0; ///< Milli-core-milliseconds that are left of runs.
    };

    void planPool(const RoomPool &pool, std::span<const JobLoad> loads, WallMs wallNow);
    void noteCrowding(const RoomPool &pool, const PoolPlan &plan, double load);
    void noteChange(const JobLoad &load, const Place &place, const PoolPlan &pool, WallMs wallNow);
    [[nodiscard]] bool mayLog();

    OverloadPlannerSettings m_settings;
    RunTimes m_runTimes;
    WorkAccount m_account;
    OverloadOrder m_order;
    ReturningJobs m_returning;
    RetryAdvice m_advice;
    Instant m_startedAt;
    Instant m_nextPlan;
    std::map<RoomPool, PoolPlan> m_pools;
    std::set<RoomPool> m_overloaded;
    std::set<RoomPool> m_overloadedBefore;              ///< In the plan before.
    std::map<std::string, Place, std::less<>> m_places; ///< Of jobs in overloaded pools.
    std::map<std::string, Place, std::less<>> m_before; ///< The same in the plan before.
    Instant m_plannedAt;
    Instant m_logWindow;
    std::uint32_t m_linesInWindow = 0;
    OverloadCounts m_counts;
};

} // namespace guavashift
