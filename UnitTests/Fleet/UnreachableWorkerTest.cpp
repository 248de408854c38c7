#include <UnitTests/Fleet/AgentFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The agent of a worker that does not answer until its lease has run out.
class UnreachableWorkerTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(UnreachableWorkerTest);
    CPPUNIT_TEST(startsNoRunThatTheLeaderMaySettleAsUnreachable);
    CPPUNIT_TEST_SUITE_END();

public:
    UnreachableWorkerTest() { m_bounds.maxWorkerLease = std::chrono::milliseconds(300); }

    /// Guards against a task that is started elsewhere while its run works: the order to start it
    /// was on its way when the agent reported the worker as unreachable, and the worker answered
    /// before the order arrived.
    void startsNoRunThatTheLeaderMaySettleAsUnreachable()
    {
        becomeUnreachable();
        answerAgain();
        m_leader->sendToAll(orderFor(facts));
        until([this] {
            return !m_leader->all<StartRefused>().empty() || !m_worker.starts().empty();
        });
        CPPUNIT_ASSERT(m_worker.starts().empty());
        // The leader has handled the report once it answers the inventory that followed.
        for (std::size_t i = 0; i < m_leader->all<Inventory>().size(); ++i)
            m_leader->sendToAll(KnownRuns{});
        StartOrder next = orderFor(facts);
        next.traits.run = 2;
        m_leader->sendToAll(next);
        until([this] { return !m_worker.starts().empty(); });
        CPPUNIT_ASSERT_EQUAL(2U, m_worker.starts().back().request.order.traits.run);
    }

private:
    /// Has a worker answer once, and then no more until it is reported as unreachable.
    void becomeUnreachable()
    {
        report(facts);
        m_worker.answerPolls(replyOf(facts.lifetime.startedAt));
        until([this] {
            m_worker.answerPolls(WorkerReply{});
            return !m_leader->all<LifetimeEnded>().empty();
        });
        CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().back().unreachable);
    }

    /// Has the worker answer its polls, with a new lease.
    void answerAgain()
    {
        const std::size_t before = m_leader->all<Inventory>().size();
        until([&] {
            m_worker.answerPolls(replyOf(facts.lifetime.startedAt));
            return m_leader->all<Inventory>().size() > before;
        });
        const std::size_t asked = m_leader->all<RenewLease>().size();
        until([&] { return m_leader->all<RenewLease>().size() > asked; });
        m_leader->grantAll();
        runFor(std::chrono::milliseconds(20));
    }

    static inline const WorkerFacts facts = factsOf(1000);
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnreachableWorkerTest);
