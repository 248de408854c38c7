#include <UnitTests/Fleet/FakeLeader.h>
#include <UnitTests/Support/FreePort.h>

#include <Guavashift/Fleet/GatewayNode.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The answers of an entry when the leader does not answer or refuses: no answer may claim more
/// than is known.
class GatewayNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayNodeTest);
    CPPUNIT_TEST(callWithoutLeaderEndsAsNotDone);
    CPPUNIT_TEST(forwardedCallEndsAsUnknown);
    CPPUNIT_TEST(refusesNewCallsAndAwaitsPendingOnes);
    CPPUNIT_TEST(returnsRefusalOfOnlyAttempt);
    CPPUNIT_TEST(ignoresRefusalOfLaterAttempt);
    CPPUNIT_TEST(callRefusedByLaterAttemptsEndsAsUnknown);
    CPPUNIT_TEST(forwardsUndecidedCallAgain);
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

    /// Guards against calls that wait for a leader and get no answer when the entry stops.
    void callWithoutLeaderEndsAsNotDone()
    {
        call();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway->pendingCalls());
        m_gateway->endCalls("the test ends");
        assertAnswers({CallResult::Unavailable});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway->pendingCalls());
    }

    /// Guards against calls that are refused as not done although the leader may carry them out.
    void forwardedCallEndsAsUnknown()
    {
        startLeader();
        call();
        until([this] { return m_leader->calls() == 1; });
        m_gateway->endCalls("the test ends");
        assertAnswers({CallResult::Unknown});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_gateway->pendingCalls());
        // A late answer of the leader must not be passed to the caller as a second one.
        m_leader->answerAll(CallResult::Done);
        call();
        assertAnswers({CallResult::Unknown, CallResult::Unavailable});
    }

    /// Guards against calls that are forwarded shortly before the entry stops, and against pending
    /// calls that are abandoned although their answer is on its way.
    void refusesNewCallsAndAwaitsPendingOnes()
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

    /// Guards against calls that wait until their deadline although they were certainly not done.
    void returnsRefusalOfOnlyAttempt()
    {
        startLeader();
        m_leader->setResult(CallResult::Unavailable);
        call();
        until([this] { return m_gateway->pendingCalls() == 0; });
        assertAnswers({CallResult::Unavailable});
    }

    /// Guards against jobs that run although their caller got a refusal: the leader of the first
    /// attempt had proposed them, and only a later attempt was refused.
    void ignoresRefusalOfLaterAttempt()
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

    /// Guards against the same fault at the caller's deadline.
    void callRefusedByLaterAttemptsEndsAsUnknown()
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

    /// Guards against calls that wait for another leader although the one that could not decide
    /// them still leads.
    void forwardsUndecidedCallAgain()
    {
        startLeader();
        m_leader->setResult(CallResult::Unknown);
        call();
        until([this] { return m_leader->calls() > 1; });
        assertAnswers({});
        // The first attempt may have been done.
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

    /// Runs the event loop until the condition holds. Fails after 30 s, far more than any test
    /// needs.
    void until(const std::function<bool()> &condition)
    {
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
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
