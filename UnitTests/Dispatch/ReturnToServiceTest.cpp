#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// A leader that begins while runs are bound to lifetimes whose answers only earlier leaders have
/// heard of: all machines have lost power, or just the leader has.
class ReturnToServiceTest : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(ReturnToServiceTest);
    CPPUNIT_TEST(placesRunsAgainOnceAnotherWorkerAnswersThere);
    CPPUNIT_TEST(doesSoFromASnapshot);
    CPPUNIT_TEST(waitsForTheLeaseWithoutAnAnswer);
    CPPUNIT_TEST(waitsIfAnotherWorkerAnswersAtAnotherNode);
    CPPUNIT_TEST(waitsIfTheNextLifetimeHasTheSameName);
    CPPUNIT_TEST(waitsIfTheLifetimeNeverAnsweredInASession);
    CPPUNIT_TEST(waitsIfStartsMayHaveReachedOtherLifetimes);
    CPPUNIT_TEST(waitsIfTheRunWasBoundBeforeTheInventory);
    CPPUNIT_TEST(waitsIfTheLifetimeWasStartedByTwoNodes);
    CPPUNIT_TEST(waitsIfTheLifetimeReportsFromAnotherNode);
    CPPUNIT_TEST(waitsIfTheOtherWorkerAnsweredThereBefore);
    CPPUNIT_TEST(waitsIfTheOtherWorkerAnswersAtTwoNodes);
    CPPUNIT_TEST(waitsForStartsThatAreNamedAsOpen);
    CPPUNIT_TEST(waitsIfALeaderOfTheVersionBeforeHasBoundARun);
    CPPUNIT_TEST(settlesNoRunOfAWorkerThatIsBackAsItWas);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        newLeader(0);
    }

    /// Guards against a task that waits for the longest lease although its worker's machine has
    /// begun another one: the proof was in the memory of a leader that lost power.
    void placesRunsAgainOnceAnotherWorkerAnswersThere()
    {
        bindTask();
        newLeader(100);
        answer("n1", {"w9", 2}, 200);
        decideAndCommit(201);
        decideAndCommit(202);
        assertRunsOn("w9");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_dispatcher->settledFromState());
    }

    void doesSoFromASnapshot()
    {
        bindTask();
        auto copy = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        CPPUNIT_ASSERT(copy->load(m_jobTable->save()));
        m_jobTable = std::move(copy);
        newLeader(100);
        answer("n1", {"w9", 2}, 200);
        decideAndCommit(201);
        decideAndCommit(202);
        assertRunsOn("w9");
    }

    /// A report without an answer proves nothing, whatever the state tells.
    void waitsForTheLeaseWithoutAnAnswer()
    {
        bindTask();
        newLeader(100);
        m_dispatcher->workerReported("n1", worker("w9", 2), at(200));
        assertBound();
    }

    void waitsIfAnotherWorkerAnswersAtAnotherNode()
    {
        bindTask();
        newLeader(100);
        answer("n2", {"w9", 2}, 200);
        assertBound();
    }

    /// It may carry out the start that was meant for the lifetime before.
    void waitsIfTheNextLifetimeHasTheSameName()
    {
        bindTask();
        newLeader(100);
        m_dispatcher->lifetimeAnswered("n1", {"w1", 2});
        m_dispatcher->workerReported("n1", worker("w1", 2), at(200));
        assertBound();
        m_dispatcher->inventoryReported({"w1", 2}, listed(), at(150));
        assertBound();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->runsOn({"w1", 2}));
    }

    /// Agents of earlier versions name no answers.
    void waitsIfTheLifetimeNeverAnsweredInASession()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(0));
        acceptAndBind();
        newLeader(100);
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    /// A start on any connection may reach a later lifetime of the name.
    void waitsIfStartsMayHaveReachedOtherLifetimes()
    {
        m_dispatcher->lifetimeAnswered("n1", {"w1", 1});
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        m_dispatcher->startsMayArriveLate({"w1", 1}, {}, true);
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(0));
        acceptAndBind();
        newLeader(100);
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    /// Until then it is not known whether starts may be such.
    void waitsIfTheRunWasBoundBeforeTheInventory()
    {
        m_dispatcher->lifetimeAnswered("n1", {"w1", 1});
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        acceptAndBind();
        newLeader(100);
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    /// A worker that answers at two nodes, or that agents of earlier versions report from two.
    void waitsIfTheLifetimeWasStartedByTwoNodes()
    {
        bindTask();
        newLeader(100);
        m_dispatcher->lifetimeAnswered("n2", {"w1", 1});
        m_dispatcher->workerReported("n2", worker("w1"), at(200));
        m_dispatcher->inventoryReported({"w1", 1}, listed(), at(199));
        commit({AcceptJob{"k", "batch", plan(1, 10'000)}}, 200);
        decideAndCommit(201);
        CPPUNIT_ASSERT(m_jobTable->find({"k", 0, 0, 0})->stage == TaskStage::Bound);
        newLeader(300);
        answer("n1", {"w9", 2}, 400);
        assertBound();
        answer("n2", {"w8", 2}, 500);
        assertBound();
    }

    void waitsIfTheLifetimeReportsFromAnotherNode()
    {
        bindTask();
        newLeader(100);
        m_dispatcher->workerReported("n2", worker("w1"), at(150));
        m_dispatcher->nodeLost("n2");
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    /// Two processes that answer at one address in turn prove nothing about each other.
    void waitsIfTheOtherWorkerAnsweredThereBefore()
    {
        answer("n1", {"w9", 2}, 0);
        commit({AcceptJob{"k", "batch", plan(1, 60'000)}}, 1);
        decideAndCommit(1);
        m_dispatcher->takeOrders();
        // The next leader loses its proposals but one, before the end of the run on w9 is recorded.
        newLeader(50);
        m_dispatcher->lifetimeAnswered("n1", {"w1", 1});
        m_dispatcher->workerReported("n1", worker("w1"), at(60));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(55));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeCommands().size());
        acceptAndBind();
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), task().lifetime.worker);
        newLeader(100);
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    void waitsIfTheOtherWorkerAnswersAtTwoNodes()
    {
        bindTask();
        newLeader(100);
        m_dispatcher->lifetimeAnswered("n2", {"w9", 2});
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    /// Its agent has not restarted, and knows that the next lifetime may carry the start out.
    void waitsForStartsThatAreNamedAsOpen()
    {
        bindTask();
        newLeader(100);
        m_dispatcher->startsOpen({"w1", 1}, std::vector<TaskRun>{{ref, 1}});
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    void waitsIfALeaderOfTheVersionBeforeHasBoundARun()
    {
        bindTask();
        commit({AcceptJob{"k", "batch", plan(1, 10'000)}}, 10);
        CPPUNIT_ASSERT(m_jobTable->apply(0, StartRun{{"k", 0, 0, 0}, 1, {"w1", 1}}).applied);
        newLeader(100);
        answer("n1", {"w9", 2}, 200);
        assertBound();
    }

    void settlesNoRunOfAWorkerThatIsBackAsItWas()
    {
        bindTask();
        newLeader(100);
        m_dispatcher->lifetimeAnswered("n1", {"w1", 1});
        m_dispatcher->workerReported("n1", worker("w1"), at(150));
        m_dispatcher->inventoryReported({"w1", 1}, listed(), at(140));
        answer("n2", {"w9", 2}, 200);
        assertBound();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_dispatcher->settledFromState());
    }

private:
    void newLeader(int milliseconds)
    {
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(milliseconds));
    }

    /// Has the lifetime answer at the node's worker and list no runs.
    void answer(const std::string &node, const Lifetime &lifetime, int milliseconds)
    {
        m_dispatcher->lifetimeAnswered(node, lifetime);
        m_dispatcher->workerReported(node, worker(lifetime.worker, lifetime.startedAt),
                                     at(milliseconds));
        m_dispatcher->inventoryReported(lifetime, {}, at(milliseconds - 1));
    }

    void acceptAndBind()
    {
        commit({AcceptJob{"j", "batch", plan(1, 10'000)}}, 1);
        decideAndCommit(1);
        CPPUNIT_ASSERT(TaskStage::Bound == task().stage);
        m_dispatcher->takeOrders();
    }

    /// Binds run 1 of the task to a lifetime that has answered and listed its runs.
    void bindTask()
    {
        answer("n1", {"w1", 1}, 0);
        acceptAndBind();
    }

    void assertRunsOn(const std::string &name) const
    {
        CPPUNIT_ASSERT_EQUAL(2U, task().run);
        CPPUNIT_ASSERT_EQUAL(name, task().lifetime.worker);
    }

    void assertBound()
    {
        decideAndCommit(1000);
        decideAndCommit(1001);
        CPPUNIT_ASSERT_EQUAL(1U, task().run);
        CPPUNIT_ASSERT(TaskStage::Bound == task().stage);
    }

    [[nodiscard]] static std::vector<RunStatus> listed() { return {{ref, 1, {}, 10, 0}}; }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReturnToServiceTest);
