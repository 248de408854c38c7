#include <UnitTests/Fleet/FakeLeader.h>
#include <UnitTests/Support/FreePort.h>

#include <Guavashift/Fleet/AgentNode.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// Keeps the polls that it gets, so that the test answers them one by one.
class HeldPolls final : public WorkerPort
{
public:
    struct Poll
    {
        PollRequest request;
        Callback callback;
    };

    void poll(const PollRequest &request, Callback callback) override
    {
        m_polls.push_back({request, std::move(callback)});
    }
    void probe(const ProbeRequest &, Callback callback) override
    {
        WorkerReply reply;
        reply.result = WorkerCallResult::Done;
        callback(reply);
    }
    void start(const StartRequest &, Callback callback) override { callback({}); }
    void stop(const StopRequest &, Callback callback) override { callback({}); }
    void throttle(const ThrottleRequest &, Callback callback) override { callback({}); }

    /// Number of polls of this worker, including answered ones.
    [[nodiscard]] std::size_t pollsOf(const std::string &worker) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_polls.begin(), m_polls.end(),
                          [&](const Poll &each) { return each.request.worker == worker; }));
    }
    /// Answers all open polls of this worker.
    void answer(const WorkerFacts &worker, WorkerCallResult result)
    {
        WorkerReply reply;
        reply.result = result;
        reply.born = worker.lifetime.startedAt;
        for (std::size_t i = 0; i < m_polls.size(); ++i) {
            if (m_polls[i].request.worker != worker.lifetime.worker || !m_polls[i].callback)
                continue;
            const Callback callback = std::exchange(m_polls[i].callback, nullptr);
            callback(reply);
        }
    }

private:
    std::vector<Poll> m_polls;
};

WorkerFacts factsOf(const std::string &worker, std::int64_t startedAt)
{
    WorkerFacts facts;
    facts.lifetime = {worker, startedAt};
    facts.service = "orders";
    facts.capacity = {16'000, 32'000, 0};
    return facts;
}

} // namespace

/// The agent of a worker whose answers the test gives itself.
class AgentPollTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AgentPollTest);
    CPPUNIT_TEST(pollsNextWorkerWhileAPollOfTheLastOneIsOpen);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{256});
        CPPUNIT_ASSERT(m_loop->open());
        FleetSettings settings;
        settings.node = "agent";
        settings.ip = "127.0.0.21";
        settings.channelPort = test::freePort();
        const std::string leader = fmt::format("127.0.0.1:{}", settings.channelPort);
        settings.seeds = {leader};
        m_leader = std::make_unique<FakeLeader>(*m_loop, leader);
        m_agent = std::make_unique<AgentNode>(*m_loop, AgentNodeSettings{}, settings,
                                              ChannelSettings{}, m_worker, m_metrics, 5);
        CPPUNIT_ASSERT(m_agent->start());
    }

    void tearDown() override
    {
        m_agent.reset();
        m_leader.reset();
        m_loop.reset();
    }

    /// Guards against a worker that is never polled again, because its first poll was answered
    /// while one of the worker before it was still open.
    void pollsNextWorkerWhileAPollOfTheLastOneIsOpen()
    {
        const WorkerFacts first = factsOf("w1", 1000);
        const WorkerFacts second = factsOf("w2", 2000);
        m_agent->workerReported({first, 1, {}});
        until([&] { return m_worker.pollsOf("w1") == 1; });
        m_agent->workerReported({second, 1, {}});
        until([&] { return m_worker.pollsOf("w2") == 1; });
        m_worker.answer(second, WorkerCallResult::Done);
        until([&] { return m_worker.pollsOf("w2") == 2; });
        m_worker.answer(first, WorkerCallResult::NoAnswer);
        m_worker.answer(second, WorkerCallResult::Done);
        until([&] { return m_worker.pollsOf("w2") == 3; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_worker.pollsOf("w1"));
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
    FleetMetrics m_metrics;
    HeldPolls m_worker;
    std::unique_ptr<FakeLeader> m_leader;
    std::unique_ptr<AgentNode> m_agent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AgentPollTest);
