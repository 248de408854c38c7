#include "DispatcherFixture.h"

using namespace guavashift;

/// Tests of tasks under which workers have crashed.
class SuspectedTaskTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(SuspectedTaskTest);
    CPPUNIT_TEST(suspectsOnlyRunsThatHadJustStarted);
    CPPUNIT_TEST(suspectsAllRunsThatHadJustStarted);
    CPPUNIT_TEST(suspectsNoTaskOfAWorkerThatIsLost);
    CPPUNIT_TEST(forgetsCrashesOnceARunHasSurvived);
    CPPUNIT_TEST(placesOneSuspectOnAWorkerAtATime);
    CPPUNIT_TEST(triesOneTaskOfASuspectedStepFirst);
    CPPUNIT_TEST(nextLeaderKeepsCrashes);
    CPPUNIT_TEST(givesUpAGangThatCrashesWorkers);
    CPPUNIT_TEST(manySuspectsStartWithinSeconds);
    CPPUNIT_TEST(restartsSuspectedLongRunningTasksWithinSeconds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A long-running task whose run fails gets the capacity that this run had, before any of the
    /// short tasks that keep coming.
    /// Guards against tasks that lose attempts because another one crashed their worker.
    void suspectsOnlyRunsThatHadJustStarted()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 1000));
        accept("short", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        report("w1", 1, 1100);
        accept("deadly", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1200));
        crash("n1", "w1", 1, {"deadly"}, 1300);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("deadly"));
        CPPUNIT_ASSERT_EQUAL(0U, crashesOf("lasting"));
        CPPUNIT_ASSERT_EQUAL(0U, crashesOf("short"));
        // The suspected one, and the others after a pause.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1750));
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find({"short", 0, 0, 0})->failures);
    }

    /// Guards against a task that is started for ever, because each time others that a worker
    /// crashed under before are suspected instead.
    void suspectsAllRunsThatHadJustStarted()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("innocent", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        crash("n1", "w1", 1, {"innocent"}, 100);
        accept("deadly", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(200));
        crash("n1", "w1", 2, {"deadly"}, 700);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("innocent"));
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("deadly"));
        accept("new", plan(1, 1000));
        decideAndCommit(800);
        decideAndCommit(1200);
        crash("n1", "w1", 3, {"deadly", "new"}, 1300);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("new"));
        CPPUNIT_ASSERT(m_jobTable->find("new")->isActive());
    }

    /// Guards against tasks that are given up because a rack lost power twice, or because workers
    /// were cut off or left.
    void suspectsNoTaskOfAWorkerThatIsLost()
    {
        accept("lasting", longRunningPlan(1, 1000));
        accept("short", plan(1, 1000));
        for (int born = 1; born < 10; ++born) {
            const int now = born * 10'000;
            m_dispatcher->workerReported("n1", worker("w1", born), at(now));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(now + 1));
            const Lifetime lifetime{"w1", born};
            if (born % 4 == 0)
                m_dispatcher->nodeLost("n1");
            else if (born % 4 == 1)
                m_dispatcher->lifetimeEnded(lifetime, LifetimeEnd::Unreachable,
                                            LifetimeProof::LeaseRanOut, {});
            else if (born % 4 == 2)
                m_dispatcher->lifetimeEnded(lifetime, LifetimeEnd::Left,
                                            LifetimeProof::AnsweredByAnother, {});
            decideAndCommit(now + 9000);
            CPPUNIT_ASSERT_EQUAL(0U, crashesOf("lasting") + crashesOf("short"));
        }
        CPPUNIT_ASSERT(m_jobTable->find("lasting")->isActive());
        CPPUNIT_ASSERT(m_jobTable->find("short")->isActive());
    }

    /// Guards against long-running tasks that are given up after two crashes far apart.
    void forgetsCrashesOnceARunHasSurvived()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 1000));
        for (int born = 1; born < 6; ++born) {
            const int now = born * 10'000;
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(now)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(now));
            if (born % 2 == 0)
                report("w1", born, now + 1500);
            crash("n1", "w1", born, {born % 2 == 0 ? "none" : "lasting"}, now + 1600);
            CPPUNIT_ASSERT_EQUAL(born % 2 == 0 ? 0U : 1U, crashesOf("lasting"));
        }
        CPPUNIT_ASSERT(m_jobTable->find("lasting")->isActive());
    }

    /// Guards against tasks that are given up because they ran beside one that crashes workers
    /// twice.
    void placesOneSuspectOnAWorkerAtATime()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("a", plan(1, 1000));
        accept("b", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        crash("n1", "w1", 1, {"a", "b"}, 100);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("a"));
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("b"));
        accept("new", plan(1, 1000));
        // One of the suspects, and the new task after a pause.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(200));
        CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({"a", 0, 0, 0})->run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(510));
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"new", 0, 0, 0})->stage);
        report("w1", 2, 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(1100));
        report("w1", 2, 1300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1400));
    }

    /// Guards against a job that crashes all workers, each by another of its tasks.
    void triesOneTaskOfASuspectedStepFirst()
    {
        addWorkers(4);
        accept("j", plan(4, 40'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decideAndCommit(1));
        // Two crash at the same time. The others have not survived yet.
        const std::string first = m_jobTable->find({"j", 0, 0, 0})->lifetime.worker;
        const std::string second = m_jobTable->find({"j", 0, 0, 1})->lifetime.worker;
        crashTask(first, {"j", 0, 0, 0}, 100);
        crashTask(second, {"j", 0, 0, 1}, 110);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(300));
        // Two others have survived: not all tasks of the step crash workers.
        for (const std::uint32_t t : {2U, 3U}) {
            const RunStatus row{{"j", 0, 0, t}, 1, {}, 50, 0};
            m_dispatcher->runsReported(m_jobTable->find(row.task)->lifetime, {&row, 1}, at(1200));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1300));
    }

    /// Guards against a count of crashes that ends with a leadership or a restart.
    void nextLeaderKeepsCrashes()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("deadly", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        crash("n1", "w1", 1, {"deadly"}, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(200));
        const std::string saved = m_jobTable->save();
        CPPUNIT_ASSERT(m_jobTable->load(saved));
        m_dispatcher->start(at(300));
        m_dispatcher->lifetimeEnded({"w1", 2}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother,
                                    std::vector<TaskRun>{{{"deadly", 0, 0, 0}, 2}});
        decideAndCommit(400);
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("deadly")->status);
    }

    /// Guards against a gang that is started for ever because its members are suspected by turns,
    /// or given up after one crash because it has several members.
    void givesUpAGangThatCrashesWorkers()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan gang = plan(3, 1000);
        gang.steps[0].gang = true;
        accept("j", gang);
        const std::vector<TaskRun> first{
            {{"j", 0, 0, 0}, 1}, {{"j", 0, 0, 1}, 1}, {{"j", 0, 0, 2}, 1}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        m_dispatcher->lifetimeEnded({"w1", 1}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother, first);
        decideAndCommit(100);
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
        m_dispatcher->workerReported("n1", worker("w1", 2), at(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(300));
        const std::vector<TaskRun> second{{{"j", 0, 0, 1}, 2}};
        m_dispatcher->lifetimeEnded({"w1", 2}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother, second);
        decideAndCommit(400);
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("j")->status);
    }

    /// Guards against tasks that wait for long because one beside them crashed their worker.
    void manySuspectsStartWithinSeconds() { assertSuspectsRestart(plan(1, 1000)); }

    /// Guards against the same for long-running tasks, which must run again within three seconds.
    void restartsSuspectedLongRunningTasksWithinSeconds()
    {
        assertSuspectsRestart(longRunningPlan(1, 1000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SuspectedTaskTest);
