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
    void probe(const ProbeRequest &, Callback callback) override
    {
        WorkerReply reply;
        reply.result = WorkerCallResult::Done;
        callback(reply);
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
    CPPUNIT_TEST(reportsAChangedCapacity);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{256});
        CPPUNIT_ASSERT(m_loop->open());
        FleetSettings settings;
        settings.node = "side";
        settings.ip = "127.0.0.2";
        settings.channelPort = test::freePort();
        const std::string leaderAddress = fmt::format("127.0.0.1:{}", settings.channelPort);
        settings.seeds = {leaderAddress};
        m_leader = std::make_unique<FakeLeader>(*m_loop, leaderAddress);
        m_worker = std::make_unique<IdleWorker>(*m_loop);
        m_agent = std::make_unique<AgentNode>(*m_loop, AgentNodeSettings{}, settings,
                                              ChannelSettings{}, *m_worker, m_metrics, 1);
        CPPUNIT_ASSERT(m_agent->start());
        m_facts = {};
        m_facts.lifetime = {"w1", 1};
        m_facts.service = "orders";
        m_facts.capacity = {64'000, 100'000, 0};
        m_agent->workerReported({m_facts, 1, {}});
    }

    void tearDown() override
    {
        m_agent.reset();
        m_leader.reset();
        m_worker.reset();
        m_loop.reset();
    }

    /// Guards against a list of runs with an entry for one that the worker never listed: the leader
    /// would count it against the worker's capacity.
    void listsNoRunThatItOnlyStops()
    {
        until([this] { return !m_leader->tables().empty(); });
        m_leader->sendToAll(StopOrder{m_facts.lifetime, {"j", 0, 0, 0}, 1});
        until([this] { return m_worker->stops() > 0; });
        const std::size_t before = m_leader->tables().size();
        until([&] { return m_leader->tables().size() > before; });
        CPPUNIT_ASSERT(m_leader->tables().back().rows.empty());
    }

    void reportsAChangedCapacity()
    {
        until([this] { return !m_leader->workers().empty(); });
        // Without any other change.
        m_facts.capacity = {32'000, 100'000, 0};
        m_agent->workerReported({m_facts, 2, {}});
        until([this] { return m_leader->workers().back() == m_facts; });
        // An older report that arrives late changes nothing, also not in the next session.
        WorkerFacts late = m_facts;
        late.capacity = {64'000, 100'000, 0};
        m_agent->workerReported({late, 1, {}});
        const std::size_t before = m_leader->workers().size();
        m_leader->disconnect();
        until([&] { return m_leader->workers().size() > before; });
        CPPUNIT_ASSERT(m_leader->workers().back() == m_facts);
        // Between two sessions.
        m_leader->disconnect();
        m_facts.capacity = {16'000, 100'000, 0};
        m_agent->workerReported({m_facts, 3, {}});
        until([this] { return m_leader->workers().back() == m_facts; });
    }

private:
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
    std::unique_ptr<FakeLeader> m_leader;
    std::unique_ptr<IdleWorker> m_worker;
    FleetMetrics m_metrics;
    std::unique_ptr<AgentNode> m_agent;
    WorkerFacts m_facts;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentNodeTest);
