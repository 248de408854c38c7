#include <UnitTests/Fleet/FleetFixture.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

#include <regex>
#include <thread>

using namespace guavashift;

namespace {

/// A session with the leader in which the test itself acts as the agent, of a worker with the label
/// "manual". For use on the event loop's thread only.
class ManualAgent final
{
public:
    ManualAgent(EventLoop &loop, const std::string &leader)
        : m_connection(loop, ChannelSettings{})
    {
        m_connection.setHandlers([this](std::string_view frame) { received(frame); }, {});
        m_connection.connect(leader);
        send(OpenSession{NodeRole::Agent, "manual-node", {}});
        WorkerFacts facts;
        facts.lifetime = m_lifetime;
        facts.service = "orders";
        facts.capacity = {64'000, 256'000, 0};
        facts.labels = {"manual"};
        send(WorkerReport{facts});
        send(Inventory{m_lifetime, {}});
    }

    /// Reports ends of runs as done.
    void reportEnds(const std::vector<StartOrder> &runs)
    {
        RunsEnded ended{m_lifetime, {}};
        for (const StartOrder &run : runs)
            ended.ends.push_back({++m_ends, {run.traits.task, run.traits.run, RunEnd::Done, {}}});
        send(ended);
    }
    /// Asks for the leader's address. The answer shows that everything sent before was read.
    void askForLeader() { send(LeaderQuery{}); }

    [[nodiscard]] const std::vector<StartOrder> &starts() const { return m_starts; }
    [[nodiscard]] int leaderAnswers() const { return m_leaderAnswers; }
    /// Highest number of an end that the leader reported as committed.
    [[nodiscard]] std::uint64_t committedUpTo() const { return m_committedUpTo; }

private:
    void send(const FleetMessage &message) { m_connection.send(encodeFrame(message)); }

    void received(std::string_view frame)
    {
        const std::optional<FleetMessage> message = decodeFrame(frame);
        CPPUNIT_ASSERT(message);
        std::visit(
            Overloaded{[&](const StartOrder &order) { m_starts.push_back(order); },
                       [&](const LeaderReply &) { ++m_leaderAnswers; },
                       [&](const EndsCommitted &committed) { m_committedUpTo = committed.upTo; },
                       [](const auto &) {}},
            *message);
    }

    const Lifetime m_lifetime{"manual", 3000};
    FrameConnection m_connection;
    std::vector<StartOrder> m_starts;
    int m_leaderAnswers = 0;
    std::uint64_t m_ends = 0;
    std::uint64_t m_committedUpTo = 0;
};

} // namespace

/// Real nodes on loopback addresses in one thread, with workers in memory.
class FleetTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(FleetTest);
    CPPUNIT_TEST(runsJobWithTwoSteps);
    CPPUNIT_TEST(resentJobRunsOnce);
    CPPUNIT_TEST(resolvesUnansweredStarts);
    CPPUNIT_TEST(resolvesUnansweredStartsByNewSession);
    CPPUNIT_TEST(startsNothingOnUnresponsiveWorker);
    CPPUNIT_TEST(recoversFromLossOfLeader);
    CPPUNIT_TEST(keepsStateWhenAllControlProcessesRestart);
    CPPUNIT_TEST(tasksSurviveRestartOfAgent);
    CPPUNIT_TEST(pollsWorkerWithoutLeader);
    CPPUNIT_TEST(agentWhoseSessionWasReplacedOpensAnother);
    CPPUNIT_TEST(emptyDiskJoinsThroughTheLeaderThatSendsToIt);
    CPPUNIT_TEST(cancelledJobStops);
    CPPUNIT_TEST(logsRequestIdAtEveryStep);
    CPPUNIT_TEST(pausesPollsWhileEndsAwaitCommit);
    CPPUNIT_TEST(acknowledgesCommittedEndsAtOnce);
    CPPUNIT_TEST(reportsEndsAgainToNextLeader);
    CPPUNIT_TEST(reportsNoLostEndsOfFullEntryAsCommitted);
    CPPUNIT_TEST(reportsNoEndLostEarlierAsCommitted);
    CPPUNIT_TEST(restartsTasksOfSilentWorker);
    CPPUNIT_TEST(restartsTasksOfUnhealthyWorker);
    CPPUNIT_TEST(givesUpTaskThatCrashesWorkers);
    CPPUNIT_TEST(restartsLongRunningTaskThatCrashesWorkers);
    CPPUNIT_TEST(countsCrashesAcrossLeaders);
    CPPUNIT_TEST(logsRunsThatMayHaveCrashedAWorker);
    CPPUNIT_TEST(logsTimesOfBinding);
    CPPUNIT_TEST(logsWhyLeadershipChanged);
    CPPUNIT_TEST(logsSlowRounds);
    CPPUNIT_TEST(logsLongRunningTasksThatWait);
    CPPUNIT_TEST(logsLongRunningTasksOfASilentAgent);
    CPPUNIT_TEST(recordsMetrics);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsJobWithTwoSteps()
    {
        JobPlan plan = planOf(4);
        plan.steps.push_back(plan.steps[0]);
        plan.steps[1].after = {0};
        submit("j", plan);
        until([this] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(8, totalStarts());
        CPPUNIT_ASSERT(!m_workers[0]->sawDuplicateRun() && !m_workers[1]->sawDuplicateRun());
    }

    void resentJobRunsOnce()
    {
        submit("j", planOf(1));
        submit("j", planOf(1));
        until([this] { return stateOf("j") == "completed"; });
        submit("j", planOf(1));
        CPPUNIT_ASSERT_EQUAL(1, totalStarts());
        FleetCall call;
        call.path = "/counter/unknown";
        call.host = "desk.example";
        CPPUNIT_ASSERT(CallResult::NoJob == send(call).result);
        call.host = "elsewhere.example";
        CPPUNIT_ASSERT(CallResult::NoQueue == send(call).result);
    }

    /// Guards against a use after free: a refusal named a task that had been erased, so that its
    /// run stayed bound forever.
    void resolvesUnansweredStarts()
    {
        for (const auto &worker : m_workers)
            worker->dropStarts(3);
        // Too long for the small-string buffer, as the platform's ids are.
        submit("0123456789abcdef", planOf(8));
        until([this] { return stateOf("0123456789abcdef") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(8, totalStarts());
    }

    /// Guards against starts without an answer that stay bound forever because their session has no
    /// higher fencing token left.
    void resolvesUnansweredStartsByNewSession()
    {
        m_agentSettings.fenceSteps = 0;
        restartAgents();
        for (const auto &worker : m_workers)
            worker->dropStarts(3);
        submit("j", planOf(8));
        until([this] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(8, totalStarts());
    }

    /// A worker that restarts under the same name breaks its agent's poll. Until the next poll
    /// shows which lifetime answers, a start could run in one lifetime and count as lost with the
    /// other.
    void startsNothingOnUnresponsiveWorker()
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

    void recoversFromLossOfLeader()
    {
        submit("before", planOf(1));
        stopLeader();
        until([this] { return !m_gateway->node->isReady(); });
        until([this] { return m_gateway->node->isReady(); });
        submit("after", planOf(2));
        until([this] { return stateOf("after") == "completed"; });
        until([this] { return stateOf("before") == "completed"; });
    }

    /// Guards against a new leader that decides before it has applied its log.
    void keepsStateWhenAllControlProcessesRestart()
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
        CPPUNIT_ASSERT_EQUAL(4, totalStarts());
    }

    void tasksSurviveRestartOfAgent()
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
        CPPUNIT_ASSERT_EQUAL(5, totalStarts());
    }

    /// Guards against agents that stop polling without a leader: best-effort tasks that are not
    /// throttled drive latency-critical tasks over their targets.
    void pollsWorkerWithoutLeader()
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

    /// Guards against an agent that keeps a session which its leader has forgotten: the leader then
    /// ignores its reports and its renewals for good.
    void agentWhoseSessionWasReplacedOpensAnother()
    {
        std::size_t leader = 0;
        while (!m_cores[leader]->node->leads())
            ++leader;
        // The request of a connection that the agent has given up arrives after its present one.
        bool opened = false;
        FrameConnection late(m_gateway->loop, ChannelSettings{});
        late.setHandlers(
            [&](std::string_view frame) {
                const std::optional<FleetMessage> message = decodeFrame(frame);
                opened = opened || (message && std::holds_alternative<SessionOpened>(*message));
            },
            {});
        late.connect(settingsOf(static_cast<int>(leader)).channelAddress());
        late.send(encodeFrame(OpenSession{NodeRole::Agent, settingsOf(20).node, {}}));
        until([&] { return opened; });
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        // More than one worker has room for.
        submit("j", planOf(20));
        until([this] { return running() == 20; });
    }

    /// Guards against a control process with an empty disk that never joins, because its seeds are
    /// outdated, though the leader sends messages for its old disk to it.
    void emptyDiskJoinsThroughTheLeaderThatSendsToIt()
    {
        std::size_t leader = 0;
        while (!m_cores[leader]->node->leads())
            ++leader;
        const std::size_t emptied = (leader + 1) % cores;
        const std::size_t other = (leader + 2) % cores;
        m_cores[emptied].reset();
        std::filesystem::remove_all(settingsOf(static_cast<int>(emptied)).dataFolder);
        startCore(static_cast<int>(emptied), false);
        m_cores[emptied]->node->setSeeds({settingsOf(cores).channelAddress()});
        runUntil([] { return false; }, std::chrono::seconds(8));
        // The two that are left are a quorum only if the emptied one is a voter again.
        m_cores[other].reset();
        submit("j", planOf(2));
        until([this] { return stateOf("j") == "completed"; });
    }

    void cancelledJobStops()
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

    void logsRequestIdAtEveryStep()
    {
        const test::LogCapture log;
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/j";
        call.plan = planOf(1);
        call.request = "r-17";
        CPPUNIT_ASSERT(CallResult::Done == send(call).result);
        // From the entry, the leader, and the entry again.
        for (const std::string_view line :
             {"event=call-received request=r-17 kind=submit path=/counter/j deadline_ms=2000\n",
              "event=call-answered request=r-17 kind=submit path=/counter/j result=done ",
              "event=call-finished request=r-17 result=done passed_on=true sent=1 waited_ms="})
            CPPUNIT_ASSERT_MESSAGE(std::string(line), log.text().find(line) != std::string::npos);
    }

    /// Guards against agents that poll their workers without a pause (every 4 ms was observed)
    /// until the commit of an end is reported.
    void pausesPollsWhileEndsAwaitCommit()
    {
        endRunsWithoutLeader();
        const int before = m_workers[0]->polls();
        until([&] { return m_workers[0]->polls() > before + 5; });
        CPPUNIT_ASSERT(m_workers[0]->shortestIdlePoll());
        CPPUNIT_ASSERT(*m_workers[0]->shortestIdlePoll() >= AgentNodeSettings{}.commitWait);
    }

    /// Guards against committed ends that are acknowledged only after the pause between polls. Ends
    /// that are acknowledged late do not count as noted.
    void acknowledgesCommittedEndsAtOnce()
    {
        m_agentSettings.commitWait = std::chrono::hours(1);
        restartAgents();
        submit("j", planOf(4));
        until([this] { return stateOf("j") == "completed"; });
        until([this] { return m_workers[0]->listed() + m_workers[1]->listed() == 0; });
        CPPUNIT_ASSERT_EQUAL(4, totalStarts());
    }

    /// Guards against ends whose commit was lost with the leader: they must not stay listed, and
    /// their task must not run again.
    void reportsEndsAgainToNextLeader()
    {
        endRunsWithoutLeader();
        for (int i = 0; i < cores; ++i)
            startCore(i, false);
        until([this] { return m_gateway->node->isReady() && stateOf("j") == "completed"; });
        until([this] { return m_workers[0]->listed() + m_workers[1]->listed() == 0; });
        CPPUNIT_ASSERT_EQUAL(2, totalStarts());
    }

    /// Guards against ends that are reported as committed although the leader could not append them
    /// during a transfer of leadership. Their workers forget them, and done tasks run again. Here
    /// the ends fill one entry, so that the empty proposal which follows them gets no part in it.
    void reportsNoLostEndsOfFullEntryAsCommitted()
    {
        constexpr std::uint32_t commandsOfFullEntry = 1024;
        const std::unique_ptr<ManualAgent> agent = startOnManualAgent(commandsOfFullEntry);
        CoreNode &leader = beginTransfer();
        agent->reportEnds(agent->starts());
        untilWithoutFollowers([&] { return !leader.leads(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, agent->committedUpTo());
    }

    /// The same with an end that was lost in an earlier round of the leader's loop: a later report
    /// in the same session, with an end that needs no command, acknowledged both.
    void reportsNoEndLostEarlierAsCommitted()
    {
        const std::unique_ptr<ManualAgent> agent = startOnManualAgent(1);
        CoreNode &leader = beginTransfer();
        agent->reportEnds(agent->starts());
        agent->askForLeader();
        untilWithoutFollowers([&] { return agent->leaderAnswers() == 1; });
        CPPUNIT_ASSERT(leader.leads());
        StartOrder settled = agent->starts().front();
        ++settled.traits.run;
        agent->reportEnds({settled});
        untilWithoutFollowers([&] { return !leader.leads(); });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, agent->committedUpTo());
    }

    /// Guards against tasks that stay bound to a worker that answers nothing any more, while its
    /// agent has a session: each unanswered poll moved the time after which nothing runs there.
    void restartsTasksOfSilentWorker() { assertRestartsElsewhere(WorkerCallResult::NoAnswer); }

    /// Guards against the same for a worker that answers all calls with an error.
    void restartsTasksOfUnhealthyWorker() { assertRestartsElsewhere(WorkerCallResult::Unhealthy); }

    /// Guards against a task that crashes each worker that starts it and is started for ever.
    void givesUpTaskThatCrashesWorkers()
    {
        assertGivesUp(planOf(1), [] {});
    }

    /// Guards against a long-running job that is shown as failed because workers crash under it,
    /// and against a task of it that takes down one worker after the other.
    void restartsLongRunningTaskThatCrashesWorkers()
    {
        JobPlan plan = planOf(1);
        plan.steps[0].longRunning = true;
        const Instant begin = BootClock::now();
        submitDeadly(plan, [] {});
        const auto starts = [this] { return startsOf({"deadly", 0, 0, 0}); };
        until([&] { return starts() >= 5 || isInState("deadly", "failed"); });
        CPPUNIT_ASSERT(starts() >= 5);
        // After two starts the pauses grow: 0.75, 1.5 and 2 s.
        CPPUNIT_ASSERT(BootClock::now() - begin >= std::chrono::seconds(4));
        until([this] { return isInState("beside", "completed"); });
        CPPUNIT_ASSERT(isInState("deadly", "running"));
        // It goes on, and no faster.
        const int startsBefore = starts();
        const Instant middle = BootClock::now();
        until([&] { return starts() >= startsBefore + 2; });
        CPPUNIT_ASSERT(BootClock::now() - middle >= std::chrono::milliseconds(1900));
        CPPUNIT_ASSERT(isInState("deadly", "running"));
    }

    /// Guards against a count of crashes that only the leader knows.
    void countsCrashesAcrossLeaders()
    {
        assertGivesUp(planOf(1), [this] { stopLeader(); });
    }

    void logsRunsThatMayHaveCrashedAWorker()
    {
        const test::LogCapture log;
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        submit("j", planOf(1));
        until([this] { return running() == 1; });
        m_workers[m_workers[0]->running() == 1 ? 0 : 1]->crash();
        until([this] { return totalStarts() == 2; });
        CPPUNIT_ASSERT(log.text().find("event=worker-crashed") != std::string::npos);
        CPPUNIT_ASSERT(log.text().find("recent=j.0.0.0:1") != std::string::npos);
    }

    void logsTimesOfBinding()
    {
        const test::LogCapture log;
        submit("j", planOf(1));
        until([this] { return stateOf("j") == "completed"; });
        const std::regex bound(
            "event=run-bound task=j\\.0\\.0\\.0 run=1 worker=w[01] ready_ms=\\d+ "
            "commit_ms=\\d+ applied=true");
        CPPUNIT_ASSERT(std::regex_search(log.text(), bound));
    }

    /// Guards against a change of leader whose cause is in no log.
    void logsWhyLeadershipChanged()
    {
        const double changesBefore = metric("guavashift_fleet_leadership_changes_total");
        const test::LogCapture log;
        stopLeader();
        until([this] { return !m_gateway->node->isReady(); });
        until([this] { return m_gateway->node->isReady(); });
        for (const char *line :
             {"event=role-changed .* leads=false .* reason=leader-silent leader_contact_ms=\\d{3,}",
              "event=role-changed .* leads=true .* reason=elected quorum_contact_ms=\\d+"})
            CPPUNIT_ASSERT_MESSAGE(line, std::regex_search(log.text(), std::regex(line)));
        // At least the next leader's election; the first one was stopped, not deposed.
        CPPUNIT_ASSERT(metric("guavashift_fleet_leadership_changes_total") > changesBefore);
    }

    /// Guards against a control process, an entry or an agent that does not log its slow rounds.
    void logsSlowRounds()
    {
        for (EventLoop *loop : {&m_cores[0]->loop, &m_gateway->loop, &m_agents[0]->loop}) {
            const test::LogCapture log;
            loop->post([] { std::this_thread::sleep_for(RoundMonitorSettings{}.slowRound); });
            loop->runOnce(Duration::zero());
            // Another slow round within the second before delays the line.
            const Instant nextLine = BootClock::now() + RoundMonitorSettings{}.logInterval;
            until([&] { return BootClock::now() >= nextLine; });
            loop->runOnce(Duration::zero());
            const std::regex line(
                "event=round-slow round_ms=\\d{3,} cpu_ms=\\d+ events=\\d+ events_ms=\\d+ "
                "posted_ms=\\d{3,} ");
            CPPUNIT_ASSERT(std::regex_search(log.text(), line));
        }
    }

    /// Guards against a long-running task that waits and is named nowhere above the debug level.
    void logsLongRunningTasksThatWait()
    {
        JobPlan plan = planOf(1);
        plan.steps[0].longRunning = true;
        plan.steps[0].size.milliCores = 1'000'000;
        const test::LogCapture log;
        submit("j", plan);
        const std::regex line(
            "event=long-running-waits count=1 task=j\\.0\\.0\\.0 age_ms=[2-9]\\d{3} "
            "state=queued eligible=0 no_session=0 .* capacity=2 interference=0");
        until([&] { return std::regex_search(log.text(), line); });
        CPPUNIT_ASSERT_EQUAL(1.0, metric("guavashift_fleet_long_running_waits"));
        CPPUNIT_ASSERT(metric("guavashift_fleet_long_running_oldest_seconds") >= 2);
        FleetCall cancel;
        cancel.kind = CallKind::Cancel;
        cancel.host = "desk.example";
        cancel.path = "/counter/j";
        CPPUNIT_ASSERT(CallResult::Done == send(cancel).result);
        until([&] { return metric("guavashift_fleet_long_running_waits") == 0; });
    }

    /// Guards against a bound task of which nothing is heard that looks like one in the queue.
    void logsLongRunningTasksOfASilentAgent()
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        JobPlan plan = planOf(1);
        plan.steps[0].longRunning = true;
        submit("j", plan);
        until([this] { return running() == 1; });
        const Instant listed = BootClock::now() + 2 * m_agentSettings.tableInterval;
        until([&] { return BootClock::now() >= listed; });
        const test::LogCapture log;
        m_agents.clear();
        const std::regex line("event=long-running-waits count=1 task=j\\.0\\.0\\.0 age_ms=\\d+ "
                              "state=bound run=1 worker=w[01] committed=true listed=true "
                              "report_age_ms=[2-9]\\d{3} stop_requested=false end_proposed=false");
        until([&] { return std::regex_search(log.text(), line); });
    }

    void recordsMetrics()
    {
        submit("j", planOf(3));
        until([this] { return stateOf("j") == "completed"; });
        // The agents receive the commits last.
        until([this] { return hasMetric("guavashift_fleet_agent_end_commit_seconds_count 3"); });
        for (const std::string_view line :
             {"guavashift_fleet_calls_total{kind=\"submit\",result=\"done\"} 1",
              "guavashift_fleet_entry_answer_seconds_count{result=\"done\"} 1",
              "guavashift_fleet_entry_waiting 0", "guavashift_fleet_ready_to_bound_seconds_count 3",
              "guavashift_fleet_agent_starts_total{result=\"done\"} 3"})
            CPPUNIT_ASSERT_MESSAGE(std::string(line), hasMetric(line));
        // Empty histograms are not exported, so these must be there and count something.
        for (const std::string_view name :
             {"guavashift_fleet_commit_seconds_count", "guavashift_fleet_sync_seconds_count",
              "guavashift_fleet_round_seconds_count", "guavashift_fleet_agent_looks_total"})
            CPPUNIT_ASSERT_MESSAGE(std::string(name), metric(name) > 0);
    }

private:
    /// Lets all calls to the worker of a task fail, and waits until the task starts elsewhere.
    void assertRestartsElsewhere(WorkerCallResult result)
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        submit("j", planOf(1));
        until([this] { return running() == 1; });
        m_workers[m_workers[0]->running() == 1 ? 0 : 1]->failAll(result);
        until([this] { return totalStarts() == 2; });
    }

    /// Submits a job whose tasks crash their workers, beside one whose tasks do not, and calls
    /// `afterFirstCrash`.
    void submitDeadly(const JobPlan &plan, const std::function<void()> &afterFirstCrash)
    {
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            m_workers[i]->crashOn("deadly");
            m_workers[i]->setTaskTime(std::chrono::milliseconds(1500));
            m_workers[i]->setRestarted([this, i] {
                m_agents[i]->node->workerReported({m_workers[i]->facts(), 1, {}});
            });
        }
        submit("deadly", plan);
        until([this] { return m_workers[0]->crashes() + m_workers[1]->crashes() == 1; });
        afterFirstCrash();
        submitAgain("beside", planOf(4));
    }

    /// The same. The deadly job must fail after few starts and the other one complete.
    void assertGivesUp(const JobPlan &plan, const std::function<void()> &afterFirstCrash)
    {
        // Of which two follow three crashes.
        constexpr int maxStarts = 5;
        submitDeadly(plan, afterFirstCrash);
        const auto starts = [this] { return startsOf({"deadly", 0, 0, 0}); };
        until([&] { return starts() > maxStarts || isInState("deadly", "failed"); });
        CPPUNIT_ASSERT(starts() <= maxStarts);
        until([this] { return isInState("beside", "completed"); });
        CPPUNIT_ASSERT(starts() <= maxStarts);
    }

    /// Submits a job, also while there is no leader.
    void submitAgain(const std::string &job, const JobPlan &plan)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = plan;
        until([&] { return send(call).result == CallResult::Done; });
    }

    /// Whether the job's state could be read and is this one.
    bool isInState(const std::string &job, std::string_view state)
    {
        FleetCall call;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        const FleetAnswer answer = send(call);
        return answer.result == CallResult::State && answer.text == state;
    }

    [[nodiscard]] int startsOf(const TaskRef &task) const
    {
        int starts = 0;
        for (const auto &worker : m_workers) {
            const auto found = worker->starts().find(task);
            starts += found == worker->starts().end() ? 0 : found->second;
        }
        return starts;
    }

    void stopLeader()
    {
        for (auto &core : m_cores) {
            if (core->node->leads()) {
                core.reset();
                return;
            }
        }
    }

    /// Leaves an end on both workers that no leader can commit.
    void endRunsWithoutLeader()
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

    /// Starts an agent that the test acts for, and a job whose tasks all run there.
    std::unique_ptr<ManualAgent> startOnManualAgent(std::uint32_t tasks)
    {
        int leader = 0;
        while (!m_cores[static_cast<std::size_t>(leader)]->node->leads())
            ++leader;
        auto agent =
            std::make_unique<ManualAgent>(m_gateway->loop, settingsOf(leader).channelAddress());
        JobPlan plan = planOf(tasks);
        plan.steps[0].size = {1, 1, 0};
        plan.steps[0].requiredLabel = "manual";
        submit("j", plan);
        until([&] { return agent->starts().size() == tasks; });
        return agent;
    }

    /// Begins a transfer of leadership. It stays pending as long as the followers' loops do not
    /// run, until the leader steps down.
    CoreNode &beginTransfer()
    {
        for (auto &core : m_cores) {
            if (core->node->leads()) {
                core->node->drain();
                return *core->node;
            }
        }
        CPPUNIT_FAIL("no control process leads");
    }

    /// Runs the loops of the leader and of the entry until the condition holds.
    void untilWithoutFollowers(const std::function<bool()> &condition)
    {
        std::array<std::unique_ptr<Hosted<CoreNode>>, cores> followers;
        for (std::size_t i = 0; i < followers.size(); ++i) {
            if (!m_cores[i]->node->leads())
                followers[i] = std::move(m_cores[i]);
        }
        until(condition);
        for (std::size_t i = 0; i < followers.size(); ++i) {
            if (followers[i])
                m_cores[i] = std::move(followers[i]);
        }
    }

    void restartAgents()
    {
        for (int i = 0; i < 2; ++i) {
            m_workers[static_cast<std::size_t>(i)]->disconnect();
            m_agents[static_cast<std::size_t>(i)].reset();
            startAgent(i);
        }
    }

    /// Whether the exported metrics contain the line.
    [[nodiscard]] bool hasMetric(std::string_view line)
    {
        return m_metrics.exposition().find(fmt::format("\n{}\n", line)) != std::string::npos;
    }

    /// Value of an exported metric without labels.
    [[nodiscard]] double metric(std::string_view name)
    {
        const std::string text = m_metrics.exposition();
        const std::string start = fmt::format("\n{} ", name);
        const std::size_t found = text.find(start);
        CPPUNIT_ASSERT_MESSAGE(std::string(name), found != std::string::npos);
        return std::stod(text.substr(found + start.size()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
