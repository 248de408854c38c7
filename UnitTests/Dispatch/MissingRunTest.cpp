#include "DispatchFixture.h"

#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Runs that a worker has listed as running, and then lists neither as running nor as ended.
class MissingRunTest : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(MissingRunTest);
    CPPUNIT_TEST(inventoryWithoutAListedRunRestartsNothing);
    CPPUNIT_TEST(refusalOfAListedRunRestartsNothing);
    CPPUNIT_TEST(lateEndOfAMissingRunCounts);
    CPPUNIT_TEST(endOfItsLifetimeRestartsAMissingRun);
    CPPUNIT_TEST(restartsLongRunningTaskAtOnce);
    CPPUNIT_TEST(releasesRunOfACancelledJob);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(0));
    }

    /// Guards against a second run of a task that is done: its end stayed hidden, and the inventory
    /// of its agent's next session was taken for proof that it had never started.
    void inventoryWithoutAListedRunRestartsNothing()
    {
        bindListedTask(plan(1, 10'000));
        test::LogCapture log;
        reportEmptyInventory(1000);
        reportEmptyInventory(1500);
        decideAndCommit(1501);
        decideAndCommit(1502);
        CPPUNIT_ASSERT_EQUAL(1U, task().run);
        CPPUNIT_ASSERT(TaskStage::Bound == task().stage);
        const std::string lines = log.text();
        const std::size_t first = lines.find("event=run-missing");
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT(lines.find("event=run-missing", first + 1) == std::string::npos);
    }

    /// Guards against the same when its worker drains: it finds no run to stop.
    void refusalOfAListedRunRestartsNothing()
    {
        bindListedTask(plan(1, 10'000));
        m_dispatcher->startRefused({"w1", 1}, ref, 1, at(1000));
        decideAndCommit(1001);
        decideAndCommit(1002);
        CPPUNIT_ASSERT_EQUAL(1U, task().run);
        CPPUNIT_ASSERT(TaskStage::Bound == task().stage);
    }

    void lateEndOfAMissingRunCounts()
    {
        bindListedTask(plan(1, 10'000));
        reportEmptyInventory(1000);
        m_dispatcher->endReported({ref, 1, RunEnd::Done, {}});
        decideAndCommit(1001);
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
    }

    /// Guards against a job that never ends.
    void endOfItsLifetimeRestartsAMissingRun()
    {
        bindListedTask(plan(1, 10'000));
        reportEmptyInventory(1000);
        m_dispatcher->workerReported("n2", worker("w2"), at(1001));
        m_dispatcher->lifetimeEnded({"w1", 1}, LifetimeEnd::Left, LifetimeProof::AnsweredByAnother,
                                    {});
        decideAndCommit(1002);
        decideAndCommit(1003);
        CPPUNIT_ASSERT_EQUAL(2U, task().run);
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), task().lifetime.worker);
    }

    /// Guards against a task without an end that waits for its run: it cannot be done.
    void restartsLongRunningTaskAtOnce()
    {
        JobPlan lasting = plan(1, 10'000);
        lasting.steps[0].longRunning = true;
        bindListedTask(lasting);
        reportEmptyInventory(1000);
        decideAndCommit(1001);
        decideAndCommit(1002);
        CPPUNIT_ASSERT_EQUAL(2U, task().run);
    }

    /// Guards against room that stays reserved for a run that is gone and is not started again.
    void releasesRunOfACancelledJob()
    {
        bindListedTask(plan(1, 60'000));
        commit({CancelJob{"j"}}, 900);
        reportEmptyInventory(1000);
        decideAndCommit(1001);
        commit({AcceptJob{"next", "batch", plan(1, 60'000)}}, 1002);
        decideAndCommit(1003);
        CPPUNIT_ASSERT_EQUAL(1U, m_jobTable->find(TaskRef{"next", 0, 0, 0})->run);
    }

private:
    /// Binds run 1 of the task, which its worker lists as running.
    void bindListedTask(const JobPlan &plan)
    {
        commit({AcceptJob{"j", "batch", plan}}, 0);
        decideAndCommit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        m_dispatcher->runsReported({"w1", 1}, std::vector<RunStatus>{{ref, 1, {}, 10, 0}}, at(500));
    }

    /// Has the agent open another session, in which the worker lists nothing.
    void reportEmptyInventory(int milliseconds)
    {
        m_dispatcher->nodeLost("n1");
        m_dispatcher->workerReported("n1", worker("w1"), at(milliseconds));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(milliseconds - 1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MissingRunTest);
