#include <PerformanceTest/Scheduling/SchedulingRun.h>

#include <algorithm>
#include <chrono>

namespace guavashift {

namespace {

/// Initial share of the run whose samples are left out, because nothing is placed yet.
constexpr double warmUpShare = 0.05;
constexpr double coreMsPerHour = 3'600'000;

double percentile(std::vector<double> values, double percent)
{
    if (values.empty())
        return 0;
    const auto rank =
        static_cast<std::size_t>(percent / 100 * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                     values.end());
    return values[rank];
}

double onTimePercent(const Scenario &scenario, const StateMachine &state, WallMs end)
{
    std::size_t due = 0;
    std::size_t onTime = 0;
    for (const ScenarioJob &job : scenario.jobs) {
        if (job.spec.dueAt == 0 || job.spec.dueAt > end)
            continue;
        ++due;
        const auto found = state.jobs().find(job.spec.key());
        if (found != state.jobs().end() && found->second.status == JobStatus::Completed
            && found->second.endedAt <= job.spec.dueAt)
            ++onTime;
    }
    return due == 0 ? 100 : 100.0 * static_cast<double>(onTime) / static_cast<double>(due);
}

} // namespace

SchedulingMetrics runScheduling(const Scenario &scenario, const SchedulerSettings &settings)
{
    StateMachine state;
    FakeCluster cluster(scenario, state);
    Scheduler scheduler(settings, scenario.settings.seed + 2);
    cluster.announce();
    SchedulingMetrics metrics;
    std::size_t nextJob = 0;
    std::size_t rounds = 0;
    double totalRoundSeconds = 0;
    const WallMs end = scenarioStart + toMs(scenario.settings.length);
    std::size_t warmUpSamples = 0;
    for (WallMs now = scenarioStart; now < end; now += toMs(scenario.settings.step)) {
        for (; nextJob < scenario.jobs.size() && scenario.jobs[nextJob].submitAt <= now; ++nextJob)
            state.apply(now, SubmitJob{scenario.jobs[nextJob].spec});
        for (const ReportAttempt &report : cluster.advance(now)) {
            // The scheduler learns run times from completions, as in the leader.
            if (report.event == AttemptEvent::Completed)
                scheduler.completed(state.tasks().at(report.task), report.doneMs);
            state.apply(now, report);
        }
        for (const UsageReport &report : cluster.takeUsageReports(now))
            scheduler.observe(report, state);
        const auto started = std::chrono::steady_clock::now();
        const std::vector<CommandBody> commands = scheduler.decide(state, now);
        const std::chrono::duration<double> took = std::chrono::steady_clock::now() - started;
        totalRoundSeconds += took.count();
        metrics.roundMsMax = std::max(metrics.roundMsMax, 1000 * took.count());
        ++rounds;
        for (const CommandBody &command : commands) {
            const Outcome outcome = state.apply(now, command);
            metrics.starts += std::holds_alternative<AttemptStarted>(outcome) ? 1 : 0;
            if (std::holds_alternative<EvictAttempt>(command)
                && std::holds_alternative<Applied>(outcome))
                ++metrics.evictions;
        }
        if (rounds % 50 == 0)
            metrics.invariantViolations += state.checkInvariants().size();
        if (now < scenarioStart
                + static_cast<WallMs>(warmUpShare
                                      * static_cast<double>(toMs(scenario.settings.length))))
            warmUpSamples = cluster.serviceSlowdowns().size();
    }
    std::vector<double> samples(cluster.serviceSlowdowns().begin()
                                    + static_cast<std::ptrdiff_t>(warmUpSamples),
                                cluster.serviceSlowdowns().end());
    metrics.serviceSlowdownP99 = percentile(samples, 99);
    metrics.serviceSlowdownP50 = percentile(std::move(samples), 50);
    metrics.onTimePercent = onTimePercent(scenario, state, end);
    metrics.completedCoreHours = cluster.completedCoreMs() / coreMsPerHour;
    metrics.lostCoreHours = cluster.lostCoreMs() / coreMsPerHour;
    metrics.roundMsMean = 1000 * totalRoundSeconds / static_cast<double>(rounds);
    metrics.roundUsPerStart =
        metrics.starts == 0 ? 0 : 1e6 * totalRoundSeconds / static_cast<double>(metrics.starts);
    return metrics;
}

} // namespace guavashift
