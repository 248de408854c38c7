#include "DispatcherFixture.h"
#include "WaitStateText.h"

using namespace guavashift;

namespace {

/// For this long a job may have nothing running while its service has capacity.
constexpr int longestIdleMs = 3000;

} // namespace

/// Tests of states that keep a job from a start on every worker that has room. Nothing of them
/// changes while the job waits.
class IdleJobCausesTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(IdleJobCausesTest);
    CPPUNIT_TEST(startsAJobBesideASuspectedGangWithoutRoom);
    CPPUNIT_TEST(startsAJobAfterFailuresOnAllWorkers);
    CPPUNIT_TEST(startsAJobOnAWorkerThatIsHeld);
    CPPUNIT_TEST(startsAJobOnColdWorkers);
    CPPUNIT_TEST(startsManyJobsThatWaitFromOneMoment);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a gang that finds no room and renews the pause after the start of a suspected
    /// task in each round, on workers where none of it starts.
    void startsAJobBesideASuspectedGangWithoutRoom()
    {
        addWorkers(4);
        JobPlan gang = plan(4, 40'000);
        gang.steps[0].gang = true;
        accept("gang", gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decideAndCommit(1));
        const std::string lost = m_jobTable->find({"gang", 0, 0, 0})->lifetime.worker;
        m_dispatcher->lifetimeEnded({lost, 1}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother,
                                    std::vector<TaskRun>{{{"gang", 0, 0, 0}, 1}});
        commit(m_dispatcher->takeCommands(), 100);
        m_dispatcher->nodeLost("n" + lost.substr(1));
        for (std::uint32_t t = 1; t < 4; ++t)
            end({"gang", 0, 0, t}, 1, RunEnd::Broken, 150);
        play(150, 1000);
        accept("j", plan(1, 8000), 1000);
        assertStarts("j", 1000);
    }

    /// Guards against pauses after failures that leave no worker.
    void startsAJobAfterFailuresOnAllWorkers()
    {
        addWorkers(3);
        constexpr int failing = 40;
        constexpr int stepMs = 500;
        int now = 0;
        // A worker that may take runs takes one, which fails.
        bool mayRun = true;
        constexpr int most = 200;
        for (int i = 0; i < failing || (mayRun && i < most); ++i) {
            const std::string id = fmt::format("failing{}", i);
            accept(id, plan(1, 30'000), now);
            play(now, now + stepMs);
            now += stepMs;
            const StageTask *task = m_jobTable->find({id, 0, 0, 0});
            mayRun = task->stage == TaskStage::Bound;
            if (mayRun)
                end({id, 0, 0, 0}, task->run, RunEnd::Failed, now);
            cancel(id, now);
        }
        CPPUNIT_ASSERT(!mayRun);
        accept("j", plan(1, 8000), now);
        assertStarts("j", now);
    }

    /// Guards against a job that waits for a worker which is held for a long-running task.
    void startsAJobOnAWorkerThatIsHeld()
    {
        WorkerFacts wide = worker("w1");
        wide.capacity.milliCores = 96'000;
        m_dispatcher->workerReported("n1", wide, at(0));
        for (int i = 2; i <= 3; ++i) {
            WorkerFacts narrow = worker(fmt::format("w{}", i));
            narrow.capacity.milliCores = 16'000;
            m_dispatcher->workerReported(fmt::format("n{}", i), narrow, at(0));
        }
        accept("other", plan(1, 40'000, 60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        accept("lasting", longRunningPlan(1, 60'000));
        accept("j", plan(1, 20'000), 1000);
        assertStarts("j", 1000);
    }

    /// Guards against a job that waits for workers to become warm while the warm one is full.
    void startsAJobOnColdWorkers()
    {
        DispatchSettings settings;
        settings.warmUp.overshoot = 1.5;
        settings.warmUp.slack = 1;
        m_dispatcher = std::make_unique<Dispatcher>(settings, *m_jobTable);
        m_dispatcher->start(at(0));
        addWorkers(1);
        accept("wide", longRunningPlan(1, 64'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        for (int i = 2; i <= 3; ++i) {
            WorkerFacts cold = worker(fmt::format("w{}", i));
            cold.coldLeftMs = 20'000;
            m_dispatcher->workerReported(fmt::format("n{}", i), cold, at(2));
        }
        JobPlan narrow = longRunningPlan(2, 2000);
        narrow.steps[0].maxPerWorker = 1;
        accept("narrow", narrow);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(10));
        accept("j", plan(1, 8000));
        assertStarts("j", 10);
    }

    /// Guards against a pause between the starts of idle jobs that adds up, for jobs whose steps
    /// have ended together.
    void startsManyJobsThatWaitFromOneMoment()
    {
        constexpr int jobs = 12;
        addWorkers(3);
        JobPlan serving = longRunningPlan(3, 8000);
        serving.steps[0].tailTargetMs = 50;
        serving.steps[0].maxPerWorker = 1;
        serving.steps[0].image = "web";
        accept("serving", serving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        play(1, 1000);
        for (int i = 0; i < jobs; ++i) {
            JobPlan filling = plan(1, 8000, 2000);
            filling.steps[0].bestEffort = true;
            filling.steps[0].checkpoints = true;
            filling.steps[0].image = "batch";
            accept(fmt::format("filling{}", i), filling, 1000);
        }
        play(1000, 1000 + longestIdleMs);
        int idle = 0;
        for (int i = 0; i < jobs; ++i)
            idle += runOf(fmt::format("filling{}", i)) == 0 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(0, idle);
    }

private:
    [[nodiscard]] std::uint32_t runOf(const std::string &job) const
    {
        const StageTask *task = m_jobTable->find({job, 0, 0, 0});
        return task == nullptr ? 0 : task->run;
    }

    void cancel(const std::string &job, int milliseconds)
    {
        commit({CancelJob{job}}, milliseconds);
    }

    void assertStarts(const std::string &job, int from)
    {
        const std::uint32_t before = runOf(job);
        play(from, from + longestIdleMs);
        CPPUNIT_ASSERT_MESSAGE(m_idle, runOf(job) > before);
    }

    /// Lets all workers that are there report and the dispatcher decide. No run ends.
    void play(int from, int until)
    {
        constexpr int stepMs = 50;
        for (int now = from + stepMs; now <= until; now += stepMs) {
            for (int i = 1; i <= 4; ++i) {
                const std::string id = fmt::format("w{}", i);
                if (!m_dispatcher->leaseGranted(fmt::format("n{}", i), at(now)))
                    continue;
                m_dispatcher->runsReported({id, 1}, rowsOf({id, 1}), at(now));
            }
            if (const auto idle = m_dispatcher->takeIdleJobs(at(now))) {
                m_idle.clear();
                for (const IdleJob &each : idle->longest)
                    m_idle += each.oldest.text() + " " + textOf(each.state) + "; ";
            }
            decideAndCommit(now);
        }
    }

    [[nodiscard]] std::vector<RunStatus> rowsOf(const Lifetime &lifetime) const
    {
        constexpr double tailMs = 45;
        std::vector<RunStatus> rows;
        for (const auto &[id, job] : m_jobTable->jobs()) {
            for (std::uint32_t t = 0; !job.plan.steps.empty() && t < job.plan.steps[0].tasks; ++t) {
                const TaskRef ref{id, 0, 0, t};
                const StageTask *task = m_jobTable->find(ref);
                if (task != nullptr && task->stage == TaskStage::Bound
                    && task->lifetime == lifetime)
                    rows.push_back(
                        {ref, task->run, {}, 100, job.plan.steps[0].tailTargetMs > 0 ? tailMs : 0});
            }
        }
        return rows;
    }

    std::string m_idle; ///< The jobs of which nothing ran, when last asked for.
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobCausesTest);
