#include <UnitTests/Fleet/FleetFixture.h>
#include <UnitTests/Support/FreePort.h>

#include <atomic>
#include <unistd.h>

namespace guavashift {

namespace {

/// Reads the configuration documents of these tests, which hold only a version, as a table with one
/// queue, or with none from `noQueueVersion` on.
tl::expected<QueueTable, Findings> readVersion(std::string_view text, std::uint64_t noQueueVersion)
{
    const std::uint64_t version = std::stoull(std::string(text));
    if (version >= noQueueVersion)
        return QueueTable(version, {}, {{"orders", {}}});
    QueueSettings queue;
    queue.name = "counter";
    queue.host = "desk.example";
    queue.pathPrefix = "/counter/";
    queue.service = "orders";
    queue.timeoutMs = 1000;
    queue.maxAttempts = 3;
    return QueueTable(version, {queue}, {{"orders", {}}});
}

/// Answer to a call, set by the thread of the node that was called.
struct PendingAnswer
{
    FleetAnswer answer;
    std::atomic<bool> isSet = false;
};

} // namespace

FleetFixture::FleetFixture(CoreLoops coreLoops)
    : m_coreLoops(coreLoops)
{
}

void FleetFixture::setUp()
{
    m_port = test::freePort();
    m_folder = std::filesystem::temp_directory_path()
        / fmt::format("guavashift-fleet-{}-{}", ::getpid(), m_port);
    for (int i = 0; i < cores; ++i)
        startCore(i, true);
    m_gateway = std::make_unique<Hosted<GatewayNode>>([this](EventLoop &loop) {
        return std::make_unique<GatewayNode>(loop, GatewaySettings{}, settingsOf(10),
                                             ChannelSettings{}, m_metrics, 5);
    });
    for (int i = 0; i < 2; ++i) {
        m_workers.push_back(
            std::make_unique<FakeWorker>(m_gateway->loop, fmt::format("w{}", i), 1000 + i));
        m_agents.emplace_back();
        startAgent(i);
    }
    until([this] { return m_gateway->node->isReady(); });
    FleetCall call;
    call.kind = CallKind::ReplaceConfiguration;
    call.document = "1";
    until([&] { return send(call).result == CallResult::Done; });
}

void FleetFixture::tearDown()
{
    m_agents.clear();
    m_workers.clear();
    m_gateway.reset();
    for (auto &core : m_cores)
        core.reset();
    std::filesystem::remove_all(m_folder);
}

FleetSettings FleetFixture::settingsOf(int number) const
{
    FleetSettings settings;
    settings.node = fmt::format("node{}", number);
    settings.ip = fmt::format("127.0.0.{}", number + 1);
    settings.channelPort = m_port;
    for (int i = 0; i < cores; ++i)
        settings.seeds.push_back(fmt::format("127.0.0.{}:{}", i + 1, m_port));
    settings.dataFolder = (m_folder / settings.node).string();
    return settings;
}

void FleetFixture::startCore(int number, bool first)
{
    FleetSettings settings = settingsOf(number);
    settings.firstStart = first;
    startCoreAt(static_cast<std::size_t>(number), settings);
}

void FleetFixture::startCoreAt(std::size_t place, const FleetSettings &settings)
{
    auto &core = m_cores[place];
    core = std::make_unique<Hosted<CoreNode>>([&](EventLoop &loop) {
        const auto read = [](std::string_view text) { return readVersion(text, noQueueVersion); };
        return std::make_unique<CoreNode>(loop, settings, ChannelSettings{}, read, m_metrics,
                                          std::hash<std::string>()(settings.node),
                                          openerOfDisk(place));
    });
    if (m_coreLoops == CoreLoops::InOwnThreads)
        core->runInThread();
}

LogStoreOpener FleetFixture::openerOfDisk(std::size_t place)
{
    return [open = openerOf(m_isDiskFull[place]), &delayMs = m_syncDelayMs[place],
            &alter =
                m_alterStored[place]](const std::filesystem::path &folder,
                                      PersistentState &state) -> Result<std::unique_ptr<LogStore>> {
        Result<std::unique_ptr<LogStore>> store = open(folder, state);
        if (!store)
            return store;
        if (alter)
            alter(state);
        return std::make_unique<SlowDiskLogStore>(std::move(*store), delayMs);
    };
}

void FleetFixture::startAgent(int number)
{
    const auto place = static_cast<std::size_t>(number);
    FakeWorker &worker = *m_workers[place];
    m_agents[place] = std::make_unique<Hosted<AgentNode>>([&](EventLoop &loop) {
        return std::make_unique<AgentNode>(loop, m_agentSettings, settingsOf(20 + number),
                                           ChannelSettings{}, worker, m_metrics,
                                           static_cast<std::uint64_t>(number) + 99);
    });
    m_agents[place]->node->workerReported({worker.facts(), 1, {}});
}

JobPlan FleetFixture::planOf(std::uint32_t tasks)
{
    JobPlan plan;
    plan.payload = "work";
    plan.steps.resize(1);
    plan.steps[0].tasks = tasks;
    plan.steps[0].size = {1000, 100, 0};
    return plan;
}

FleetAnswer FleetFixture::send(const FleetCall &call)
{
    // Shared with the callback, which outlives this function if the answer comes too late.
    const auto pending = std::make_shared<PendingAnswer>();
    const auto answered = [pending](FleetAnswer result) {
        pending->answer = std::move(result);
        pending->isSet = true;
    };
    if (call.kind != CallKind::ReplaceConfiguration) {
        m_gateway->node->call(call, std::chrono::seconds(2), answered);
    } else {
        m_cores[0]->loop.post([node = m_cores[0]->node.get(), call, answered] {
            node->call(call, std::chrono::seconds(2), answered);
        });
    }
    until([&] { return pending->isSet.load(); });
    return pending->answer;
}

void FleetFixture::submit(const std::string &job, const JobPlan &plan)
{
    FleetCall call;
    call.kind = CallKind::Submit;
    call.host = "desk.example";
    call.path = "/counter/" + job;
    call.plan = plan;
    // A leader that has lost contact for a moment refuses truthfully. As a caller would, the test
    // sends again what was certainly not done, and nothing else.
    FleetAnswer answer;
    until([&] {
        answer = send(call);
        return answer.result != CallResult::Unavailable;
    });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.text, std::string(nameOf(CallResult::Done)),
                                 std::string(nameOf(answer.result)));
}

std::string FleetFixture::stateOf(const std::string &job)
{
    FleetCall call;
    call.host = "desk.example";
    call.path = "/counter/" + job;
    return send(call).text;
}

std::size_t FleetFixture::running() const
{
    return m_workers[0]->running() + m_workers[1]->running();
}

int FleetFixture::totalStarts() const
{
    int starts = 0;
    for (const auto &worker : m_workers) {
        for (const auto &[task, count] : worker->starts())
            starts += count;
    }
    return starts;
}

bool FleetFixture::runUntil(const std::function<bool()> &condition, Duration limit)
{
    const Instant deadline = BootClock::now() + limit;
    while (!condition()) {
        if (BootClock::now() >= deadline)
            return false;
        constexpr Duration slice = std::chrono::milliseconds(1);
        for (auto &core : m_cores) {
            if (core && !core->hasThread())
                core->loop.runOnce(slice);
        }
        m_gateway->loop.runOnce(slice);
        for (auto &agent : m_agents) {
            if (agent)
                agent->loop.runOnce(slice);
        }
    }
    return true;
}

void FleetFixture::until(const std::function<bool()> &condition)
{
    CPPUNIT_ASSERT_MESSAGE("the condition never held",
                           runUntil(condition, std::chrono::seconds(30)));
}

} // namespace guavashift
