#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// Workers that crash under some tasks and come back, as a leader sees them.
class CrashingFleet final
{
public:
    static constexpr int workers = 11;
    static constexpr int downtimeMs = 3000;
    /// From the start of a deadly task to the crash, and to the report of it.
    static constexpr int crashDelayMs = 10;
    /// Starts at most this long before the last one ahead of a crash are reported as recent.
    static constexpr int recentMs = 250;

    CrashingFleet()
        : m_jobTable(JobTableSettings{}, readAny)
    {
        m_jobTable.apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, m_jobTable);
        m_dispatcher->start(at(0));
        // The first tasks find one worker.
        addWorker(1);
    }

    [[nodiscard]] const JobTable &jobTable() const { return m_jobTable; }
    [[nodiscard]] int now() const { return m_now; }

    /// Whether a worker crashes under the task.
    void setDeadly(std::function<bool(const TaskRef &)> deadly) { m_deadly = std::move(deadly); }

    void addOtherWorkers()
    {
        for (int i = 2; i <= workers; ++i)
            addWorker(i);
    }

    void accept(const std::string &job, const JobPlan &plan)
    {
        commit({AcceptJob{job, "batch", plan}});
    }

    /// Lets the program of that worker end, `recent`: as its agent would report it.
    void crash(std::string id, const std::vector<TaskRun> &recent)
    {
        const Lifetime lifetime{id, m_born.at(id)};
        m_dispatcher->lifetimeEnded(lifetime, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother, recent);
        commit(m_dispatcher->takeCommands());
        m_returns.emplace(m_now + downtimeMs, id);
        m_down.insert(std::move(id));
        m_mostDown = std::max(m_mostDown, m_down.size());
    }

    void run(int milliseconds)
    {
        constexpr int roundMs = 10;
        constexpr int reportMs = 500;
        for (const int end = m_now + milliseconds; m_now < end; m_now += roundMs) {
            while (!m_returns.empty() && m_returns.begin()->first <= m_now) {
                const std::string id = m_returns.begin()->second;
                m_returns.erase(m_returns.begin());
                m_down.erase(id);
                ++m_born.at(id);
                m_dispatcher->workerReported(nodeOf(id), worker(id, m_born.at(id)), at(m_now));
            }
            crashDueWorkers();
            commit(m_dispatcher->decide(at(m_now), m_now));
            if (m_now % reportMs == 0)
                reportAll();
        }
    }

    /// Times of the starts of a task.
    [[nodiscard]] const std::vector<int> &startsOf(const TaskRef &task) { return m_starts[task]; }
    [[nodiscard]] int startsSince(int time) const
    {
        int count = 0;
        for (const auto &[task, starts] : m_starts)
            count += static_cast<int>(std::count_if(starts.begin(), starts.end(),
                                                    [&](int start) { return start >= time; }));
        return count;
    }
    /// Longest time between two starts of the task, or from the last one until now.
    [[nodiscard]] int longestGapOf(const TaskRef &task)
    {
        int longest = 0;
        std::vector<int> times = startsOf(task);
        times.push_back(m_now);
        for (std::size_t i = 1; i < times.size(); ++i)
            longest = std::max(longest, times[i] - times[i - 1]);
        return longest;
    }
    [[nodiscard]] std::size_t mostDown() const { return m_mostDown; }

    /// Lets another replica lead.
    void changeLeader()
    {
        m_dispatcher->stop();
        m_dispatcher->start(at(m_now));
        for (const auto &[id, born] : m_born) {
            if (!m_down.contains(id))
                m_dispatcher->workerReported(nodeOf(id), worker(id, born), at(m_now));
        }
    }

    /// The state of a task of an active job.
    [[nodiscard]] const StageTask &task(const TaskRef &ref) const
    {
        const StageTask *task = m_jobTable.find(ref);
        CPPUNIT_ASSERT(task != nullptr);
        return *task;
    }

private:
    static std::string nodeOf(const std::string &id) { return "n" + id.substr(1); }

    void addWorker(int number)
    {
        const std::string id = fmt::format("w{}", number);
        m_born[id] = 1;
        m_dispatcher->workerReported(nodeOf(id), worker(id), at(m_now));
    }

    void commit(const std::vector<StageCommand> &commands)
    {
        for (const StageCommand &command : commands) {
            const StageOutcome outcome = m_jobTable.apply(m_now, command);
            m_dispatcher->applied(command, outcome, at(m_now));
            const auto *start = std::get_if<StartRun>(&command);
            if (start == nullptr || !outcome.applied)
                continue;
            m_starts[start->task].push_back(m_now);
            if (m_deadly(start->task))
                m_crashes.emplace(m_now + crashDelayMs, start->lifetime);
        }
    }

    void crashDueWorkers()
    {
        while (!m_crashes.empty() && m_crashes.begin()->first <= m_now) {
            const Lifetime lifetime = m_crashes.begin()->second;
            m_crashes.erase(m_crashes.begin());
            if (m_down.contains(lifetime.worker)
                || m_born.at(lifetime.worker) != lifetime.startedAt)
                continue;
            std::vector<TaskRun> recent;
            for (const TaskRun &run : runsOn(lifetime)) {
                if (m_now - crashDelayMs - m_starts.at(run.task).back() <= recentMs)
                    recent.push_back(run);
            }
            crash(lifetime.worker, recent);
        }
    }

    [[nodiscard]] std::vector<TaskRun> runsOn(const Lifetime &lifetime) const
    {
        std::vector<TaskRun> runs;
        for (const auto &[ref, starts] : m_starts) {
            const StageTask *task = m_jobTable.find(ref);
            if (task != nullptr && task->stage == TaskStage::Bound && task->lifetime == lifetime)
                runs.push_back({ref, task->run});
        }
        return runs;
    }

    void reportAll()
    {
        for (const auto &[id, born] : m_born) {
            if (m_down.contains(id) || !m_dispatcher->leaseGranted(nodeOf(id), at(m_now)))
                continue;
            std::vector<RunStatus> rows;
            for (const TaskRun &run : runsOn({id, born}))
                rows.push_back({run.task, run.run, {}, 100, 0});
            m_dispatcher->runsReported({id, born}, rows, at(m_now));
        }
    }

    JobTable m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::function<bool(const TaskRef &)> m_deadly = [](const TaskRef &) { return false; };
    int m_now = 0;
    std::map<std::string, std::int64_t> m_born;
    std::set<std::string> m_down;
    std::multimap<int, std::string> m_returns;
    std::multimap<int, Lifetime> m_crashes;
    std::map<TaskRef, std::vector<int>> m_starts;
    std::size_t m_mostDown = 0;
};

JobPlan lastingPlan(std::uint32_t tasks)
{
    JobPlan lasting = plan(tasks, 1000);
    lasting.steps[0].longRunning = true;
    return lasting;
}

/// Longest time for which a job may have nothing running.
constexpr int longestWaitMs = 3000;
/// Time after the last run of a task from which it may not wait any more.
constexpr int longestTaskWaitMs = 6000;

} // namespace

/// Long-running tasks under which workers crash. They must be restarted however they end.
class LongRunningCrashTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongRunningCrashTest);
    CPPUNIT_TEST(isNeverGivenUp);
    CPPUNIT_TEST(gangIsNeverGivenUp);
    CPPUNIT_TEST(restartsAfterUnrelatedCrashes);
    CPPUNIT_TEST(pausesBetweenStartsOfADeadlyTask);
    CPPUNIT_TEST(nextLeaderPausesAsWell);
    CPPUNIT_TEST(innocentTasksOfTheStepRunAgain);
    CPPUNIT_TEST(deadlyTaskBesideOnesThatRunIsTriedAgain);
    CPPUNIT_TEST(unsuspectedTaskOfTheStepIsTried);
    CPPUNIT_TEST(triesAllTasksOfADeadlyStep);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against long-running jobs that are shown as failed because workers crashed.
    void isNeverGivenUp() { assertNeverGivenUp(lastingPlan(1)); }

    /// Guards against the same for a gang.
    void gangIsNeverGivenUp()
    {
        JobPlan gang = lastingPlan(3);
        gang.steps[0].gang = true;
        assertNeverGivenUp(gang);
    }

    /// Guards against long-running jobs that are shown as failed, or wait, because two workers
    /// crashed for another reason, each shortly after it started their task.
    void restartsAfterUnrelatedCrashes()
    {
        CrashingFleet fleet;
        const TaskRef ref{"lasting", 0, 0, 0};
        fleet.accept("lasting", lastingPlan(1));
        fleet.run(100);
        fleet.addOtherWorkers();
        for (std::uint32_t run = 1; run <= 2; ++run) {
            fleet.run(300);
            CPPUNIT_ASSERT_EQUAL(run, fleet.task(ref).run);
            fleet.crash(fleet.task(ref).lifetime.worker, {{ref, run}});
        }
        fleet.run(longestWaitMs);
        CPPUNIT_ASSERT(fleet.jobTable().find("lasting")->isActive());
        CPPUNIT_ASSERT(TaskStage::Bound == fleet.task(ref).stage);
        CPPUNIT_ASSERT_EQUAL(3U, fleet.task(ref).run);
        CPPUNIT_ASSERT(fleet.longestGapOf(ref) < longestWaitMs);
    }

    /// Guards against a long-running task that crashes its workers and takes one after the other
    /// down, and against one that waits too long after crashes.
    void pausesBetweenStartsOfADeadlyTask()
    {
        CrashingFleet fleet;
        fleet.setDeadly([](const TaskRef &) { return true; });
        fleet.accept("lasting", lastingPlan(1));
        fleet.run(100);
        fleet.addOtherWorkers();
        fleet.run(60'000);
        CPPUNIT_ASSERT(fleet.longestGapOf({"lasting", 0, 0, 0}) < longestWaitMs);
        // At most one start each two seconds once the pause has grown.
        CPPUNIT_ASSERT(fleet.startsSince(fleet.now() - 30'000) <= 15);
        const std::vector<int> &starts = fleet.startsOf({"lasting", 0, 0, 0});
        CPPUNIT_ASSERT(
            std::count_if(starts.begin(), starts.end(), [](int time) { return time < 10'000; })
            <= 10);
        CPPUNIT_ASSERT(2 * fleet.mostDown() < CrashingFleet::workers);
    }

    /// Guards against a pause that ends with a leadership.
    void nextLeaderPausesAsWell()
    {
        CrashingFleet fleet;
        fleet.setDeadly([](const TaskRef &) { return true; });
        fleet.accept("lasting", lastingPlan(1));
        fleet.run(100);
        fleet.addOtherWorkers();
        fleet.run(30'000);
        fleet.changeLeader();
        const int changedAt = fleet.now();
        fleet.run(20'000);
        // One start each two seconds, and one at once.
        CPPUNIT_ASSERT(fleet.startsSince(changedAt) <= 11);
        CPPUNIT_ASSERT(fleet.startsSince(changedAt) >= 20'000 / longestWaitMs);
        CPPUNIT_ASSERT(fleet.jobTable().find("lasting")->isActive());
    }

    /// Guards against tasks that never run because another one of their step crashes its workers
    /// and is tried first each time.
    void innocentTasksOfTheStepRunAgain()
    {
        CrashingFleet fleet;
        fleet.setDeadly([](const TaskRef &task) { return task.task == 0; });
        fleet.accept("lasting", lastingPlan(6));
        fleet.run(100);
        fleet.addOtherWorkers();
        fleet.run(longestTaskWaitMs);
        for (std::uint32_t t = 1; t < 6; ++t)
            CPPUNIT_ASSERT(TaskStage::Bound == fleet.task({"lasting", 0, 0, t}).stage);
        const int before = fleet.startsSince(0);
        fleet.run(20'000);
        // Only the deadly one is started again.
        const int deadlyStarts = static_cast<int>(fleet.startsOf({"lasting", 0, 0, 0}).size());
        for (std::uint32_t t = 1; t < 6; ++t)
            CPPUNIT_ASSERT(fleet.longestGapOf({"lasting", 0, 0, t}) >= 20'000);
        CPPUNIT_ASSERT(deadlyStarts > 3 && fleet.startsSince(0) - before <= 10);
        CPPUNIT_ASSERT(fleet.longestGapOf({"lasting", 0, 0, 0}) < longestTaskWaitMs);
    }

    /// Guards against the same for two that crash their workers beside one that runs.
    void deadlyTaskBesideOnesThatRunIsTriedAgain()
    {
        CrashingFleet fleet;
        fleet.addOtherWorkers();
        fleet.accept("lasting", lastingPlan(3));
        fleet.run(3000);
        fleet.setDeadly([](const TaskRef &task) { return task.task != 2; });
        for (std::uint32_t t = 0; t < 2; ++t) {
            const std::string id = fleet.task({"lasting", 0, 0, t}).lifetime.worker;
            CPPUNIT_ASSERT(id != fleet.task({"lasting", 0, 0, 2}).lifetime.worker);
            fleet.crash(id, {{{"lasting", 0, 0, t}, 1}});
        }
        fleet.run(30'000);
        for (std::uint32_t t = 0; t < 2; ++t) {
            // The first run went on for three seconds.
            CPPUNIT_ASSERT(fleet.longestGapOf({"lasting", 0, 0, t}) < longestTaskWaitMs);
            CPPUNIT_ASSERT(fleet.task({"lasting", 0, 0, t}).run > 5);
        }
        CPPUNIT_ASSERT_EQUAL(1U, fleet.task({"lasting", 0, 0, 2}).run);
        CPPUNIT_ASSERT(fleet.startsSince(fleet.now() - 20'000) <= 10);
    }

    /// Guards against a task that was lost without a suspicion and never runs again, because
    /// another one of its step crashes its workers and no task of the step runs.
    void unsuspectedTaskOfTheStepIsTried()
    {
        CrashingFleet fleet;
        fleet.setDeadly([](const TaskRef &task) { return task.task == 0; });
        fleet.accept("lasting", lastingPlan(2));
        fleet.run(10);
        // Both end; only one had just started.
        fleet.crash("w1", {{{"lasting", 0, 0, 0}, 1}});
        fleet.addOtherWorkers();
        fleet.run(longestTaskWaitMs);
        CPPUNIT_ASSERT(TaskStage::Bound == fleet.task({"lasting", 0, 0, 1}).stage);
        CPPUNIT_ASSERT_EQUAL(2U, fleet.task({"lasting", 0, 0, 1}).run);
    }

    /// Guards against tasks of a step that wait too long for their turn, and against a step whose
    /// tasks take the fleet down together.
    void triesAllTasksOfADeadlyStep()
    {
        constexpr std::uint32_t tasks = 6;
        CrashingFleet fleet;
        fleet.setDeadly([](const TaskRef &) { return true; });
        fleet.accept("lasting", lastingPlan(tasks));
        fleet.run(100);
        fleet.addOtherWorkers();
        fleet.run(60'000);
        for (std::uint32_t t = 0; t < tasks; ++t)
            CPPUNIT_ASSERT(fleet.longestGapOf({"lasting", 0, 0, t}) < longestTaskWaitMs);
        CPPUNIT_ASSERT(2 * fleet.mostDown() < CrashingFleet::workers);
    }

private:
    static void assertNeverGivenUp(const JobPlan &lasting)
    {
        CrashingFleet fleet;
        fleet.setDeadly([](const TaskRef &) { return true; });
        fleet.accept("lasting", lasting);
        fleet.run(100);
        fleet.addOtherWorkers();
        constexpr std::uint32_t manyRuns = 8;
        for (std::uint32_t run = 1; run < manyRuns; ++run) {
            fleet.run(longestWaitMs);
            CPPUNIT_ASSERT(fleet.jobTable().find("lasting")->isActive());
            CPPUNIT_ASSERT(fleet.task({"lasting", 0, 0, 0}).run > run);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningCrashTest);
