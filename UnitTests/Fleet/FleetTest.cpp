#include <UnitTests/Fleet/FakeWorker.h>
#include <UnitTests/Support/FreePort.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <regex>
#include <unistd.h>

using namespace guavashift;

namespace {

constexpr int cores = 3;

/// Documents of these tests: the version, and one queue.
tl::expected<QueueTable, Findings> readVersion(std::string_view text)
{
    QueueSettings queue;
    queue.name = "counter";
    queue.host = "desk.example";
    queue.pathPrefix = "/counter/";
    queue.service = "orders";
    queue.timeoutMs = 1000;
    queue.maxAttempts = 3;
    return QueueTable(std::stoull(std::string(text)), {queue}, {{"orders", {}}});
}

/// A node with a loop of its own, so that it can be ended and started anew.
template <typename Node> struct Hosted
{
    template <typename Make> explicit Hosted(Make make)
    {
        CPPUNIT_ASSERT(loop.open());
        node = make(loop);
        CPPUNIT_ASSERT(node->start());
    }

    EventLoop loop{EventLoopSettings{256}};
    std::unique_ptr<Node> node;
};

} // namespace

/// The real nodes on loopback addresses in one thread, with workers in memory.
class FleetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(runsAJobOfTwoSteps);
    CPPUNIT_TEST(resentJobsAreOneJob);
    CPPUNIT_TEST(settlesStartsWithoutAnswer);
    CPPUNIT_TEST(settlesStartsWithoutAnswerByANewSession);
    CPPUNIT_TEST(startsNothingOnAWorkerThatDoesNotAnswer);
    CPPUNIT_TEST(goesOnAfterTheLeaderIsGone);
    CPPUNIT_TEST(remembersAllAfterTheWholeCoreRestarts);
    CPPUNIT_TEST(tasksOutliveTheirAgent);
    CPPUNIT_TEST(watchesItsWorkerWithoutALeader);
    CPPUNIT_TEST(cancelledJobsStop);
    CPPUNIT_TEST(requestsAreFollowedById);
    CPPUNIT_TEST(pausesWhileEndsWaitForTheirCommit);
    CPPUNIT_TEST(acknowledgesEndsOnceTheyAreCommitted);
    CPPUNIT_TEST(tellsTheNextLeaderOfEndsAgain);
    CPPUNIT_TEST(bindingsSayWhatTheyWaitedFor);
    CPPUNIT_TEST(countsWhatItDoes);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
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

    void tearDown() override
    {
        m_agents.clear();
        m_workers.clear();
        m_gateway.reset();
        for (auto &core : m_cores)
            core.reset();
        std::filesystem::remove_all(m_folder);
    }

    void runsAJobOfTwoSteps()
    {
        JobPlan plan = planOf(4);
        plan.steps.push_back(plan.steps[0]);
        plan.steps[1].after = {0};
        submit("j", plan);
        until([this] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(8, startsInAll());
        CPPUNIT_ASSERT(!m_workers[0]->sawDuplicateRun() && !m_workers[1]->sawDuplicateRun());
    }

    void resentJobsAreOneJob()
    {
        submit("j", planOf(1));
        submit("j", planOf(1));
        until([this] { return stateOf("j") == "completed"; });
        submit("j", planOf(1));
        CPPUNIT_ASSERT_EQUAL(1, startsInAll());
        FleetCall call;
        call.path = "/counter/unknown";
        call.host = "desk.example";
        CPPUNIT_ASSERT(CallResult::NoJob == send(call).result);
        call.host = "elsewhere.example";
        CPPUNIT_ASSERT(CallResult::NoQueue == send(call).result);
    }

    /// Found by a played day: refusals named a task that had been erased, so that its run stayed
    /// bound for ever.
    void settlesStartsWithoutAnswer()
    {
        for (const auto &worker : m_workers)
            worker->dropStarts(3);
        // Long enough to lie outside of the string itself, as the platform's ids do.
        submit("0123456789abcdef", planOf(8));
        until([this] { return stateOf("0123456789abcdef") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(8, startsInAll());
    }

    /// Once a session had no higher token left, starts without an answer stayed bound for ever.
    void settlesStartsWithoutAnswerByANewSession()
    {
        m_workerSettings.fenceSteps = 0;
        restartAgents();
        for (const auto &worker : m_workers)
            worker->dropStarts(3);
        submit("j", planOf(8));
        until([this] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(8, startsInAll());
    }

    /// A worker that starts anew under its name breaks off its agent's look. Until the next look
    /// says which lifetime answers, a start could run in one and be counted as lost with the other.
    void startsNothingOnAWorkerThatDoesNotAnswer()
    {
        m_workers[0]->ignorePolls(true);
        const int before = m_workers[0]->polls();
        until([&] { return m_workers[0]->polls() > before + 1; });
        submit("j", planOf(8));
        until([this] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT(m_workers[0]->starts().empty());
        m_workers[0]->ignorePolls(false);
        JobPlan plan = planOf(2);
        plan.steps[0].maxPerWorker = 1;
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        submit("k", plan);
        until([this] { return m_workers[0]->running() == 1; });
    }

    void goesOnAfterTheLeaderIsGone()
    {
        submit("before", planOf(1));
        for (auto &core : m_cores) {
            if (core->node->leads()) {
                core.reset();
                break;
            }
        }
        until([this] { return !m_gateway->node->isReady(); });
        until([this] { return m_gateway->node->isReady(); });
        submit("after", planOf(2));
        until([this] { return stateOf("after") == "completed"; });
        until([this] { return stateOf("before") == "completed"; });
    }

    /// Found by a played day: the new leader decided before it had applied its log.
    void remembersAllAfterTheWholeCoreRestarts()
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        JobPlan plan = planOf(3);
        plan.steps[0].longRunning = true;
        submit("j", plan);
        until([this] { return running() == 3; });
        for (auto &core : m_cores)
            core.reset();
        for (int i = 0; i < cores; ++i)
            startCore(i, false);
        until([this] { return !m_gateway->node->isReady(); });
        until([this] { return m_gateway->node->isReady() && stateOf("j") == "running"; });
        submit("k", planOf(1));
        until([this] { return running() == 4; });
        CPPUNIT_ASSERT_EQUAL(4, startsInAll());
    }

    void tasksOutliveTheirAgent()
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        submit("j", planOf(4));
        until([this] { return running() == 4; });
        restartAgents();
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::milliseconds(10));
        submit("k", planOf(1));
        until([this] { return stateOf("k") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, running());
        CPPUNIT_ASSERT_EQUAL(5, startsInAll());
    }

    /// Fillers that nobody paces drive serving tasks over their targets.
    void watchesItsWorkerWithoutALeader()
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        submit("j", planOf(2));
        until([this] { return running() == 2; });
        for (auto &core : m_cores)
            core.reset();
        until([this] { return !m_gateway->node->isReady(); });
        const int before = m_workers[0]->polls();
        until([&] { return m_workers[0]->polls() > before + 2; });
    }

    void cancelledJobsStop()
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        submit("j", planOf(4));
        until([this] { return running() == 4; });
        FleetCall call;
        call.kind = CallKind::Cancel;
        call.host = "desk.example";
        call.path = "/counter/j";
        CPPUNIT_ASSERT(CallResult::Done == send(call).result);
        until([this] { return running() == 0; });
        CPPUNIT_ASSERT_EQUAL(std::string("cancelled"), stateOf("j"));
    }

    void requestsAreFollowedById()
    {
        const test::LogCapture log;
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/j";
        call.plan = planOf(1);
        call.request = "r-17";
        CPPUNIT_ASSERT(CallResult::Done == send(call).result);
        // At the entry, at the leader, and at the entry again.
        for (const std::string_view line :
             {"event=call-received request=r-17 kind=submit path=/counter/j deadline_ms=2000\n",
              "event=call-answered request=r-17 kind=submit path=/counter/j result=done ",
              "event=call-finished request=r-17 result=done passed_on=true sent=1 waited_ms="})
            CPPUNIT_ASSERT_MESSAGE(std::string(line), log.text().find(line) != std::string::npos);
    }

    /// Found by a played day: agents looked at their workers every 4 ms until a commit came back.
    void pausesWhileEndsWaitForTheirCommit()
    {
        endWithoutALeader();
        const int before = m_workers[0]->polls();
        until([&] { return m_workers[0]->polls() > before + 5; });
        CPPUNIT_ASSERT(m_workers[0]->shortestIdlePoll());
        CPPUNIT_ASSERT(*m_workers[0]->shortestIdlePoll() >= AgentNodeSettings{}.commitWait);
    }

    /// Ends that are acknowledged late do not count as taken note of.
    void acknowledgesEndsOnceTheyAreCommitted()
    {
        m_workerSettings.commitWait = std::chrono::hours(1);
        restartAgents();
        submit("j", planOf(4));
        until([this] { return stateOf("j") == "completed"; });
        until([this] { return m_workers[0]->listed() + m_workers[1]->listed() == 0; });
        CPPUNIT_ASSERT_EQUAL(4, startsInAll());
    }

    /// An end whose commit was lost with its leader must not stay listed, nor its task run again.
    void tellsTheNextLeaderOfEndsAgain()
    {
        endWithoutALeader();
        for (int i = 0; i < cores; ++i)
            startCore(i, false);
        until([this] { return m_gateway->node->isReady() && stateOf("j") == "completed"; });
        until([this] { return m_workers[0]->listed() + m_workers[1]->listed() == 0; });
        CPPUNIT_ASSERT_EQUAL(2, startsInAll());
    }

    void bindingsSayWhatTheyWaitedFor()
    {
        const test::LogCapture log;
        submit("j", planOf(1));
        until([this] { return stateOf("j") == "completed"; });
        const std::regex bound(
            "event=run-bound task=j\\.0\\.0\\.0 run=1 worker=w[01] ready_ms=\\d+ "
            "commit_ms=\\d+ applied=true");
        CPPUNIT_ASSERT(std::regex_search(log.text(), bound));
    }

    void countsWhatItDoes()
    {
        submit("j", planOf(3));
        until([this] { return stateOf("j") == "completed"; });
        // The agents hear last of the commits.
        until([this] { return counts("guavashift_fleet_agent_end_commit_seconds_count 3"); });
        for (const std::string_view line :
             {"guavashift_fleet_calls_total{kind=\"submit\",result=\"done\"} 1",
              "guavashift_fleet_entry_answer_seconds_count{result=\"done\"} 1",
              "guavashift_fleet_entry_waiting 0", "guavashift_fleet_ready_to_bound_seconds_count 3",
              "guavashift_fleet_agent_starts_total{result=\"done\"} 3"})
            CPPUNIT_ASSERT_MESSAGE(std::string(line), counts(line));
        for (const std::string_view line :
             {"guavashift_fleet_commit_seconds_count 0", "guavashift_fleet_sync_seconds_count 0",
              "guavashift_fleet_agent_looks_total 0"})
            CPPUNIT_ASSERT_MESSAGE(std::string(line), !counts(line));
    }

private:
    /// Leaves both workers with an end that no leader can commit.
    void endWithoutALeader()
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        JobPlan plan = planOf(2);
        plan.steps[0].maxPerWorker = 1;
        submit("j", plan);
        until([this] { return m_workers[0]->running() == 1 && m_workers[1]->running() == 1; });
        for (auto &core : m_cores)
            core.reset();
        until([this] { return !m_gateway->node->isReady(); });
        for (const auto &worker : m_workers)
            worker->finishAll();
    }

    void restartAgents()
    {
        for (int i = 0; i < 2; ++i) {
            m_workers[static_cast<std::size_t>(i)]->disconnect();
            m_agents[static_cast<std::size_t>(i)].reset();
            startAgent(i);
        }
    }

    /// Whether the line stands in the metrics.
    [[nodiscard]] bool counts(std::string_view line)
    {
        return m_metrics.exposition().find(fmt::format("\n{}\n", line)) != std::string::npos;
    }

    [[nodiscard]] FleetSettings settingsOf(int number) const
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

    void startCore(int number, bool first)
    {
        FleetSettings settings = settingsOf(number);
        settings.firstStart = first;
        m_cores[static_cast<std::size_t>(number)] =
            std::make_unique<Hosted<CoreNode>>([&](EventLoop &loop) {
                return std::make_unique<CoreNode>(loop, settings, ChannelSettings{}, readVersion,
                                                  m_metrics,
                                                  static_cast<std::uint64_t>(number) + 77);
            });
    }

    void startAgent(int number)
    {
        const auto place = static_cast<std::size_t>(number);
        FakeWorker &worker = *m_workers[place];
        m_agents[place] = std::make_unique<Hosted<AgentNode>>([&](EventLoop &loop) {
            return std::make_unique<AgentNode>(loop, m_workerSettings, settingsOf(20 + number),
                                               ChannelSettings{}, worker, m_metrics,
                                               static_cast<std::uint64_t>(number) + 99);
        });
        m_agents[place]->node->workerReported(worker.facts(), 1);
    }

    static JobPlan planOf(std::uint32_t tasks)
    {
        JobPlan plan;
        plan.payload = "work";
        plan.steps.resize(1);
        plan.steps[0].tasks = tasks;
        plan.steps[0].size = {1000, 100, 0};
        return plan;
    }

    FleetAnswer send(const FleetCall &call)
    {
        std::optional<FleetAnswer> answer;
        if (call.kind == CallKind::ReplaceConfiguration) {
            m_cores[0]->node->call(call, std::chrono::seconds(2),
                                   [&](FleetAnswer result) { answer = std::move(result); });
        } else {
            m_gateway->node->call(call, std::chrono::seconds(2),
                                  [&](FleetAnswer result) { answer = std::move(result); });
        }
        until([&] { return answer.has_value(); });
        return *answer;
    }

    void submit(const std::string &job, const JobPlan &plan)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = plan;
        CPPUNIT_ASSERT(CallResult::Done == send(call).result);
    }

    std::string stateOf(const std::string &job)
    {
        FleetCall call;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        return send(call).text;
    }

    [[nodiscard]] std::size_t running() const
    {
        return m_workers[0]->running() + m_workers[1]->running();
    }

    [[nodiscard]] int startsInAll() const
    {
        int starts = 0;
        for (const auto &worker : m_workers) {
            for (const auto &[task, count] : worker->starts())
                starts += count;
        }
        return starts;
    }

    /// Lets all nodes work until the condition holds; gives up after a time that none needs.
    void until(const std::function<bool()> &condition)
    {
        const Instant giveUp = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < giveUp);
            constexpr Duration slice = std::chrono::milliseconds(1);
            for (auto &core : m_cores) {
                if (core)
                    core->loop.runOnce(slice);
            }
            m_gateway->loop.runOnce(slice);
            for (auto &agent : m_agents) {
                if (agent)
                    agent->loop.runOnce(slice);
            }
        }
    }

    std::uint16_t m_port = 0;
    std::filesystem::path m_folder;
    FleetMetrics m_metrics; ///< Of all nodes together.
    std::array<std::unique_ptr<Hosted<CoreNode>>, cores> m_cores;
    std::unique_ptr<Hosted<GatewayNode>> m_gateway;
    AgentNodeSettings m_workerSettings;
    std::vector<std::unique_ptr<FakeWorker>> m_workers;
    std::vector<std::unique_ptr<Hosted<AgentNode>>> m_agents;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
