#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// An agent that restarts, and that its leader loses again before it knows of all starts.
class RestartedAgentTest : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(RestartedAgentTest);
    CPPUNIT_TEST(settlesRunThatItsWorkerDoesNotList);
    CPPUNIT_TEST(keepsAStartOrderedAfterTheAgentTurned);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
        beginSession(0);
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(0));
    }

    /// Guards against a job of which nothing runs for 21 s after the end of a lease.
    void settlesRunThatItsWorkerDoesNotList()
    {
        commit({AcceptJob{"j", "batch", plan(1, 10'000)}}, 0);
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(1), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        // It is sent on connections of this lifetime only.
        CPPUNIT_ASSERT(std::get<StartRun>(commands.front()).path.hasAnswered);
        commit(commands, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        m_dispatcher->nodeLost("n1");
        beginSession(1000);
        m_dispatcher->startsMayArriveLate({"w1", 1}, {}, false);
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(999));
        // Both the agent and the worker are gone now. Another worker has room.
        m_dispatcher->nodeLost("n1");
        m_dispatcher->workerReported("n2", worker("w2"), at(1500));
        m_dispatcher->inventoryReported({"w2", 1}, {}, at(1500));
        for (int now = 2000; now <= 9000; now += 500) {
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n2", at(now)));
            decideAndCommit(now);
        }
        // The inventory was read with a fencing token above that of the start.
        CPPUNIT_ASSERT_EQUAL(2U, task().run);
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), task().lifetime.worker);
    }

    /// Guards against a start that is sent on any connection and given up with the lease.
    void keepsAStartOrderedAfterTheAgentTurned()
    {
        commit({AcceptJob{"j", "batch", plan(1, 10'000)}}, 0);
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(1), 1);
        CPPUNIT_ASSERT(std::get<StartRun>(commands.front()).path.hasAnswered);
        m_dispatcher->startsMayArriveLate({"w1", 1}, {}, true);
        commit(commands, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        m_dispatcher->nodeLost("n1");
        m_dispatcher->workerReported("n2", worker("w2"), at(100));
        m_dispatcher->inventoryReported({"w2", 1}, {}, at(100));
        for (int now = 500; now <= 9000; now += 500) {
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n2", at(now)));
            decideAndCommit(now);
        }
        CPPUNIT_ASSERT_EQUAL(1U, task().run);
    }

private:
    void beginSession(int milliseconds)
    {
        m_dispatcher->lifetimeAnswered("n1", {"w1", 1});
        m_dispatcher->workerReported("n1", worker("w1"), at(milliseconds));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RestartedAgentTest);
