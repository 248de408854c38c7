#include <UnitTests/Fleet/FakeLeader.h>
#include <UnitTests/Support/FreePort.h>

#include <Guavashift/Fleet/AgentNode.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// A worker that runs nothing and refuses to stop anything.
class IdleWorker final : public WorkerPort
{
public:
    explicit IdleWorker(EventLoop &loop)
        : m_loop(loop)
    {
    }

    [[nodiscard]] int stops() const { return m_stops; }

    void poll(const PollRequest &, Callback callback) override
    {
        constexpr Duration delay = std::chrono::milliseconds(5);
        m_loop.after(delay, [callback] {
            WorkerReply reply;
            reply.result = WorkerCallResult::Done;
            callback(reply);
        });
    }
    void start(const StartRequest &, Callback callback) override { callback({}); }
    void stop(const StopRequest &, Callback callback) override
    {
        ++m_stops;
        WorkerReply reply;
        reply.result = WorkerCallResult::Unhealthy;
        callback(reply);
    }
    void throttle(const ThrottleRequest &, Callback callback) override { callback({}); }

private:
    EventLoop &m_loop;
    int m_stops = 0;
};

} // namespace

/// Tests of what an agent reports to its leader.
class AgentNodeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentNodeTest);
    CPPUNIT_TEST(listsNoRunThatItOnlyStops);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a list of runs with an entry for one that the worker never listed: the leader
    /// would count it against the worker's capacity.
    void listsNoRunThatItOnlyStops()
    {
        EventLoop loop(EventLoopSettings{256});
        CPPUNIT_ASSERT(loop.open());
        FleetSettings settings;
        settings.node = "side";
        settings.ip = "127.0.0.2";
        settings.channelPort = test::freePort();
        const std::string leaderAddress = fmt::format("127.0.0.1:{}", settings.channelPort);
        settings.seeds = {leaderAddress};
        FleetMetrics metrics;
        IdleWorker worker(loop);
        FakeLeader leader(loop, leaderAddress);
        AgentNode agent(loop, {}, settings, ChannelSettings{}, worker, metrics, 1);
        CPPUNIT_ASSERT(agent.start());
        WorkerFacts facts;
        facts.lifetime = {"w1", 1};
        facts.service = "orders";
        agent.workerReported(facts, 1);
        const auto until = [&](const std::function<bool()> &condition) {
            const Instant deadline = BootClock::now() + std::chrono::seconds(30);
            while (!condition()) {
                CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
                loop.runOnce(std::chrono::milliseconds(1));
            }
        };
        until([&] { return !leader.tables().empty(); });
        leader.sendToAll(StopOrder{facts.lifetime, {"j", 0, 0, 0}, 1});
        until([&] { return worker.stops() > 0; });
        const std::size_t before = leader.tables().size();
        until([&] { return leader.tables().size() > before; });
        CPPUNIT_ASSERT(leader.tables().back().rows.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentNodeTest);
