#include <UnitTests/Fleet/AgentFixture.h>
#include <UnitTests/Support/FreePort.h>

#include <cppunit/TestAssert.h>

namespace guavashift {

void AgentFixture::setUp()
{
    m_loop = std::make_unique<EventLoop>(EventLoopSettings{256});
    CPPUNIT_ASSERT(m_loop->open());
    FleetSettings settings;
    settings.node = "agent";
    settings.ip = "127.0.0.22";
    settings.channelPort = test::freePort();
    const std::string leader = fmt::format("127.0.0.1:{}", settings.channelPort);
    settings.seeds = {leader};
    settings.bounds = m_bounds;
    m_leader = std::make_unique<FakeLeader>(*m_loop, leader);
    m_agent = std::make_unique<AgentNode>(*m_loop, m_agentSettings, settings, ChannelSettings{},
                                          m_worker, m_metrics, 5);
    CPPUNIT_ASSERT(m_agent->start());
}

void AgentFixture::tearDown()
{
    m_agent.reset();
    m_leader.reset();
    m_loop.reset();
}

WorkerFacts AgentFixture::factsOf(std::int64_t startedAt)
{
    WorkerFacts facts;
    facts.lifetime = {"w1", startedAt};
    facts.service = "orders";
    facts.capacity = {16'000, 32'000, 0};
    return facts;
}

WorkerReply AgentFixture::replyOf(std::int64_t born)
{
    WorkerReply reply;
    reply.result = WorkerCallResult::Done;
    reply.born = born;
    reply.clockMs = 10'000;
    reply.connection = static_cast<WorkerConnection>(born);
    return reply;
}

StartOrder AgentFixture::orderFor(const WorkerFacts &facts)
{
    StartOrder order;
    order.lifetime = facts.lifetime;
    order.traits.task = task;
    order.traits.run = 1;
    return order;
}

void AgentFixture::report(const WorkerFacts &facts, std::uint64_t sequence)
{
    const std::size_t before = m_worker.polls().size();
    m_reportedAt = BootClock::now();
    m_agent->workerReported({facts, sequence, {}});
    confirm(facts);
    until([&] { return m_worker.polls().size() > before; });
}

void AgentFixture::confirm(const WorkerFacts &facts)
{
    // An answer may lead to further probes.
    for (std::size_t i = 0; i < m_worker.probes().size(); ++i) {
        HeldWorker::Call<ProbeRequest> &probe = m_worker.probes()[i];
        if (probe.request.onNewConnection)
            probe.answer(replyOf(facts.lifetime.startedAt));
    }
}

void AgentFixture::grant()
{
    until([this] {
        const std::vector<RenewLease> asked = m_leader->all<RenewLease>();
        return !asked.empty() && asked.back().sentAt >= m_reportedAt.time_since_epoch().count();
    });
    m_leader->grantAll();
}

void AgentFixture::startOn(const WorkerFacts &facts)
{
    report(facts);
    grant();
    m_worker.polls().back().answer(replyOf(facts.lifetime.startedAt));
    m_leader->sendToAll(orderFor(facts));
    until([this] { return !m_worker.starts().empty(); });
}

void AgentFixture::runFor(Duration time)
{
    const Instant end = BootClock::now() + time;
    while (BootClock::now() < end)
        m_loop->runOnce(std::chrono::milliseconds(1));
}

void AgentFixture::until(const std::function<bool()> &condition)
{
    const Instant deadline = BootClock::now() + std::chrono::seconds(30);
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
        m_loop->runOnce(std::chrono::milliseconds(1));
    }
}

} // namespace guavashift
