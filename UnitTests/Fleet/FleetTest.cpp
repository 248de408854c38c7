#include <UnitTests/Fleet/FleetScenario.h>

using namespace guavashift;

/// Real nodes on loopback addresses in one thread, with workers in memory.
class FleetTest : public FleetScenario
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetTest);
