#include <Guavashift/Scheduling/OverloadPlanner.h>

#include <algorithm>

namespace guavashift {

namespace {

/// A plan may take this part of the time.
constexpr int planShare = 10;

std::string jobKind(const JobDemand &demand)
{
    return demand.bestEffort ? "best-effort" : "reserved";
}

} // namespace

OverloadPlanner::OverloadPlanner(const OverloadPlannerSettings &settings)
    : m_settings(settings)
    , m_order(settings.order)
    , m_advice(RetryAdviceSettings{})
{
}

void OverloadPlanner::reset(Instant now)
{
    m_runTimes.clear();
    m_account.clear();
    m_returning.clear();
    m_startedAt = now;
    m_nextPlan = now;
    m_plannedAt = now;
    m_pools.clear();
    m_overloaded.clear();
    m_overloadedBefore.clear();
    m_places.clear();
    m_before.clear();
    m_linesInWindow = 0;
    m_counts = {};
}

void OverloadPlanner::accepted(const std::string &job, JobDemand demand)
{
    demand.returned = m_returning.contains(job);
    m_returning.forget(job);
    m_account.accepted(job, std::move(demand));
}

void OverloadPlanner::ended(const std::string &job)
{
    m_account.ended(job);
    if (const auto found = m_places.find(job); found != m_places.end())
        m_places.erase(found);
}

void OverloadPlanner::plan(const std::map<RoomPool, double> &rooms, Instant now, WallMs wallNow)
{
    m_plannedAt = now;
    const auto cost =
        m_settings.intervalPerJob * static_cast<std::int64_t>(m_account.size()) * planShare;
    m_nextPlan = now + std::max<Duration>(m_settings.interval, cost);
    m_pools.clear();
    for (const auto &[pool, milliCores] : rooms)
        m_pools[pool].roomMilliCores = milliCores;
    m_overloadedBefore = std::exchange(m_overloaded, {});
    m_before = std::exchange(m_places, {});
    m_counts.load = 0;
    std::map<RoomPool, std::vector<JobLoad>> loads;
    for (JobLoad &load : m_account.loads(m_runTimes, now)) {
        const RoomPool pool{load.demand->service, load.demand->bestEffort};
        m_pools[pool].runningWork += load.runningWork;
        loads[pool].push_back(load);
    }
    for (const auto &[pool, members] : loads)
        planPool(pool, members, wallNow);
    m_before.clear();
}

void OverloadPlanner::planPool(const RoomPool &pool, std::span<const JobLoad> loads, WallMs wallNow)
{
    const PoolPlan &plan = m_pools[pool];
    // Without room nothing can start, in whatever order.
    if (plan.roomMilliCores <= 0)
        return;
    std::vector<JobClaim> claims;
    claims.reserve(loads.size());
    for (const JobLoad &load : loads)
        claims.push_back({load.job, load.demand->queue, load.demand->priority, load.work,
                          load.chainMs, static_cast<double>(load.demand->objective - wallNow),
                          static_cast<double>(load.demand->worthlessAt - wallNow),
                          load.begun || load.demand->returned});
    const Arrangement arrangement =
        m_order.arrange(claims, plan.roomMilliCores * m_settings.usableRoom);
    m_counts.load = std::max(m_counts.load, arrangement.load);
    const bool isOverloaded = arrangement.load > 1
        || std::any_of(arrangement.places.begin(), arrangement.places.end(),
                       [](const JobPlace &place) { return place.standing != Standing::InTime; });
    if (isOverloaded)
        m_overloaded.insert(pool);
    if (pool.bestEffort)
        return noteCrowding(pool, plan, arrangement.load);
    for (std::size_t i = 0; i < loads.size(); ++i) {
        const JobPlace &chosen = arrangement.places[i];
        const bool hasRoom =
            chosen.standing == Standing::PutBack || chosen.standing == Standing::Late;
        const bool isLastChance = arrangement.load <= m_settings.lastChanceLoad && hasRoom
            && chosen.dueMs - claims[i].chainMs <= static_cast<double>(toMs(m_settings.lastChance));
        Place place;
        place.standing = chosen.standing;
        place.due = wallNow + static_cast<WallMs>(chosen.dueMs);
        if (chosen.standing == Standing::Last)
            place.rank = 2;
        else if (hasRoom && !isLastChance)
            place.rank = 1;
        noteChange(loads[i], place, plan, wallNow);
        if (isOverloaded)
            m_places.emplace(loads[i].job, place);
    }
}

void OverloadPlanner::noteCrowding(const RoomPool &pool, const PoolPlan &plan, double load)
{
    const bool isCrowded = m_overloaded.contains(pool);
    if (isCrowded == m_overloadedBefore.contains(pool) || !mayLog())
        return;
    logEvent(LogLevel::Info, isCrowded ? "best-effort-crowded" : "best-effort-calm",
             {{"service", pool.service},
              {"room_milli_cores", static_cast<std::int64_t>(plan.roomMilliCores)},
              {"running_core_ms", static_cast<std::int64_t>(plan.runningWork / 1000)},
              {"load", load}});
}

void OverloadPlanner::noteChange(const JobLoad &load, const Place &place, const PoolPlan &pool,
                                 WallMs wallNow)
{
    const auto before = m_before.find(load.job);
    const auto givesWay = [](Standing standing) {
        return standing != Standing::InTime && standing != Standing::Ending;
    };
    const bool wasBack = before != m_before.end() && givesWay(before->second.standing);
    const bool isBack = givesWay(place.standing);
    if (wasBack == isBack)
        return;
    ++(isBack ? m_counts.putBack : m_counts.takenUp);
    if (!mayLog())
        return;
    logEvent(LogLevel::Info, isBack ? "job-put-back" : "job-taken-up",
             {{"job", load.job},
              {"queue", load.demand->queue},
              {"kind", jobKind(*load.demand)},
              {"standing", nameOf(place.standing)},
              {"begun", load.begun},
              {"work_core_ms", static_cast<std::int64_t>(load.work / 1000)},
              {"chain_ms", static_cast<std::int64_t>(load.chainMs)},
              {"objective_in_ms", load.demand->objective - wallNow},
              {"room_milli_cores", static_cast<std::int64_t>(pool.roomMilliCores)},
              {"load", m_counts.load}});
}

bool OverloadPlanner::mayLog()
{
    if (m_plannedAt - m_logWindow >= std::chrono::seconds(1)) {
        m_logWindow = m_plannedAt;
        m_linesInWindow = 0;
    }
    return m_linesInWindow++ < m_settings.logLinesPerSecond;
}

bool OverloadPlanner::isOverloaded(std::string_view service, bool bestEffort) const
{
    return std::any_of(m_overloaded.begin(), m_overloaded.end(), [&](const RoomPool &pool) {
        return pool.bestEffort == bestEffort && pool.service == service;
    });
}

std::optional<OverloadPlanner::Place> OverloadPlanner::placeOf(std::string_view job) const
{
    if (const auto found = m_places.find(job); found != m_places.end())
        return found->second;
    const JobDemand *demand = m_account.find(job);
    if (demand == nullptr || demand->bestEffort || !isOverloaded(demand->service, false))
        return std::nullopt;
    return Place{1, demand->objective, Standing::InTime};
}

std::optional<AdmissionRefusal> OverloadPlanner::refusalOf(const std::string &job,
                                                           const JobDemand &demand, Instant now,
                                                           WallMs wallNow)
{
    const auto pool = m_pools.find({demand.service, demand.bestEffort});
    // No workers, or not all of them, are known: that says nothing about the time to come.
    if (now - m_startedAt < m_settings.learningTime || pool == m_pools.end()
        || pool->second.roomMilliCores <= 0)
        return std::nullopt;
    // What runs of its kind take at present is left out: they may take less by then.
    const double roomMilliCores = pool->second.roomMilliCores;
    const double aheadMs =
        (1 - m_settings.waitTolerance) * pool->second.runningWork / roomMilliCores;
    const JobLoad load = WorkAccount::loadOf(demand, RunTimes());
    const double endMs = std::max(load.chainMs, aheadMs + load.work / roomMilliCores);
    const auto leftMs = static_cast<double>(demand.worthlessAt - wallNow);
    if (endMs <= leftMs)
        return std::nullopt;
    m_returning.refused(job, now);
    ++m_counts.refused[demand.queue];
    const auto wait = std::chrono::milliseconds(static_cast<std::int64_t>(endMs - leftMs));
    AdmissionRefusal refusal{"what runs already leaves no room in time",
                             m_advice.seconds(job, wait, {})};
    if (mayLog())
        logEvent(LogLevel::Info, "job-refused",
                 {{"job", job},
                  {"queue", demand.queue},
                  {"kind", jobKind(demand)},
                  {"ahead_ms", static_cast<std::int64_t>(aheadMs)},
                  {"end_in_ms", static_cast<std::int64_t>(endMs)},
                  {"worthless_in_ms", static_cast<std::int64_t>(leftMs)},
                  {"room_milli_cores", static_cast<std::int64_t>(pool->second.roomMilliCores)},
                  {"retry_after_s", refusal.retryAfterSeconds}});
    return refusal;
}

} // namespace guavashift
