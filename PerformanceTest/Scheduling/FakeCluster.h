#pragma once

#include <PerformanceTest/Scheduling/Scenario.h>

#include <map>

namespace guavashift {

/// Quality of the schedule and cost of the scheduler over one simulated run.
struct SchedulingMetrics
{
    double serviceSlowdownP99 = 0; ///< 99th percentile of latency-critical tasks' slowdown.
    double serviceSlowdownP50 = 0;
    double onTimePercent = 0;      ///< Share of the jobs due in the run that ended in time.
    double completedCoreHours = 0; ///< Core hours of completed batch tasks.
    std::uint64_t evictions = 0;
    /// Core hours since the last checkpoint, lost by stops and VM losses.
    double lostCoreHours = 0;
    std::uint64_t starts = 0;
    double roundMsMean = 0; ///< Wall-clock time of one scheduling round.
    double roundMsMax = 0;
    double roundUsPerStart = 0; ///< Time of all rounds divided by the number of starts.
    std::uint64_t invariantViolations = 0;
};

/// Simulates workers that run the tasks assigned in the state, with slowdowns hidden from the
/// scheduler. Uses no processes and no network, and one virtual clock.
class FakeCluster final
{
public:
    FakeCluster(const Scenario &scenario, StateMachine &state);

    /// Announces all workers and submits the configuration.
    void announce();

    /// Advances the clock to `now`: runs tasks, loses VMs and brings them back. Returns the reports
    /// of the agents.
    std::vector<ReportAttempt> advance(WallMs now);

    /// Removes and returns the measurements that have arrived by `now`.
    std::vector<UsageReport> takeUsageReports(WallMs now);

    [[nodiscard]] const std::vector<double> &serviceSlowdowns() const { return m_serviceSlowdowns; }
    [[nodiscard]] double lostCoreMs() const { return m_lostCoreMs; }
    [[nodiscard]] double completedCoreMs() const { return m_completedCoreMs; }

private:
    struct Running
    {
        Attempt attempt = 0;
        WorkerId worker;
        WallMs startedAt = 0;
        double doneMs = 0;
        double checkpointMs = 0;
        WallMs checkpointAt = 0;
    };

    struct PendingReport
    {
        WallMs at = 0;
        UsageReport report;
    };

    struct BatchNeighbour
    {
        std::size_t family = 0;
        double speed = 1;
        double share = 0; ///< Share of the worker's processors.
    };

    void advanceWorker(const Worker &worker, WallMs now, std::vector<ReportAttempt> &reports);
    void loseVms(WallMs now);
    [[nodiscard]] double interferenceOf(std::size_t family, WallMs now) const;
    [[nodiscard]] double loadOf(std::size_t service, WallMs now) const;
    [[nodiscard]] double slowdownOf(std::size_t service,
                                    const std::vector<BatchNeighbour> &neighbours,
                                    std::size_t latencyCriticalTasks, WallMs now);
    void advanceBatch(const Task &task, Running &run, double slowdown, WallMs now, bool failing,
                      std::vector<ReportAttempt> &reports);
    void report(const Task &task, double slowdown, double load, WallMs now);
    std::size_t familyOf(const Task &task);
    static WorkerId workerId(std::size_t index);

    const Scenario &m_scenario;
    StateMachine &m_state;
    std::mt19937_64 m_random;
    WallMs m_now = scenarioStart;
    std::map<TaskId, Running> m_running;
    std::map<std::string, std::int64_t> m_trueRuntime; ///< By job.
    std::map<WorkerId, WallMs> m_lostUntil;
    std::size_t m_nextLoss = 0;
    std::vector<std::pair<std::size_t, WallMs>> m_losses;
    std::deque<PendingReport> m_pendingReports;
    std::vector<double> m_serviceSlowdowns;
    double m_lostCoreMs = 0;
    double m_completedCoreMs = 0;
    unsigned m_boots = 0;
};

} // namespace guavashift
