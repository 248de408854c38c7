#include <UnitTests/Fleet/AgentFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The agent of a worker that restarts under its name, and of one whose answers come late.
class AgentLifetimeTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(AgentLifetimeTest);
    CPPUNIT_TEST(fencesTheNextLifetimeAgainstEarlierStarts);
    CPPUNIT_TEST(reportsStartsThatTheNextLifetimeMayCarryOut);
    CPPUNIT_TEST(startAnsweredByTheNextLifetimeIsNoRunOfThisOne);
    CPPUNIT_TEST(reportsStartOfAnEndedLifetimeThatWasRefused);
    CPPUNIT_TEST(ignoresLateAnswersToPollsOfAnEarlierLifetime);
    CPPUNIT_TEST(startsNothingBeforeTheLifetimeHasAnswered);
    CPPUNIT_TEST(startsNoRunThatTheLeaderMaySettleWithALifetimeFoundAgain);
    CPPUNIT_TEST(repeatsNoCrashOfALifetimeFoundAgain);
    CPPUNIT_TEST(resolvesOpenStartsOfALifetimeFoundAgain);
    CPPUNIT_TEST(takesNoRefusedConnectionForTheEndOfALifetime);
    CPPUNIT_TEST(reportsNoCrashOfALifetimeThatRefusesConnections);
    CPPUNIT_TEST(reportsCrashOfALifetimeThatRefusedConnectionsWithTheNextOne);
    CPPUNIT_TEST(passesOnNoLeaseGrantedBeforeTheWorkerWasKnown);
    CPPUNIT_TEST(passesOnNoLeaseOfAnEarlierLifetime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a start for an earlier lifetime that the next one accepts, because it has
    /// only seen the fencing token that the start carries.
    void fencesTheNextLifetimeAgainstEarlierStarts()
    {
        startOn(factsOf(1000));
        report(factsOf(2000));
        CPPUNIT_ASSERT(m_worker.polls().back().request.fence
                       > m_worker.starts().back().request.fence);
    }

    /// Guards against a leader that starts a task elsewhere although the next lifetime may still
    /// carry out the start of its last run.
    void reportsStartsThatTheNextLifetimeMayCarryOut()
    {
        startOn(factsOf(1000));
        report(factsOf(2000));
        assertReportsOpenStart();
        // A new leader is told as well.
        m_leader->disconnect();
        const std::size_t before = m_leader->all<OpenStarts>().size();
        until([&] { return m_leader->all<OpenStarts>().size() > before; });
    }

    /// Guards against the same if the start is answered before the restart is known otherwise.
    void startAnsweredByTheNextLifetimeIsNoRunOfThisOne()
    {
        startOn(factsOf(1000));
        m_worker.starts().back().answer(replyOf(2000));
        assertReportsOpenStart();
    }

    /// Guards against a task that waits for a whole lease although its start was refused.
    void reportsStartOfAnEndedLifetimeThatWasRefused()
    {
        startOn(factsOf(1000));
        report(factsOf(2000));
        WorkerReply refused = replyOf(2000);
        refused.result = WorkerCallResult::TooLate;
        m_worker.starts().back().answer(refused);
        until([this] { return !m_leader->all<StartRefused>().empty(); });
        const StartRefused refusal = m_leader->all<StartRefused>().back();
        CPPUNIT_ASSERT(refusal.lifetime == factsOf(1000).lifetime);
        CPPUNIT_ASSERT(refusal.task == task && refusal.run == 1);
    }

    /// Guards against a lifetime that is given up because of an answer that belongs to the one
    /// before it.
    void ignoresLateAnswersToPollsOfAnEarlierLifetime()
    {
        report(factsOf(1000));
        const std::size_t first = m_worker.polls().size() - 1;
        report(factsOf(2000));
        m_worker.polls()[first].answer(replyOf(1000));
        report(factsOf(3000));
        WorkerReply gone;
        gone.result = WorkerCallResult::OtherLifetime;
        m_worker.polls()[first + 1].answer(gone);
        m_worker.polls().back().answer(replyOf(3000));
        grant();
        m_leader->sendToAll(orderFor(factsOf(3000)));
        until([this] { return !m_worker.starts().empty(); });
        for (const LifetimeEnded &ended : m_leader->all<LifetimeEnded>())
            CPPUNIT_ASSERT(ended.lifetime != factsOf(3000).lifetime);
    }

    /// Guards against starts for a lifetime that was reported again after its end, by a report
    /// that was delayed on its way.
    void startsNothingBeforeTheLifetimeHasAnswered()
    {
        report(factsOf(1000));
        grant();
        m_worker.polls().back().answer(replyOf(1000));
        WorkerReply gone;
        gone.result = WorkerCallResult::OtherLifetime;
        until([this] { return m_worker.polls().size() == 2; });
        m_worker.polls().back().answer(gone);
        until([this] { return !m_leader->all<LifetimeEnded>().empty(); });
        report(factsOf(1000), 2);
        m_leader->sendToAll(orderFor(factsOf(1000)));
        until([this] { return !m_leader->all<StartRefused>().empty(); });
        CPPUNIT_ASSERT(m_worker.starts().empty());
    }

    /// Guards against a task that is started elsewhere while its run works: its order was on its
    /// way when the agent reported that the lifetime had ended, and the worker answered again.
    void startsNoRunThatTheLeaderMaySettleWithALifetimeFoundAgain()
    {
        report(factsOf(1000));
        m_worker.polls().back().answer(replyOf(1000));
        until([this] { return m_worker.polls().size() == 2; });
        WorkerReply gone;
        gone.result = WorkerCallResult::OtherLifetime;
        m_worker.polls().back().answer(gone);
        until([this] { return !m_leader->all<LifetimeEnded>().empty(); });
        report(factsOf(1000), 2);
        m_worker.answerPolls(replyOf(1000));
        until([this] { return m_leader->all<Inventory>().size() == 2; });
        grant();
        m_leader->sendToAll(orderFor(factsOf(1000)));
        until([this] {
            return !m_leader->all<StartRefused>().empty() || !m_worker.starts().empty();
        });
        CPPUNIT_ASSERT(m_worker.starts().empty());
    }

    /// Guards against runs that are started elsewhere while they work: the agent had taken their
    /// worker for crashed before they were started, and told the next session's leader so again.
    void repeatsNoCrashOfALifetimeFoundAgain()
    {
        startOn(factsOf(1000));
        m_worker.starts().back().answer(replyOf(1000));
        loseAndFindAgain();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<WorkerCrashed>().size());
        const std::size_t reports = m_leader->all<WorkerReport>().size();
        m_leader->disconnect();
        until([&] { return m_leader->all<WorkerReport>().size() > reports; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<WorkerCrashed>().size());
    }

    /// Guards against a task that stays bound to a worker that never got its start: the agent had
    /// reported the start as open when it took the worker for crashed.
    void resolvesOpenStartsOfALifetimeFoundAgain()
    {
        startOn(factsOf(1000));
        loseAndFindAgain();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<OpenStarts>().size());
        until([this] {
            m_worker.answerPolls(replyOf(1000));
            return !m_leader->all<StartRefused>().empty();
        });
        const StartRefused refusal = m_leader->all<StartRefused>().back();
        CPPUNIT_ASSERT(refusal.lifetime == factsOf(1000).lifetime);
        CPPUNIT_ASSERT(refusal.task == task && refusal.run == 1);
    }

    /// Guards against two runs of a task at the same time: the path to a worker refuses connections
    /// while the worker holds its lease and works on.
    void takesNoRefusedConnectionForTheEndOfALifetime()
    {
        startOn(factsOf(1000));
        m_worker.starts().back().answer(replyOf(1000));
        refusePollsFor(std::chrono::milliseconds(1000));
        CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().empty());
        CPPUNIT_ASSERT(m_leader->all<WorkerCrashed>().empty());
        // No further task may be started there meanwhile.
        StartOrder order = orderFor(factsOf(1000));
        order.traits.run = 2;
        m_leader->sendToAll(order);
        until([this] { return !m_leader->all<StartRefused>().empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_worker.starts().size());
    }

    /// Guards against a job that fails because the paths to its workers refused connections, and
    /// against tasks that wait for ever for a worker whose program has ended.
    void reportsNoCrashOfALifetimeThatRefusesConnections()
    {
        const Instant begunAt = BootClock::now();
        startOn(factsOf(1000));
        m_worker.starts().back().answer(replyOf(1000));
        refusePollsUntil([this] { return !m_leader->all<LifetimeEnded>().empty(); });
        // An earlier process of the agent may have granted the longest lease.
        CPPUNIT_ASSERT(BootClock::now() - begunAt >= m_bounds.maxWorkerLease - startMargin);
        CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().back().unreachable);
        CPPUNIT_ASSERT(m_leader->all<WorkerCrashed>().empty());
    }

    /// Guards against a task that crashes worker after worker.
    void reportsCrashOfALifetimeThatRefusedConnectionsWithTheNextOne()
    {
        startOn(factsOf(1000));
        m_worker.starts().back().answer(replyOf(1000));
        refusePollsFor(std::chrono::milliseconds(300));
        report(factsOf(2000));
        until([this] { return !m_leader->all<WorkerCrashed>().empty(); });
        const WorkerCrashed crash = m_leader->all<WorkerCrashed>().back();
        CPPUNIT_ASSERT(crash.lifetime == factsOf(1000).lifetime);
        const std::vector<TaskRun> expected{{task, 1}};
        CPPUNIT_ASSERT(crash.recentRuns == expected);
    }

    /// Guards against a worker that runs on a lease that its leader has not recorded for it: the
    /// agent had restarted, and was cut off before it could report the worker.
    void passesOnNoLeaseGrantedBeforeTheWorkerWasKnown()
    {
        until([this] { return !m_leader->all<OpenSession>().empty(); });
        // Longer than the interval at which leases are renewed.
        runFor(std::chrono::milliseconds(700));
        m_leader->grantAll();
        runFor(std::chrono::milliseconds(50));
        report(factsOf(1000));
        m_worker.answerPolls(replyOf(1000));
        until([this] { return m_worker.polls().size() >= 2; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_worker.polls().back().request.untilMs);
        // The lease that is asked for with the report is passed on.
        grant();
        runFor(std::chrono::milliseconds(50));
        m_worker.answerPolls(replyOf(1000));
        until([this] { return m_worker.polls().back().request.untilMs > 0; });
    }

    /// Guards against the same for a worker that restarted under its name.
    void passesOnNoLeaseOfAnEarlierLifetime()
    {
        startOn(factsOf(1000));
        report(factsOf(2000));
        m_worker.answerPolls(replyOf(2000));
        until([this] { return m_worker.polls().size() >= 4; });
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, m_worker.polls().back().request.untilMs);
    }

private:
    /// From the start of the agent to that of the test.
    static constexpr Duration startMargin = std::chrono::milliseconds(500);

    void refusePollsUntil(const std::function<bool()> &condition)
    {
        WorkerReply refused;
        refused.result = WorkerCallResult::ConnectionRefused;
        until([&] {
            if (m_worker.polls().back().callback)
                m_worker.polls().back().answer(refused);
            return condition();
        });
    }
    void refusePollsFor(Duration time)
    {
        const Instant end = BootClock::now() + time;
        refusePollsUntil([&] { return BootClock::now() >= end; });
    }
    /// Has the agent take the first lifetime for crashed, and find it again by a late report.
    void loseAndFindAgain()
    {
        WorkerReply gone;
        gone.result = WorkerCallResult::OtherLifetime;
        until([this] { return static_cast<bool>(m_worker.polls().back().callback); });
        m_worker.polls().back().answer(gone);
        until([this] { return !m_leader->all<LifetimeEnded>().empty(); });
        report(factsOf(1000), 2);
        const std::size_t before = m_leader->all<Inventory>().size();
        m_worker.answerPolls(replyOf(1000));
        until([&] { return m_leader->all<Inventory>().size() > before; });
    }

    /// Checks that the leader is told that the start of the first lifetime is open before it is
    /// told that this lifetime has ended.
    void assertReportsOpenStart()
    {
        until([this] { return !m_leader->all<LifetimeEnded>().empty(); });
        CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().back().lifetime == factsOf(1000).lifetime);
        const std::vector<TaskRun> expected{{task, 1}};
        bool isToldOpen = false;
        for (const FleetMessage &message : m_leader->messages()) {
            if (std::holds_alternative<OpenSession>(message))
                isToldOpen = false;
            else if (const auto *open = std::get_if<OpenStarts>(&message))
                isToldOpen = open->lifetime == factsOf(1000).lifetime && open->runs == expected;
            else if (std::holds_alternative<WorkerCrashed>(message)
                     || std::holds_alternative<LifetimeEnded>(message))
                CPPUNIT_ASSERT(isToldOpen);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentLifetimeTest);
