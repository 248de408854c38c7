#pragma once

#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// A job as a caller sends it to a FluidPool: one step.
struct SentJob
{
    WallMs sentAt = 0;
    std::string queue;
    std::uint32_t tasks = 1;
    std::int64_t milliCores = 1000;
    std::int64_t estimateMs = 1000;
    /// What the tasks really take.
    std::int64_t takesMs = 1000;
    std::string domain;
    std::int64_t objectiveMs = 2000; ///< From its sending.
};

/// What callers of one queue, or of one failure domain, saw.
struct Seen
{
    int sent = 0;
    int inTime = 0;
    int worthless = 0;

    [[nodiscard]] double share() const { return static_cast<double>(inTime) / std::max(sent, 1); }
};

/// Runs jobs in the order of a planner, or by their objectives alone. Each 50 ms, waiting tasks
/// start in that order while there is room, and run to their end.
class FluidPool final
{
public:
    static constexpr int stepMs = 50;

    explicit FluidPool(bool planned, const OverloadPlannerSettings &settings = {})
        : m_planned(planned)
        , m_planner(settings)
    {
    }

    /// `room`: milli-cores by time. Runs until all jobs are complete.
    void run(std::vector<SentJob> jobs, const std::function<double(WallMs)> &room)
    {
        std::stable_sort(jobs.begin(), jobs.end(), [](const auto &left, const auto &right) {
            return left.sentAt < right.sentAt;
        });
        m_planner.reset(instant(0));
        std::size_t next = 0;
        for (WallMs now = 0; next < jobs.size() || !m_jobs.empty(); now += stepMs) {
            endRuns(now);
            while (next < jobs.size() && jobs[next].sentAt <= now)
                accept(jobs[next++], now);
            if (m_planner.isDue(instant(now)))
                m_planner.plan({{RoomPool{"pool", false}, room(now)}}, instant(now), now);
            start(now, room(now));
            CPPUNIT_ASSERT_MESSAGE("a job was forgotten", now < 1'000'000);
        }
    }

    [[nodiscard]] const Seen &ofQueue(const std::string &queue) { return m_queues[queue]; }
    [[nodiscard]] const Seen &ofDomain(const std::string &domain) { return m_domains[domain]; }
    [[nodiscard]] OverloadPlanner &planner() { return m_planner; }

    static Instant instant(WallMs now)
    {
        return Instant(std::chrono::seconds(100) + std::chrono::milliseconds(now));
    }

private:
    struct Open
    {
        SentJob sent;
        std::uint32_t toStart = 0;
        std::uint32_t toEnd = 0;
    };
    struct Run
    {
        std::string job;
        WallMs began = 0;
    };

    void accept(const SentJob &sent, WallMs now)
    {
        const std::string id = fmt::format("{:06}", ++m_accepted);
        m_jobs[id] = {sent, sent.tasks, sent.tasks};
        JobDemand demand;
        demand.queue = sent.queue;
        demand.service = "pool";
        demand.objective = now + sent.objectiveMs;
        demand.worthlessAt = now + 3 * sent.objectiveMs;
        demand.steps = {{"", sent.milliCores, sent.estimateMs, sent.tasks, {}}};
        m_planner.accepted(id, std::move(demand));
    }

    void start(WallMs now, double room)
    {
        std::vector<std::tuple<int, WallMs, std::string>> order;
        for (const auto &[id, job] : m_jobs) {
            const auto place = m_planned ? m_planner.placeOf(id) : std::nullopt;
            const WallMs objective = job.sent.sentAt + job.sent.objectiveMs;
            // Without a plan, jobs that can be in time go before those that cannot.
            const WallMs leastEnd = now + job.sent.estimateMs;
            const int late = leastEnd <= objective                       ? 0
                : leastEnd <= job.sent.sentAt + 3 * job.sent.objectiveMs ? 1
                                                                         : 2;
            order.emplace_back(place ? place->rank : late, place ? place->due : objective, id);
        }
        std::sort(order.begin(), order.end());
        for (const auto &[rank, due, id] : order) {
            Open &job = m_jobs.at(id);
            const auto size = static_cast<double>(job.sent.milliCores);
            for (; job.toStart > 0 && m_used + size <= room; --job.toStart) {
                m_used += size;
                m_runs.emplace(now + job.sent.takesMs, Run{id, now});
                m_planner.account().runBound(id, 0, instant(now));
            }
        }
    }

    void endRuns(WallMs now)
    {
        while (!m_runs.empty() && m_runs.begin()->first <= now) {
            const Run run = m_runs.begin()->second;
            m_runs.erase(m_runs.begin());
            Open &job = m_jobs.at(run.job);
            m_used -= static_cast<double>(job.sent.milliCores);
            m_planner.account().runReleased(run.job, 0, instant(run.began));
            m_planner.account().tasksLeft(run.job, 0, --job.toEnd);
            m_planner.runTimes().ended(job.sent.queue, "", job.sent.estimateMs, now - run.began);
            if (job.toEnd > 0)
                continue;
            count(m_queues[job.sent.queue], job.sent, now);
            count(m_domains[job.sent.domain], job.sent, now);
            m_planner.ended(run.job);
            m_jobs.erase(run.job);
        }
    }

    static void count(Seen &seen, const SentJob &sent, WallMs now)
    {
        ++seen.sent;
        seen.inTime += now <= sent.sentAt + sent.objectiveMs ? 1 : 0;
        seen.worthless += now > sent.sentAt + 3 * sent.objectiveMs ? 1 : 0;
    }

    bool m_planned;
    OverloadPlanner m_planner;
    std::map<std::string, Open> m_jobs;
    std::multimap<WallMs, Run> m_runs; ///< By end.
    double m_used = 0;
    int m_accepted = 0;
    std::map<std::string, Seen> m_queues;
    std::map<std::string, Seen> m_domains;
};

} // namespace guavashift
