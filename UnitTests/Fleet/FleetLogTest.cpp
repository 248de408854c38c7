#include <UnitTests/Fleet/FleetScenario.h>

#include <regex>
#include <thread>

using namespace guavashift;

/// What operators see of real nodes on loopback addresses: log lines and metrics.
class FleetLogTest : public FleetScenario
{
    CPPUNIT_TEST_SUITE(FleetLogTest);
    CPPUNIT_TEST(logsRequestIdAtEveryStep);
    CPPUNIT_TEST(logsRunsThatMayHaveCrashedAWorker);
    CPPUNIT_TEST(logsTimesOfBinding);
    CPPUNIT_TEST(logsWhyLeadershipChanged);
    CPPUNIT_TEST(logsSlowRounds);
    CPPUNIT_TEST(logsLongRunningTasksThatWait);
    CPPUNIT_TEST(logsLongRunningTasksOfASilentAgent);
    CPPUNIT_TEST(recordsMetrics);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetLogTest);
