#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The leader while a report suggests that a lifetime has ended, and nothing proves it.
class UnprovenEndTest : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(UnprovenEndTest);
    CPPUNIT_TEST(reportOfAnotherWorkerSettlesNothing);
    CPPUNIT_TEST(answerOfAnotherWorkerSettlesAtOnce);
    CPPUNIT_TEST(endWithoutProofSettlesNothing);
    CPPUNIT_TEST(keepsAWorkerAtItsNodeWhenAnotherOneReportsIt);
    CPPUNIT_TEST(settlesNoRunsOfAWorkerThatNeverAnsweredAtTheNode);
    CPPUNIT_TEST(settlesRunsOfALifetimeBornLaterByAClockThatWasSetBack);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
        m_dispatcher->lifetimeAnswered("n1", {"w1", 1});
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(0));
        m_dispatcher->lifetimeAnswered("n2", {"w2", 1});
        m_dispatcher->workerReported("n2", worker("w2"), at(0));
        m_dispatcher->inventoryReported({"w2", 1}, {}, at(0));
        commit({AcceptJob{"j", "batch", plan(1, 10'000)}}, 0);
        decideAndCommit(1);
        CPPUNIT_ASSERT(TaskStage::Bound == task().stage);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
    }

    /// Guards against runs that are started elsewhere while they work: a report of another worker
    /// from their worker's node was taken for the end of their lifetime.
    void reportOfAnotherWorkerSettlesNothing()
    {
        const std::string bound = task().lifetime.worker;
        m_dispatcher->workerReported(bound == "w1" ? "n1" : "n2", worker("w9", 2), at(10));
        assertBoundForTheLease(bound == "w1" ? "n2" : "n1");
    }

    /// The address of a worker belongs to one lifetime at a time.
    void answerOfAnotherWorkerSettlesAtOnce()
    {
        const std::string node = task().lifetime.worker == "w1" ? "n1" : "n2";
        m_dispatcher->lifetimeAnswered(node, {"w9", 2});
        m_dispatcher->workerReported(node, worker("w9", 2), at(10));
        decideAndCommit(11);
        decideAndCommit(12);
        CPPUNIT_ASSERT_EQUAL(2U, task().run);
    }

    /// Guards against the same by agents of earlier versions, whose reports of an end may rest on a
    /// report of another worker.
    void endWithoutProofSettlesNothing()
    {
        const Lifetime lifetime = task().lifetime;
        m_dispatcher->lifetimeDoubted(lifetime);
        assertBoundForTheLease(lifetime.worker == "w1" ? "n2" : "n1");
    }

    /// Guards against a worker that gets no lease any more, because it reported to the agent of
    /// another node, of an earlier version, while its own was late.
    void keepsAWorkerAtItsNodeWhenAnotherOneReportsIt()
    {
        m_dispatcher->workerReported("n2", worker("w1"), at(10));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(100)));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n2", at(100)));
    }

    /// Guards against runs that are started elsewhere while they work: such an agent had reported
    /// their worker, while the session of its own was closed, and then its own worker answered.
    void settlesNoRunsOfAWorkerThatNeverAnsweredAtTheNode()
    {
        const Lifetime bound = task().lifetime;
        const std::string home = bound.worker == "w1" ? "n1" : "n2";
        const std::string away = bound.worker == "w1" ? "n2" : "n1";
        const std::string neighbour = bound.worker == "w1" ? "w2" : "w1";
        m_dispatcher->nodeLost(home);
        m_dispatcher->workerReported(away, worker(bound.worker), at(10));
        m_dispatcher->nodeLost(away);
        m_dispatcher->lifetimeAnswered(away, {neighbour, 1});
        m_dispatcher->workerReported(away, worker(neighbour), at(20));
        m_dispatcher->inventoryReported({neighbour, 1}, {}, at(15));
        decideAndCommit(21);
        decideAndCommit(22);
        CPPUNIT_ASSERT_EQUAL(1U, task().run);
        // Its own agent has a session again.
        m_dispatcher->lifetimeAnswered(home, bound);
        m_dispatcher->workerReported(home, worker(bound.worker), at(30));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted(home, at(31)));
    }

    /// Guards against runs that stay bound for a whole lease, or run twice, because the clock was
    /// set back between two lifetimes of their worker.
    void settlesRunsOfALifetimeBornLaterByAClockThatWasSetBack()
    {
        const std::string name = task().lifetime.worker;
        const std::string node = name == "w1" ? "n1" : "n2";
        m_dispatcher->lifetimeAnswered(node, {name, 1});
        m_dispatcher->workerReported(node, worker(name), at(5));
        m_dispatcher->lifetimeAnswered(node, {name, 0});
        m_dispatcher->workerReported(node, worker(name, 0), at(10));
        decideAndCommit(11);
        CPPUNIT_ASSERT_EQUAL(1U, task().run);
        const std::vector<RunStatus> listed{{{"j", 0, 0, 0}, 1, {}, 10, 0}};
        m_dispatcher->inventoryReported({name, 0}, listed, at(5));
        decideAndCommit(12);
        // The later lifetime carries out the start for the earlier one.
        CPPUNIT_ASSERT_EQUAL(1U, task().run);
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->traitsOf({name, 0}).size());
    }

private:
    /// Asserts that the run stays bound until its worker's lease is over, and is bound anew then.
    /// The worker on `other` goes on.
    void assertBoundForTheLease(const std::string &other)
    {
        const auto lease = static_cast<int>(toMs(DispatchSettings{}.workerLease));
        for (int now = 100; now <= lease + 2000; now += 100) {
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted(other, at(now)));
            decideAndCommit(now);
            CPPUNIT_ASSERT(now > lease || task().run == 1);
        }
        CPPUNIT_ASSERT_EQUAL(2U, task().run);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnprovenEndTest);
