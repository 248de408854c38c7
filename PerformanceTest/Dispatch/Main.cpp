#include <Guavashift/Dispatch/Dispatch.h>

#include <CLI/CLI.hpp>
#include <cstdio>

using namespace guavashift;

namespace {

constexpr std::string_view serviceName = "orders";
constexpr std::string_view queueName = "batch";
/// Time between two rounds of the leader's loop.
constexpr Duration roundInterval = std::chrono::milliseconds(5);
constexpr int imageCount = 8;

/// Returns the configuration of the benchmark, whatever the text.
tl::expected<QueueTable, Findings> readConfiguration(std::string_view)
{
    QueueSettings batch;
    batch.name = queueName;
    batch.host = "h";
    batch.pathPrefix = "/b/";
    batch.service = serviceName;
    batch.timeoutMs = 1000;
    batch.targetLatencyMs = 60'000;
    batch.stretch = 2;
    batch.maxAttempts = 3;
    return QueueTable(1, {batch}, {{std::string(serviceName), {}}});
}

/// Simulated fleet with one latency-critical task on each worker, best-effort tasks up to the
/// limit, and queued steps.
class SimulatedFleet final
{
public:
    SimulatedFleet(std::size_t workers, std::size_t waiting)
        : m_jobTable(JobTableSettings{}, readConfiguration)
        , m_dispatcher(DispatchSettings{}, m_jobTable)
        , m_workers(workers)
    {
        m_jobTable.apply(0, ReplaceConfiguration{"x"});
        m_dispatcher.start(m_now);
        for (std::size_t i = 0; i < workers; ++i)
            m_dispatcher.workerReported(nodeOf(i), factsOf(i), m_now);
        for (std::size_t i = 0; i < workers; ++i)
            accept(fmt::format("serving{}", i), latencyCriticalPlan(i));
        settle();
        for (std::size_t i = 0; i < workers; ++i)
            reportRuns(i);
        for (std::size_t i = 0; i < waiting; ++i)
            accept(fmt::format("waiting{}", i), bestEffortPlan(i));
        settle();
    }

    /// Duration in microseconds of one round in which nothing has changed.
    double idleRound() { return round(); }

    /// Duration in microseconds of the round after a best-effort task ended.
    double roundAfterEnd()
    {
        if (m_running.empty())
            return 0;
        const auto [task, run] = *m_running.begin();
        m_running.erase(m_running.begin());
        m_dispatcher.endReported({task, run, RunEnd::Done, {}});
        round();
        // The end is committed now: this round uses the freed capacity.
        return round();
    }

    /// Simulated time until a new step that fits is bound, in milliseconds.
    double newStepBindTime(int number)
    {
        JobPlan small = bestEffortPlan(0);
        small.steps[0].size.milliCores = 10;
        small.steps[0].bestEffort = false;
        const std::string job = fmt::format("fresh{}", number);
        accept(job, small);
        const Instant since = m_now;
        for (int rounds = 0; rounds < 1000; ++rounds) {
            round();
            const StageTask *task = m_jobTable.find(TaskRef{job, 0, 0, 0});
            if (task != nullptr && task->stage == TaskStage::Bound)
                break;
        }
        return std::chrono::duration<double, std::milli>(m_now - roundInterval - since).count();
    }

    /// Duration in microseconds of recording one lease grant for every agent.
    double grantAll()
    {
        const Instant start = BootClock::now();
        for (std::size_t i = 0; i < m_workers; ++i)
            (void)m_dispatcher.leaseGranted(nodeOf(i), m_now);
        return microsecondsSince(start);
    }

    /// Duration in microseconds of collecting interference after all workers have reported their
    /// runs.
    double collectInterference()
    {
        for (std::size_t i = 0; i < m_workers; ++i)
            reportRuns(i);
        m_now += std::chrono::seconds(1);
        const Instant start = BootClock::now();
        (void)m_dispatcher.takeInterference(m_now);
        return microsecondsSince(start);
    }

    /// Duration in microseconds of a round that looks for best-effort tasks to move.
    double roundWithMoves()
    {
        m_now += std::chrono::seconds(1);
        return round();
    }

    /// Duration in microseconds of saving the job table, and the size in bytes.
    std::pair<double, std::size_t> save()
    {
        const Instant start = BootClock::now();
        const std::string bytes = m_jobTable.save();
        return {microsecondsSince(start), bytes.size()};
    }

    [[nodiscard]] std::size_t running() const { return m_running.size(); }

private:
    static double microsecondsSince(Instant start)
    {
        return std::chrono::duration<double, std::micro>(BootClock::now() - start).count();
    }
    static std::string nodeOf(std::size_t i) { return fmt::format("n{:05}", i); }

    static WorkerFacts factsOf(std::size_t i)
    {
        WorkerFacts facts;
        facts.lifetime = {fmt::format("w{:05}", i), 1};
        facts.service = serviceName;
        facts.capacity = {16'000, 64'000, 0};
        facts.labels = {i % 3 == 0 ? "large" : "small", fmt::format("rack{}", i / 10)};
        return facts;
    }

    static JobPlan latencyCriticalPlan(std::size_t i)
    {
        JobPlan plan;
        plan.steps.resize(1);
        plan.steps[0].size = {8'000, 1'000, 0};
        plan.steps[0].longRunning = true;
        plan.steps[0].tailTargetMs = 50;
        plan.steps[0].image = fmt::format("server{}", i % imageCount);
        return plan;
    }

    static JobPlan bestEffortPlan(std::size_t i)
    {
        JobPlan plan;
        plan.payload = std::string(200, 'x');
        plan.steps.resize(1);
        plan.steps[0].tasks = 4;
        plan.steps[0].size = {2'000 + static_cast<std::int64_t>(i % 50) * 40, 100, 0};
        plan.steps[0].estimateMs = 2'000;
        plan.steps[0].bestEffort = true;
        plan.steps[0].checkpoints = true;
        plan.steps[0].image = fmt::format("filler{}", i % imageCount);
        return plan;
    }

    void accept(const std::string &job, const JobPlan &plan)
    {
        commit(AcceptJob{job, std::string(queueName), plan});
    }

    void commit(const StageCommand &command)
    {
        const StageOutcome outcome = m_jobTable.apply(m_wallTime, command);
        m_dispatcher.applied(command, outcome, m_now);
        if (const auto *start = std::get_if<StartRun>(&command);
            start != nullptr && outcome.applied && start->task.job.starts_with("waiting"))
            m_running.emplace(start->task, start->run);
    }

    double round()
    {
        m_now += roundInterval;
        m_wallTime += toMs(roundInterval);
        if (m_now >= m_nextGrants) {
            m_nextGrants = m_now + std::chrono::seconds(1);
            grantAll();
        }
        const Instant start = BootClock::now();
        const std::vector<StageCommand> commands = m_dispatcher.decide(m_now, m_wallTime);
        const double took = microsecondsSince(start);
        for (const StageCommand &command : commands)
            commit(command);
        (void)m_dispatcher.takeOrders();
        return took;
    }

    void settle()
    {
        constexpr int rounds = 200;
        for (int i = 0; i < rounds; ++i)
            round();
        grantAll();
    }

    void reportRuns(std::size_t i)
    {
        const Lifetime lifetime = factsOf(i).lifetime;
        std::vector<RunStatus> rows;
        for (const RunTraits &traits : m_dispatcher.traitsOf(lifetime))
            rows.push_back(
                {traits.task, traits.run, {}, 50, traits.tailTargetMs > 0 ? 12.0 : 1'500.0});
        m_dispatcher.runsReported(lifetime, rows, m_now);
    }

    JobTable m_jobTable;
    Dispatcher m_dispatcher;
    std::size_t m_workers;
    Instant m_now = Instant(std::chrono::seconds(1000));
    Instant m_nextGrants;
    WallMs m_wallTime = 0;
    std::map<TaskRef, std::uint32_t> m_running;
};

template <typename Measure>
void report(const char *name, const char *unit, int times, Measure measure)
{
    std::vector<double> taken;
    taken.reserve(static_cast<std::size_t>(times));
    for (int i = 0; i < times; ++i)
        taken.push_back(measure());
    std::sort(taken.begin(), taken.end());
    std::printf("  %-36s p50 %10.1f  most %10.1f %s\n", name, taken[taken.size() / 2], taken.back(),
                unit);
}

void measureFleet(std::size_t workers, std::size_t waiting, int times)
{
    SimulatedFleet fleet(workers, waiting);
    std::printf("%zu workers, %zu jobs of 4 tasks, %zu running\n", workers, waiting,
                fleet.running());
    report("round without change", "us", times, [&] { return fleet.idleRound(); });
    report("round after an end", "us", times, [&] { return fleet.roundAfterEnd(); });
    int number = 0;
    report("until a fresh step is bound", "ms", times,
           [&] { return fleet.newStepBindTime(number++); });
    report("grants to all agents", "us", times, [&] { return fleet.grantAll(); });
    report("harms after all rows", "us", 3, [&] { return fleet.collectInterference(); });
    report("round with moves", "us", 3, [&] {
        fleet.grantAll();
        return fleet.roundWithMoves();
    });
    std::size_t bytes = 0;
    report("state saved", "us", 3, [&] {
        const auto [took, size] = fleet.save();
        bytes = size;
        return took;
    });
    std::printf("  state %zu bytes\n", bytes);
}

} // namespace

int main(int argumentCount, char **arguments)
{
    CLI::App app("Measures the cost of one placement round for the leader.");
    std::vector<std::size_t> workers{71, 2100};
    std::size_t waiting = 2000;
    int times = 40;
    app.add_option("--workers", workers, "Numbers of workers, measured in turn");
    app.add_option("--waiting", waiting, "Submitted jobs of four tasks");
    app.add_option("--times", times, "Repetitions");
    CLI11_PARSE(app, argumentCount, arguments);
    for (const std::size_t each : workers)
        measureFleet(each, waiting, times);
    return 0;
}
