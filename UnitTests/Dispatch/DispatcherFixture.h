#pragma once

#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// A dispatcher that leads. As on a leader, each command is applied once committed.
class DispatcherFixture : public CppUnit::TestFixture
{
public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
    }

protected:
    /// The first task of job "j".
    const TaskRef m_firstTask{"j", 0, 0, 0};

    /// Two steps of one task that takes the whole worker.
    static JobPlan twoSteps()
    {
        JobPlan steps = plan(1, 64'000);
        steps.steps.push_back(steps.steps[0]);
        steps.steps[1].after = {0};
        return steps;
    }

    /// Starts the first step of job "j" and settles its run as lapsed.
    void lapseFirstRun()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", twoSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5000));
        CPPUNIT_ASSERT(TaskStage::Waiting == m_jobTable->find(m_firstTask)->stage);
        m_dispatcher->takeOrders();
    }

    void expectOnlyTheSecondStepStarts(int milliseconds)
    {
        const std::vector<StageCommand> commands =
            m_dispatcher->decide(at(milliseconds), milliseconds);
        CPPUNIT_ASSERT_EQUAL(1U, onlyStart(commands).task.step);
        commit(commands, milliseconds);
        CPPUNIT_ASSERT(TaskStage::Done == m_jobTable->find(m_firstTask)->stage);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"j", 0, 1, 0})->stage);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(milliseconds + 100));
        end({"j", 0, 1, 0}, 1, RunEnd::Done, milliseconds + 200);
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
    }

    /// A steady stream of jobs with short tasks, and its runs that have not ended.
    struct ShortTasks
    {
        int intervalMs = 156; ///< Between two jobs.
        int runMs = 640;
        int commitMs = 60; ///< From the end of a run to its commit.
        int jobs = 0;
        std::multimap<int, EndRun> ends; ///< By the time of their commit.
    };

    static constexpr int fullWorkers = 16;

    /// Makes 16 workers of 64 cores, of which long-running tasks reserve three quarters, and lets
    /// short tasks run there for two seconds. One more long-running task, of 13 cores, fits on
    /// every worker only without the short tasks. Returns the time reached.
    int prepareFullWorkers(ShortTasks &shortTasks)
    {
        JobPlan lasting = plan(1, 13'000);
        lasting.steps[0].longRunning = true;
        JobPlan others = plan(3, 16'500);
        others.steps[0].longRunning = true;
        // One worker after the other, so that each gets its share.
        for (int i = 0; i < fullWorkers; ++i) {
            m_dispatcher->workerReported(fmt::format("n{}", i), worker(fmt::format("w{}", i)),
                                         at(0));
            accept(fmt::format("others{}", i), others);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(i + 1));
        }
        accept("lasting", lasting);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(100));
        constexpr int warmUpMs = 2000;
        runUntilBound({"none", 0, 0, 0}, shortTasks, 100, warmUpMs);
        return 100 + warmUpMs;
    }

    /// Runs the stream of short tasks until a new run of the task is bound, `lengthMs` at most.
    /// Returns the time of the binding.
    std::optional<int> runUntilBound(const TaskRef &ref, ShortTasks &shortTasks, int from,
                                     int lengthMs)
    {
        constexpr int stepMs = 5;
        for (int now = from; now < from + lengthMs; now += stepMs) {
            for (int i = 0; i < fullWorkers; ++i)
                (void)m_dispatcher->leaseGranted(fmt::format("n{}", i), at(now));
            if (now / shortTasks.intervalMs >= shortTasks.jobs)
                accept(fmt::format("short{}", shortTasks.jobs++), plan(10, 1600, 640), now);
            while (!shortTasks.ends.empty() && shortTasks.ends.begin()->first <= now) {
                m_dispatcher->endReported(shortTasks.ends.begin()->second);
                shortTasks.ends.erase(shortTasks.ends.begin());
            }
            const std::vector<StageCommand> commands = m_dispatcher->decide(at(now), now);
            commit(commands, now);
            for (const StageCommand &command : commands) {
                const auto *start = std::get_if<StartRun>(&command);
                if (start != nullptr && start->task.job.starts_with("short"))
                    shortTasks.ends.emplace(now + shortTasks.runMs + shortTasks.commitMs,
                                            EndRun{start->task, start->run, RunEnd::Done, {}});
            }
            const StageTask *task = m_jobTable->find(ref);
            if (task != nullptr && task->stage == TaskStage::Bound && task->run > 1)
                return now;
        }
        return std::nullopt;
    }

    void addWorkers(int count)
    {
        for (int i = 1; i <= count; ++i)
            m_dispatcher->workerReported(fmt::format("n{}", i), worker(fmt::format("w{}", i)),
                                         at(0));
    }

    /// Lists all runs on the worker as running.
    void report(const std::string &id, std::int64_t born, int milliseconds)
    {
        const Lifetime lifetime{id, born};
        std::vector<RunStatus> rows;
        for (const auto &[job, state] : m_jobTable->jobs()) {
            const StageTask *task = m_jobTable->find({job, 0, 0, 0});
            if (task->stage == TaskStage::Bound && task->lifetime == lifetime)
                rows.push_back({{job, 0, 0, 0}, task->run, {}, 100, 0});
        }
        m_dispatcher->runsReported(lifetime, rows, at(milliseconds));
    }

    /// Ends the lifetime by a crash shortly after the first tasks of `jobs` started. The next
    /// lifetime is born one later.
    void crash(const std::string &node, const std::string &id, std::int64_t born,
               const std::vector<std::string> &jobs, int milliseconds)
    {
        std::vector<TaskRun> recent;
        for (const std::string &job : jobs) {
            const StageTask *task = m_jobTable->find({job, 0, 0, 0});
            recent.push_back({{job, 0, 0, 0}, task == nullptr ? 0 : task->run});
        }
        m_dispatcher->lifetimeEnded({id, born}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother, recent);
        commit(m_dispatcher->takeCommands(), milliseconds);
        m_dispatcher->workerReported(node, worker(id, born + 1), at(milliseconds));
    }

    /// Ends the first lifetime of the worker by a crash shortly after that task started.
    void crashTask(const std::string &id, const TaskRef &task, int milliseconds)
    {
        m_dispatcher->lifetimeEnded({id, 1}, LifetimeEnd::Crashed, LifetimeProof::AnsweredByAnother,
                                    std::vector<TaskRun>{{task, m_jobTable->find(task)->run}});
        commit(m_dispatcher->takeCommands(), milliseconds);
        m_dispatcher->workerReported("n" + id.substr(1), worker(id, 2), at(milliseconds));
    }

    [[nodiscard]] std::uint32_t crashesOf(const std::string &job) const
    {
        return m_jobTable->find({job, 0, 0, 0})->allCrashes();
    }

    /// Lets a worker crash under a dozen tasks, with ten other workers. All must run again, and
    /// none be given up.
    void assertSuspectsRestart(const JobPlan &tasks)
    {
        constexpr int count = 12;
        constexpr int crashedAt = 100;
        constexpr int limitMs = 3000;
        std::vector<std::string> jobs;
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        for (int i = 0; i < count; ++i) {
            jobs.push_back(fmt::format("j{}", i));
            accept(jobs.back(), tasks);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, decideAndCommit(1));
        addWorkers(11);
        crash("n1", "w1", 1, jobs, crashedAt);
        for (int now = crashedAt; now < crashedAt + limitMs; now += 10) {
            decideAndCommit(now);
            if (now % 500 != 0)
                continue;
            report("w1", 2, now);
            for (int i = 2; i <= 11; ++i)
                report(fmt::format("w{}", i), 1, now);
        }
        for (const std::string &job : jobs) {
            CPPUNIT_ASSERT_EQUAL(1U, crashesOf(job));
            CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({job, 0, 0, 0})->stage);
            CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({job, 0, 0, 0})->run);
        }
    }

    static JobPlan longRunningPlan(std::uint32_t tasks, std::int64_t milliCores)
    {
        JobPlan lasting = plan(tasks, milliCores);
        lasting.steps[0].longRunning = true;
        return lasting;
    }

    /// Number of stops ordered since orders were last taken.
    std::size_t stopsOrdered()
    {
        const auto orders = m_dispatcher->takeOrders();
        return static_cast<std::size_t>(
            std::count_if(orders.begin(), orders.end(), [](const auto &order) {
                return std::holds_alternative<StopOrder>(order.second);
            }));
    }

    static StartRun onlyStart(const std::vector<StageCommand> &commands)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        return std::get<StartRun>(commands[0]);
    }

    void accept(const std::string &job, const JobPlan &plan, WallMs time = 0)
    {
        const StageCommand command = AcceptJob{job, "batch", plan};
        const StageOutcome outcome = m_jobTable->apply(time, command);
        m_dispatcher->applied(command, outcome, at(static_cast<int>(time)));
    }

    void commit(const std::vector<StageCommand> &commands, int milliseconds)
    {
        for (const StageCommand &command : commands) {
            const StageOutcome outcome = m_jobTable->apply(0, command);
            m_dispatcher->applied(command, outcome, at(milliseconds));
        }
    }

    std::size_t decideAndCommit(int milliseconds)
    {
        const std::vector<StageCommand> commands =
            m_dispatcher->decide(at(milliseconds), milliseconds);
        commit(commands, milliseconds);
        return commands.size();
    }

    void end(const TaskRef &ref, std::uint32_t run, RunEnd how, int milliseconds)
    {
        m_dispatcher->endReported({ref, run, how, {}});
        commit(m_dispatcher->decide(at(milliseconds), milliseconds), milliseconds);
    }

    std::unique_ptr<JobTable> m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

} // namespace guavashift
