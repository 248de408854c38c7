#include <UnitTests/Fleet/AgentFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Which calls of an agent reach which lifetime of its worker.
class LifetimeConnectionsTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(LifetimeConnectionsTest);
    CPPUNIT_TEST(acknowledgesEndsToTheLifetimeThatListedThemOnly);
    CPPUNIT_TEST(extendsNoLeaseOnAConnectionThatMayBeAnothersLifetime);
    CPPUNIT_TEST(keepsToKnownConnectionsWhileTheWorkerIsSilent);
    CPPUNIT_TEST(keepsToKnownConnectionsWhileStartsHoldThem);
    CPPUNIT_TEST(startsRunsOnConnectionsOfTheLifetimeOnly);
    CPPUNIT_TEST(sendsAKeptStartWhileAPollHoldsTheKnownConnection);
    CPPUNIT_TEST(opensConnectionsBeforeTheFirstStart);
    CPPUNIT_TEST(sendsNoStartOfAnEarlierSession);
    CPPUNIT_TEST(sendsNoStartToTheNextLifetime);
    CPPUNIT_TEST(keepsAStartWhileOneProbeIsAnswered);
    CPPUNIT_TEST(startsNothingOnAWorkerThatStopsAnswering);
    CPPUNIT_TEST(startsRunsOnAWorkerThatClosesItsConnections);
    CPPUNIT_TEST(keepsAnUnansweredStartThatTheNextLifetimeMayCarryOut);
    CPPUNIT_TEST(settlesRunsOfAnEarlierProcessOnceConnectionsStayOpen);
    CPPUNIT_TEST(extendsTheLeaseOfAWorkerThatClosesItsConnections);
    CPPUNIT_TEST_SUITE_END();

public:
    LifetimeConnectionsTest() { m_agentSettings.retryPause = std::chrono::milliseconds(1); }

    /// Guards against a next lifetime that forgets ends before they are listed, because it carried
    /// out a poll that acknowledged ends of the lifetime before.
    void acknowledgesEndsToTheLifetimeThatListedThemOnly()
    {
        acknowledgeAnEnd();
        CPPUNIT_ASSERT(connection(1000) == m_worker.polls().back().request.connections);
        // The path is silent for a while; the connection is closed.
        for (const WorkerCallResult result :
             {WorkerCallResult::NoAnswer, WorkerCallResult::NotSent}) {
            const std::size_t before = m_worker.polls().size();
            m_worker.polls().back().answer(failed(result));
            until([&] { return m_worker.polls().size() > before; });
        }
        CPPUNIT_ASSERT(!m_worker.polls().back().request.connections);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_worker.polls().back().request.seenUpTo);
        // The same lifetime answers on the new connection: it gets the acknowledgement again.
        WorkerReply reply = replyOf(1000);
        reply.connection = 1001;
        m_worker.answerPolls(reply);
        until([this] { return m_worker.polls().back().request.seenUpTo == 1; });
        const std::vector<WorkerConnection> both{1000, 1001};
        CPPUNIT_ASSERT(both == m_worker.polls().back().request.connections);
    }

    /// Guards against a next lifetime that holds a lease which its leader has not granted to it.
    void extendsNoLeaseOnAConnectionThatMayBeAnothersLifetime()
    {
        report(factsOf(1000));
        m_worker.answerPolls(replyOf(1000));
        grant();
        until([this] {
            if (m_worker.polls().back().callback && m_worker.polls().back().request.untilMs > 0)
                return true;
            m_worker.answerPolls(replyOf(1000));
            return false;
        });
        CPPUNIT_ASSERT(connection(1000) == m_worker.polls().back().request.connections);
        const std::size_t before = m_worker.polls().size();
        m_worker.polls().back().answer(failed(WorkerCallResult::NotSent));
        until([&] { return m_worker.polls().size() > before; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_worker.polls().back().request.untilMs);
    }

    /// Guards against acknowledgements that reach the next lifetime after its worker was silent for
    /// some seconds.
    void keepsToKnownConnectionsWhileTheWorkerIsSilent()
    {
        constexpr int rounds = 20;
        acknowledgeAnEnd();
        for (int i = 0; i < rounds; ++i) {
            for (const WorkerCallResult result :
                 {WorkerCallResult::NotSent, WorkerCallResult::NoAnswer}) {
                until([this] { return static_cast<bool>(m_worker.polls().back().callback); });
                m_worker.polls().back().answer(failed(result));
            }
        }
        until([this] { return static_cast<bool>(m_worker.polls().back().callback); });
        CPPUNIT_ASSERT(connection(1000) == m_worker.polls().back().request.connections);
    }

    /// Guards against acknowledgements that reach the next lifetime after a burst of starts.
    void keepsToKnownConnectionsWhileStartsHoldThem()
    {
        constexpr int rounds = 40; // Each new connection takes two.
        startOn(factsOf(1000));
        for (int i = 0; i < rounds; ++i) {
            until([this] { return static_cast<bool>(m_worker.polls().back().callback); });
            WorkerReply reply = failed(WorkerCallResult::NotSent);
            if (!m_worker.polls().back().request.connections) {
                CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_worker.polls().back().request.untilMs);
                reply = replyOf(1000);
                reply.connection = 2000U + static_cast<WorkerConnection>(i);
            }
            m_worker.polls().back().answer(reply);
        }
    }

    /// Guards against a start that the next lifetime carries out although its run was settled.
    void startsRunsOnConnectionsOfTheLifetimeOnly()
    {
        startUnsent();
        CPPUNIT_ASSERT(connection(1000) == m_worker.starts().back().request.connections);
        answerProbe(1001);
        const std::vector<WorkerConnection> both{1000, 1001};
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_worker.starts().size());
        CPPUNIT_ASSERT(both == m_worker.starts().back().request.connections);
        runFor(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(m_leader->all<StartRefused>().empty());
    }

    /// Guards against a start that waits until a run ends, while a poll holds the only connection.
    void sendsAKeptStartWhileAPollHoldsTheKnownConnection()
    {
        startUnsent();
        until([this] { return static_cast<bool>(m_worker.polls().back().callback); });
        const std::size_t polls = m_worker.polls().size();
        answerProbe(1001);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_worker.starts().size());
        CPPUNIT_ASSERT_EQUAL(polls, m_worker.polls().size());
        CPPUNIT_ASSERT(m_worker.polls().back().callback);
    }

    /// Guards against a first start that waits for a connection.
    void opensConnectionsBeforeTheFirstStart()
    {
        report(factsOf(1000));
        m_worker.polls().back().answer(replyOf(1000));
        // The first probe has verified the report.
        CPPUNIT_ASSERT_EQUAL(1 + m_agentSettings.spareConnections, m_worker.probes().size());
    }

    /// Guards against two runs of a task at once: the next leader had settled a run whose start was
    /// not sent yet.
    void sendsNoStartOfAnEarlierSession()
    {
        startUnsent();
        const std::size_t sessions = m_leader->all<OpenSession>().size();
        m_leader->disconnect();
        until([&] { return m_leader->all<OpenSession>().size() > sessions; });
        const std::size_t inventories = m_leader->all<Inventory>().size();
        until([&] {
            m_worker.answerPolls(replyOf(1000));
            return m_leader->all<Inventory>().size() > inventories;
        });
        answerProbe(1001);
        runFor(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_worker.starts().size());
    }

    /// Guards against a kept start that the next lifetime, which answers a probe, carries out.
    void sendsNoStartToTheNextLifetime()
    {
        startUnsent();
        WorkerReply reply = replyOf(2000);
        m_worker.probes().back().answer(reply);
        until([this] { return !m_leader->all<LifetimeEnded>().empty(); });
        runFor(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_worker.starts().size());
        CPPUNIT_ASSERT(m_leader->all<OpenStarts>().empty());
    }

    /// Guards against a start that is refused because one connection broke.
    void keepsAStartWhileOneProbeIsAnswered()
    {
        startUnsent();
        const std::size_t first = m_worker.probes().size() - m_agentSettings.spareConnections;
        for (std::size_t i = first; i + 1 < m_worker.probes().size(); ++i)
            m_worker.probes()[i].answer(failed(WorkerCallResult::NoAnswer));
        m_worker.polls().back().answer(failed(WorkerCallResult::NoAnswer));
        answerProbe(1001);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_worker.starts().size());
        runFor(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(m_leader->all<StartRefused>().empty());
    }

    /// Guards against a task that stays bound to a silent worker though its start was not sent.
    void startsNothingOnAWorkerThatStopsAnswering()
    {
        startUnsent();
        answerProbes(failed(WorkerCallResult::NoAnswer));
        until([this] { return !m_leader->all<StartRefused>().empty(); });
        m_worker.answerPolls(replyOf(1000));
        answerProbes(replyOf(1000));
        runFor(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_worker.starts().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<StartRefused>().size());
    }

    /// Guards against tasks that never start on a worker that closes its connections.
    void startsRunsOnAWorkerThatClosesItsConnections()
    {
        startOnAnyConnection();
        CPPUNIT_ASSERT(m_leader->all<StartRefused>().empty());
    }

    /// Guards against two runs of a task at once: a start that its lifetime had disproved was
    /// carried out by the next one.
    void keepsAnUnansweredStartThatTheNextLifetimeMayCarryOut()
    {
        startOnAnyConnection();
        m_worker.starts().back().answer(failed(WorkerCallResult::NoAnswer));
        const auto answerFor = [this](Duration time) {
            const Instant end = BootClock::now() + time;
            until([&] {
                for (std::size_t i = 0; i < m_worker.polls().size(); ++i)
                    m_worker.polls()[i].answer(replyOnNewConnection());
                return BootClock::now() > end;
            });
        };
        answerFor(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(m_leader->all<StartRefused>().empty());
        // The leader of the next session learns of it before the inventory.
        const std::size_t sessions = m_leader->all<OpenSession>().size();
        const std::size_t inventories = m_leader->all<Inventory>().size();
        m_leader->disconnect();
        until([&] { return m_leader->all<OpenSession>().size() > sessions; });
        until([&] {
            answerFor(std::chrono::milliseconds(1));
            return m_leader->all<Inventory>().size() > inventories;
        });
        CPPUNIT_ASSERT(!m_leader->all<LateStarts>().empty());
        const LateStarts late = m_leader->all<LateStarts>().back();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.runs.size());
        CPPUNIT_ASSERT(late.runs[0].task == task && late.runs[0].run == 1);
        // So does that of its end.
        until([this] {
            m_worker.polls().back().answer(replyOf(2000));
            return !m_leader->all<LifetimeEnded>().empty();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<OpenStarts>().size());
        CPPUNIT_ASSERT(m_leader->all<StartRefused>().empty());
    }

    /// Guards against tasks that wait for starts of an earlier process of the agent where starts
    /// belong to one lifetime.
    void settlesRunsOfAnEarlierProcessOnceConnectionsStayOpen()
    {
        report(factsOf(1000));
        until([this] {
            m_worker.answerPolls(replyOf(1000));
            return m_leader->all<Inventory>().size() == 2;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<LateStarts>().size());
        CPPUNIT_ASSERT(!m_leader->all<LateStarts>().back().namesAll);
        runFor(std::chrono::milliseconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_leader->all<Inventory>().size());
    }

    /// Guards against runs that lapse on a worker that answers each call and closes the connection.
    void extendsTheLeaseOfAWorkerThatClosesItsConnections()
    {
        report(factsOf(1000));
        grant();
        WorkerConnection next = 1;
        until([&] {
            for (std::size_t i = 0; i < m_worker.polls().size(); ++i) {
                WorkerReply reply = replyOf(1000);
                if (m_worker.polls()[i].request.connections)
                    reply = failed(WorkerCallResult::NotSent);
                reply.connection = next++;
                m_worker.polls()[i].answer(reply);
            }
            return m_worker.polls().back().request.untilMs > 0
                && !m_worker.polls().back().request.connections;
        });
    }

private:
    static WorkerReply failed(WorkerCallResult result)
    {
        WorkerReply reply;
        reply.result = result;
        return reply;
    }

    static WorkerConnections connection(WorkerConnection number)
    {
        return std::vector<WorkerConnection>{number};
    }

    WorkerReply replyOnNewConnection()
    {
        WorkerReply reply = replyOf(1000);
        reply.connection = ++m_lastConnection;
        return reply;
    }

    /// Has the agent learn that its worker closes its connections, and send a start on any
    /// connection, which stays unanswered.
    void startOnAnyConnection()
    {
        startUnsent();
        until([&] {
            for (std::size_t i = 0; i < m_worker.probes().size(); ++i)
                m_worker.probes()[i].answer(replyOnNewConnection());
            for (std::size_t i = 0; i < m_worker.polls().size(); ++i) {
                m_worker.polls()[i].answer(m_worker.polls()[i].request.connections
                                               ? failed(WorkerCallResult::NotSent)
                                               : replyOnNewConnection());
            }
            for (std::size_t i = 0; i < m_worker.starts().size(); ++i) {
                if (m_worker.starts()[i].request.connections)
                    m_worker.starts()[i].answer(failed(WorkerCallResult::NotSent));
            }
            return !m_worker.starts().back().request.connections;
        });
    }

    /// Has the agent keep a start, since no connection is open for it. The probes that follow are
    /// open.
    void startUnsent()
    {
        startOn(factsOf(1000));
        answerProbes(failed(WorkerCallResult::NoAnswer));
        const std::size_t before = m_worker.probes().size();
        m_worker.starts().back().answer(failed(WorkerCallResult::NotSent));
        CPPUNIT_ASSERT_EQUAL(before + m_agentSettings.spareConnections, m_worker.probes().size());
    }

    void answerProbes(const WorkerReply &reply)
    {
        for (std::size_t i = 0; i < m_worker.probes().size(); ++i)
            m_worker.probes()[i].answer(reply);
    }

    /// The lifetime answers the last probe on that connection.
    void answerProbe(WorkerConnection number)
    {
        WorkerReply reply = replyOf(1000);
        reply.connection = number;
        m_worker.probes().back().answer(reply);
    }

    /// Has a worker list an end that the leader commits, and waits for the poll that acknowledges
    /// it.
    void acknowledgeAnEnd()
    {
        report(factsOf(1000));
        WorkerReply reply = replyOf(1000);
        reply.ended.push_back({1, {task, 1, RunEnd::Done, {}}});
        m_worker.answerPolls(reply);
        until([this] { return !m_leader->all<RunsEnded>().empty(); });
        m_leader->sendToAll(EndsCommitted{factsOf(1000).lifetime, 1});
        until([this] {
            if (m_worker.polls().back().callback && m_worker.polls().back().request.seenUpTo == 1)
                return true;
            m_worker.answerPolls(replyOf(1000));
            return false;
        });
    }

    WorkerConnection m_lastConnection = 5000;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LifetimeConnectionsTest);
