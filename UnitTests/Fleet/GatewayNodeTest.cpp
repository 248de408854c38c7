#include <UnitTests/Fleet/FakeLeader.h>
#include <UnitTests/Support/FreePort.h>

#include <Guavashift/Fleet/GatewayNode.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// What an entry answers when the leader does not: no answer may say more than is known.
class GatewayNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayNodeTest);
    CPPUNIT_TEST(callsWithoutALeaderEndAsNotDone);
    CPPUNIT_TEST(callsThatWerePassedOnEndAsUnknown);
    CPPUNIT_TEST(refusesNewCallsAndWaitsForTheOthers);
    CPPUNIT_TEST(refusalOfTheOnlyPassIsHandedOn);
    CPPUNIT_TEST(refusalOfALaterPassIsNotHandedOn);
    CPPUNIT_TEST(callsThatOnlyLaterPassesRefuseEndAsUnknown);
    CPPUNIT_TEST(callsWithoutDecisionArePassedOnAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{256});
        CPPUNIT_ASSERT(m_loop->open());
        FleetSettings settings;
        settings.node = "entry";
        settings.ip = "127.0.0.11";
        settings.channelPort = test::freePort();
        m_leaderAddress = fmt::format("127.0.0.1:{}", settings.channelPort);
        settings.seeds = {m_leaderAddress};
        m_gateway = std::make_unique<GatewayNode>(*m_loop, GatewaySettings{}, settings,
                                                  ChannelSettings{}, m_metrics, 5);
        CPPUNIT_ASSERT(m_gateway->start());
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_leader.reset();
        m_loop.reset();
    }

    /// Guards against entries that stop while calls wait for a leader, which then get no answer.
    void callsWithoutALeaderEndAsNotDone()
    {
        call();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway->pendingCalls());
        m_gateway->endCalls("the test ends");
        assertAnswers({CallResult::Unavailable});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway->pendingCalls());
    }

    /// Guards against calls that are refused as not done though the leader may carry them out.
    void callsThatWerePassedOnEndAsUnknown()
    {
        startLeader();
        call();
        until([this] { return m_leader->calls() == 1; });
        m_gateway->endCalls("the test ends");
        assertAnswers({CallResult::Unknown});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway->pendingCalls());
        // Its late answer is no second one.
        m_leader->answerAll(CallResult::Done);
        call();
        assertAnswers({CallResult::Unknown, CallResult::Unavailable});
    }

    /// Guards against calls that are passed on shortly before the end, and against calls that are
    /// given up though their answer is on its way.
    void refusesNewCallsAndWaitsForTheOthers()
    {
        startLeader();
        call();
        until([this] { return m_leader->calls() == 1; });
        m_gateway->refuseNewCalls();
        call();
        assertAnswers({CallResult::Unavailable});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway->pendingCalls());
        m_leader->answerAll(CallResult::Done);
        until([this] { return m_gateway->pendingCalls() == 0; });
        assertAnswers({CallResult::Unavailable, CallResult::Done});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->calls());
    }

    /// Guards against calls that wait in vain although they were certainly not done.
    void refusalOfTheOnlyPassIsHandedOn()
    {
        startLeader();
        m_leader->setResult(CallResult::Unavailable);
        call();
        until([this] { return m_gateway->pendingCalls() == 0; });
        assertAnswers({CallResult::Unavailable});
    }

    /// Guards against jobs that run though their caller was told that they never will: the leader
    /// of the first pass had proposed them.
    void refusalOfALaterPassIsNotHandedOn()
    {
        startLeader();
        call();
        until([this] { return m_leader->calls() == 1; });
        m_leader->setResult(CallResult::Unavailable);
        m_leader->disconnect();
        until([this] { return m_leader->calls() > 2; });
        assertAnswers({});
        m_leader->setResult(CallResult::Done);
        until([this] { return m_gateway->pendingCalls() == 0; });
        assertAnswers({CallResult::Done});
    }

    /// Guards against the same at the end of the caller's time.
    void callsThatOnlyLaterPassesRefuseEndAsUnknown()
    {
        startLeader();
        call(std::chrono::milliseconds(700));
        until([this] { return m_leader->calls() == 1; });
        m_leader->setResult(CallResult::Unavailable);
        m_leader->disconnect();
        until([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(m_leader->calls() > 1);
        assertAnswers({CallResult::Unknown});
    }

    /// Guards against calls that wait in vain for another leader when the one that could not decide
    /// goes on leading.
    void callsWithoutDecisionArePassedOnAgain()
    {
        startLeader();
        m_leader->setResult(CallResult::Unknown);
        call();
        until([this] { return m_leader->calls() > 1; });
        assertAnswers({});
        // The first pass may have been done.
        m_leader->setResult(CallResult::Unavailable);
        const std::size_t before = m_leader->calls();
        until([&] { return m_leader->calls() > before + 1; });
        assertAnswers({});
        m_leader->setResult(CallResult::Done);
        until([this] { return m_gateway->pendingCalls() == 0; });
        assertAnswers({CallResult::Done});
    }

private:
    void startLeader()
    {
        m_leader = std::make_unique<FakeLeader>(*m_loop, m_leaderAddress);
        until([this] { return m_gateway->isReady(); });
    }

    void call(Duration deadline = Duration::zero())
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/j";
        m_gateway->call(std::move(call), deadline,
                        [this](const FleetAnswer &answer) { m_answers.push_back(answer.result); });
    }

    void assertAnswers(const std::vector<CallResult> &expected) const
    {
        CPPUNIT_ASSERT_EQUAL(expected.size(), m_answers.size());
        CPPUNIT_ASSERT(expected == m_answers);
    }

    /// Lets the node and the leader work until the condition holds; gives up after a time that
    /// neither needs.
    void until(const std::function<bool()> &condition)
    {
        const Instant giveUp = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < giveUp);
            m_loop->runOnce(std::chrono::milliseconds(1));
        }
    }

    std::unique_ptr<EventLoop> m_loop;
    std::string m_leaderAddress;
    std::unique_ptr<FakeLeader> m_leader;
    FleetMetrics m_metrics;
    std::unique_ptr<GatewayNode> m_gateway;
    std::vector<CallResult> m_answers;
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayNodeTest);
