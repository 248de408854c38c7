#include <UnitTests/Fleet/FakeLeader.h>
#include <UnitTests/Support/FreePort.h>

#include <Guavashift/Fleet/GatewayNode.h>

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace guavashift {

/// Calls at an entry whose leader is away, hangs or dies while frames wait to be sent to it. The
/// leader runs on an event loop of its own, so that it can hang.
class GatewayOutageTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(GatewayOutageTest);
    CPPUNIT_TEST(refusesCallsThatNeverLeft);
    CPPUNIT_TEST(refusesNoCallThatTheLeaderGot);
    CPPUNIT_TEST(refusalAfterUnsentAttemptIsFinal);
    CPPUNIT_TEST(holdsCallsBackFromHangingLeader);
    CPPUNIT_TEST(forwardsHeldCallsOnceTheLeaderIsHeard);
    CPPUNIT_TEST(refusesCallsBeyondTheirNumber);
    CPPUNIT_TEST(refusesCallsBeyondTheirBytes);
    CPPUNIT_TEST(spreadsReturnsOfRefusedCalls);
    CPPUNIT_TEST(refusesAtOnceWhenNoLeaderIsExpected);
    CPPUNIT_TEST(waitsForLeaderDuringFailover);
    CPPUNIT_TEST_SUITE_END();

    /// More than the kernel buffers of a connection, less than a connection may queue.
    static constexpr std::size_t largePayload = 1 << 20;
    static constexpr int largeCalls = 24;

    std::unique_ptr<EventLoop> m_loop;
    std::unique_ptr<EventLoop> m_leaderLoop;
    std::string m_leaderAddress;
    std::unique_ptr<FakeLeader> m_leader;
    FleetMetrics m_metrics;
    GatewaySettings m_settings;
    std::unique_ptr<GatewayNode> m_gateway;
    std::map<std::string, FleetAnswer> m_answers; ///< By path.

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{256});
        m_leaderLoop = std::make_unique<EventLoop>(EventLoopSettings{256});
        CPPUNIT_ASSERT(m_loop->open());
        CPPUNIT_ASSERT(m_leaderLoop->open());
        m_settings.silenceLimit = std::chrono::milliseconds(100);
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_leader.reset();
        m_leaderLoop.reset();
        m_loop.reset();
    }

private:
    /// The connection breaks while most calls are still queued in it.
    void refusesCallsThatNeverLeft()
    {
        startEntry();
        startLeader();
        for (int i = 0; i < largeCalls; ++i)
            call(pathOf(i), largePayload);
        m_leader.reset();
        until([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(resultOf(pathOf(0)) == CallResult::Unknown);
        CPPUNIT_ASSERT(resultOf(pathOf(largeCalls - 1)) == CallResult::Unavailable);
    }

    /// The same with leaders that read for some rounds before they die.
    void refusesNoCallThatTheLeaderGot()
    {
        startEntry();
        for (int rounds = 1; rounds <= 16; rounds *= 2) {
            startLeader();
            m_answers.clear();
            for (int i = 0; i < largeCalls; ++i)
                call(pathOf(i), largePayload);
            for (int round = 0; round < rounds; ++round)
                runOnce();
            const std::set<std::string> received = receivedPaths();
            m_leader.reset();
            until([this] { return m_gateway->pendingCalls() == 0; });
            for (const auto &[path, answer] : m_answers)
                CPPUNIT_ASSERT(answer.result != CallResult::Unavailable
                               || !received.contains(path));
        }
    }

    /// Guards against calls that wait until their deadline although all their attempts certainly
    /// failed: the first never left, the second was refused.
    void refusalAfterUnsentAttemptIsFinal()
    {
        startEntry();
        startLeader();
        for (int i = 0; i < largeCalls; ++i)
            call(pathOf(i), largePayload);
        m_leader->disconnect();
        m_leader->setResult(CallResult::Unavailable);
        until([this] { return m_answers.contains(pathOf(largeCalls - 1)); });
        const FleetAnswer &answer = m_answers.at(pathOf(largeCalls - 1));
        CPPUNIT_ASSERT(answer.result == CallResult::Unavailable);
        CPPUNIT_ASSERT_EQUAL(std::string("fake"), answer.text);
        until([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(resultOf(pathOf(0)) == CallResult::Unknown);
    }

    /// A leader without power: what was sent to it is in doubt, what came later is refused.
    void holdsCallsBackFromHangingLeader()
    {
        startEntry();
        startLeader();
        call("/counter/sent");
        letSilenceLimitPass();
        call("/counter/held");
        untilWithoutLeader([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(resultOf("/counter/sent") == CallResult::Unknown);
        CPPUNIT_ASSERT(resultOf("/counter/held") == CallResult::Unavailable);
        // What is left in the leader's sockets.
        until([this] { return !receivedPaths().empty(); });
        CPPUNIT_ASSERT(receivedPaths() == std::set<std::string>{"/counter/sent"});
    }

    /// A leader that is only slow: callers wait, none is refused.
    void forwardsHeldCallsOnceTheLeaderIsHeard()
    {
        startEntry();
        startLeader();
        call("/counter/sent");
        letSilenceLimitPass();
        call("/counter/held");
        m_leader->setResult(CallResult::Done);
        until([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(resultOf("/counter/sent") == CallResult::Done);
        CPPUNIT_ASSERT(resultOf("/counter/held") == CallResult::Done);
    }

    /// A burst of callers while there is no leader.
    void refusesCallsBeyondTheirNumber()
    {
        m_settings.maxPendingCalls = 3;
        startEntry();
        for (int i = 0; i < 5; ++i)
            call(pathOf(i));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_gateway->pendingCalls());
        CPPUNIT_ASSERT(resultOf(pathOf(3)) == CallResult::Unavailable);
        CPPUNIT_ASSERT(resultOf(pathOf(4)) == CallResult::Unavailable);
        startLeader(CallResult::Done);
        until([this] { return m_gateway->pendingCalls() == 0; });
        // Calls that have ended make room.
        call(pathOf(5));
        until([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(resultOf(pathOf(5)) == CallResult::Done);
    }

    /// A few callers with large jobs while there is no leader.
    void refusesCallsBeyondTheirBytes()
    {
        m_settings.maxPendingBytes = 3 * largePayload;
        startEntry();
        for (int i = 0; i < 4; ++i)
            call(pathOf(i), largePayload);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_gateway->pendingCalls());
        CPPUNIT_ASSERT(resultOf(pathOf(3)) == CallResult::Unavailable);
        call("/counter/small");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, m_gateway->pendingCalls());
    }

    void spreadsReturnsOfRefusedCalls()
    {
        m_settings.maxPendingCalls = 0;
        startEntry();
        std::map<std::int64_t, int> returns;
        constexpr int callers = 200;
        for (int i = 0; i < callers; ++i) {
            call(pathOf(i));
            ++returns[m_answers.at(pathOf(i)).number];
        }
        CPPUNIT_ASSERT(returns.size() > 1);
        CPPUNIT_ASSERT(returns.begin()->first >= 1);
        for (const auto &[seconds, count] : returns)
            CPPUNIT_ASSERT(count < callers * 3 / 4);
        // A caller with little time is not asked to return after it.
        for (int i = 0; i < callers; ++i) {
            call(pathOf(i), 0, std::chrono::milliseconds(1900));
            CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, m_answers.at(pathOf(i)).number);
        }
    }

    /// The core without power for longer than any change of the leader takes.
    void refusesAtOnceWhenNoLeaderIsExpected()
    {
        m_settings.failoverTime = std::chrono::milliseconds(100);
        startEntry();
        const Instant begin = BootClock::now();
        until([&] { return BootClock::now() - begin > m_settings.failoverTime; });
        call(pathOf(0));
        CPPUNIT_ASSERT(resultOf(pathOf(0)) == CallResult::Unavailable);
        // A leader that returns ends this.
        startLeader(CallResult::Done);
        call(pathOf(1));
        until([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(resultOf(pathOf(1)) == CallResult::Done);
    }

    /// Guards against refusals of calls that the next leader would answer shortly.
    void waitsForLeaderDuringFailover()
    {
        m_settings.leaderTimeout = std::chrono::seconds(20);
        m_settings.failoverTime = std::chrono::seconds(20);
        m_settings.answerTimeout = std::chrono::seconds(20);
        startEntry();
        startLeader();
        m_leader.reset();
        until([this] { return !m_gateway->isReady(); });
        call(pathOf(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_gateway->pendingCalls());
        startLeader(CallResult::Done);
        until([this] { return m_gateway->pendingCalls() == 0; });
        CPPUNIT_ASSERT(resultOf(pathOf(0)) == CallResult::Done);
    }

    void startEntry()
    {
        FleetSettings settings;
        settings.node = "entry";
        settings.ip = "127.0.0.11";
        settings.channelPort = test::freePort();
        m_leaderAddress = fmt::format("127.0.0.1:{}", settings.channelPort);
        settings.seeds = {m_leaderAddress};
        m_gateway = std::make_unique<GatewayNode>(*m_loop, m_settings, settings, ChannelSettings{},
                                                  m_metrics, 5);
        CPPUNIT_ASSERT(m_gateway->start());
    }

    /// Starts a leader that answers every call with `result`, or not at all.
    void startLeader(std::optional<CallResult> result = std::nullopt)
    {
        m_leader = std::make_unique<FakeLeader>(*m_leaderLoop, m_leaderAddress);
        m_leader->setResult(result);
        until([this] { return m_gateway->isReady(); });
    }

    static std::string pathOf(int number) { return fmt::format("/counter/j{}", number); }

    void call(const std::string &path, std::size_t payload = 0, Duration deadline = {})
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = path;
        call.plan = JobPlan{std::string(payload, 'x'), {StepPlan{}}, 0, 0, 0};
        m_gateway->call(std::move(call), deadline, [this, path](const FleetAnswer &answer) {
            m_answers.insert_or_assign(path, answer);
        });
    }

    [[nodiscard]] CallResult resultOf(const std::string &path) const
    {
        CPPUNIT_ASSERT_MESSAGE(path, m_answers.contains(path));
        return m_answers.at(path).result;
    }

    [[nodiscard]] std::set<std::string> receivedPaths() const
    {
        std::set<std::string> paths;
        for (const FleetCall &each : m_leader->all<FleetCall>())
            paths.insert(each.path);
        return paths;
    }

    void runOnce()
    {
        m_loop->runOnce(std::chrono::milliseconds(1));
        m_leaderLoop->runOnce(std::chrono::milliseconds(1));
    }

    /// Lets the entry run, but not the leader, until more than the silence limit has passed.
    void letSilenceLimitPass()
    {
        const Instant begin = BootClock::now();
        untilWithoutLeader([&] { return BootClock::now() - begin > m_settings.silenceLimit; });
    }

    /// Runs both event loops until the condition holds. Fails after 30 s, far more than any test
    /// needs.
    void until(const std::function<bool()> &condition)
    {
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
            runOnce();
        }
    }

    /// As until(), while the leader hangs.
    void untilWithoutLeader(const std::function<bool()> &condition)
    {
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
            m_loop->runOnce(std::chrono::milliseconds(1));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GatewayOutageTest);

} // namespace guavashift
