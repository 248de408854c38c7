#include <UnitTests/Fleet/AgentFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The agent of a worker that says that it shuts down.
class GoodbyeTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(GoodbyeTest);
    CPPUNIT_TEST(endsNoLifetimeThatStillAnswers);
    CPPUNIT_TEST(takesNoteOfEndsAfterTheGoodbye);
    CPPUNIT_TEST(endsTheLifetimeThatRefusesPollsWithItsLease);
    CPPUNIT_TEST(extendsTheLeaseOfADrainingWorkerByHalf);
    CPPUNIT_TEST(endsTheLifetimeWithTheNextOne);
    CPPUNIT_TEST(extendsNoLeaseOfAWorkerThatStopsAnswering);
    CPPUNIT_TEST(startsNothingAfterTheGoodbye);
    CPPUNIT_TEST(startsNothingAfterALateReport);
    CPPUNIT_TEST(startsAgainOnALifetimeThatOutlastsAnEarlierGoodbye);
    CPPUNIT_TEST_SUITE_END();

public:
    GoodbyeTest()
    {
        m_agentSettings.goodbyeValidity = std::chrono::milliseconds(100);
        m_bounds.maxWorkerLease = std::chrono::milliseconds(1500);
    }

    /// Guards against a task that is started elsewhere while its run works: the goodbye of its
    /// worker got no acknowledgement, and the worker went on for some seconds.
    void endsNoLifetimeThatStillAnswers()
    {
        run();
        m_agent->workerStopping("w1");
        answerListing(2);
        CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().empty());
        CPPUNIT_ASSERT(m_leader->all<WorkerCrashed>().empty());
    }

    /// Guards against a task that runs again although its worker listed its end after the goodbye.
    void takesNoteOfEndsAfterTheGoodbye()
    {
        run();
        m_agent->workerStopping("w1");
        WorkerReply reply = replyOf(1000);
        reply.ended.push_back({1, {task, 1, RunEnd::Done, {}}});
        m_worker.answerPolls(reply);
        until([this] { return !m_leader->all<RunsEnded>().empty(); });
        const RunsEnded ended = m_leader->all<RunsEnded>().back();
        CPPUNIT_ASSERT(ended.lifetime == facts.lifetime);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended.ends.size());
        // The worker learns that the end was taken note of.
        m_leader->sendToAll(EndsCommitted{facts.lifetime, 1});
        until([&] {
            m_worker.answerPolls(reply);
            return m_worker.polls().back().request.seenUpTo == 1;
        });
    }

    /// Guards against two runs of a task at the same time: the goodbye of its worker got no
    /// acknowledgement, and the worker went on behind a path that refuses connections. Guards also
    /// against tasks that wait for longer than the lease of a worker that has ended.
    void endsTheLifetimeThatRefusesPollsWithItsLease()
    {
        const Instant begunAt = BootClock::now();
        run();
        m_agent->workerStopping("w1");
        // The last poll that may have extended the lease.
        answerListing(1);
        const Instant extendedAt = BootClock::now();
        m_worker.answerPolls(WorkerReply{});
        WorkerReply refused;
        refused.result = WorkerCallResult::ConnectionRefused;
        until([&] {
            m_worker.answerPolls(refused);
            return !m_leader->all<LifetimeEnded>().empty();
        });
        const Instant endedAt = BootClock::now();
        // An earlier process of the agent may have granted the longest lease.
        CPPUNIT_ASSERT(endedAt - begunAt >= m_bounds.maxWorkerLease - pollMargin);
        CPPUNIT_ASSERT(endedAt - extendedAt <= m_bounds.maxWorkerLease + pollMargin);
        assertLeft();
    }

    /// Guards against tasks that wait for a whole lease although their worker has left as planned.
    void extendsTheLeaseOfADrainingWorkerByHalf()
    {
        run();
        WorkerFacts draining = facts;
        draining.draining = true;
        m_agent->workerReported({draining, 2, {}});
        answerListing(1);
        grant();
        runFor(std::chrono::milliseconds(50));
        answerListing(1);
        const std::int64_t until = m_worker.polls().back().request.untilMs;
        CPPUNIT_ASSERT(until > replyOf(1000).clockMs);
        CPPUNIT_ASSERT(until <= replyOf(1000).clockMs + toMs(leaseLength / 2 + pollMargin));
    }

    /// Another worker at the address shows the same.
    void endsTheLifetimeWithTheNextOne()
    {
        run();
        m_agent->workerStopping("w1");
        report(factsOf(2000));
        assertLeft();
        // The goodbye was that of the earlier lifetime.
        CPPUNIT_ASSERT(!m_leader->workers().back().draining);
    }

    /// Guards against tasks that wait for longer than a lease although their worker is gone.
    void extendsNoLeaseOfAWorkerThatStopsAnswering()
    {
        run();
        m_agent->workerStopping("w1");
        for (int i = 0; i < 2; ++i) {
            const std::size_t before = m_worker.polls().size();
            m_worker.answerPolls(WorkerReply{});
            until([&] { return m_worker.polls().size() > before; });
            CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_worker.polls().back().request.untilMs);
        }
    }

    /// Guards against tasks that are started on a worker that is about to end.
    void startsNothingAfterTheGoodbye()
    {
        run();
        m_agent->workerStopping("w1");
        answerListing(1);
        assertRefuses(2);
        // The leader is told as well.
        CPPUNIT_ASSERT(m_leader->workers().back().draining);
    }

    /// Guards against the same after a report that the goodbye has overtaken.
    void startsNothingAfterALateReport()
    {
        run();
        m_agent->workerStopping("w1");
        m_agent->workerReported({facts, 2, {}});
        answerListing(1);
        assertRefuses(2);
        CPPUNIT_ASSERT(m_leader->workers().back().draining);
    }

    /// Guards against a worker that is left idle for good, because the goodbye of its earlier
    /// lifetime under the same name was read after its first report.
    void startsAgainOnALifetimeThatOutlastsAnEarlierGoodbye()
    {
        run();
        m_agent->workerStopping("w1");
        until([this] { return m_leader->workers().back().draining; });
        std::uint64_t sequence = 1;
        until([&] {
            m_agent->workerReported({facts, ++sequence, {}});
            return !m_leader->workers().back().draining;
        });
        const std::size_t before = m_worker.starts().size();
        m_leader->sendToAll(order(2));
        until([&] { return m_worker.starts().size() > before; });
    }

private:
    /// Has run 1 of the task run in the lifetime.
    void run()
    {
        startOn(facts);
        m_worker.starts().back().answer(replyOf(1000));
        until([this] { return !m_leader->all<Inventory>().empty(); });
    }

    [[nodiscard]] static StartOrder order(std::uint32_t run)
    {
        StartOrder next = orderFor(facts);
        next.traits.run = run;
        return next;
    }

    /// Answers this many polls, listing run 1.
    void answerListing(int polls)
    {
        WorkerReply reply = replyOf(1000);
        reply.running.push_back({task, 1, {}, 10, 0});
        for (int i = 0; i < polls; ++i) {
            const std::size_t before = m_worker.polls().size();
            m_worker.answerPolls(reply);
            until([&] {
                return m_worker.polls().size() > before || !m_leader->all<LifetimeEnded>().empty();
            });
        }
        // The leader has received all that was sent before this request.
        const std::size_t asked = m_leader->all<RenewLease>().size();
        until([&] { return m_leader->all<RenewLease>().size() > asked; });
    }

    void assertRefuses(std::uint32_t run)
    {
        const std::size_t before = m_worker.starts().size();
        m_leader->sendToAll(order(run));
        until([&] {
            return !m_leader->all<StartRefused>().empty() || m_worker.starts().size() > before;
        });
        CPPUNIT_ASSERT_EQUAL(before, m_worker.starts().size());
        CPPUNIT_ASSERT_EQUAL(run, m_leader->all<StartRefused>().back().run);
    }

    /// Checks that the leader is told that the lifetime has ended as planned.
    void assertLeft()
    {
        until([this] { return !m_leader->all<LifetimeEnded>().empty(); });
        CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().back().lifetime == facts.lifetime);
        CPPUNIT_ASSERT(!m_leader->all<LifetimeEnded>().back().unreachable);
        CPPUNIT_ASSERT(m_leader->all<WorkerCrashed>().empty());
    }

    static inline const WorkerFacts facts = factsOf(1000);
    static constexpr Duration leaseLength = std::chrono::milliseconds(1000); ///< Of FakeLeader.
    /// Between the end of a lease and the poll that finds it.
    static constexpr Duration pollMargin = std::chrono::milliseconds(300);
};

CPPUNIT_TEST_SUITE_REGISTRATION(GoodbyeTest);
