#include <Guavashift/Fleet/MetricsServer.h>
#include <Guavashift/Http/HttpClient.h>
#include <UnitTests/Support/FreePort.h>

#include <map>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The metrics of a process, read over HTTP.
class FleetMetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetMetricsTest);
    CPPUNIT_TEST(servesRecordedMetrics);
    CPPUNIT_TEST(servesNoOtherPath);
    CPPUNIT_TEST(wholePageOfABusyControlProcessIsKept);
    CPPUNIT_TEST(gaugesAndCountersComeFirst);
    CPPUNIT_TEST(leavesOutEmptyHistograms);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_http.port = test::freePort();
        m_server = std::make_unique<MetricsServer>(m_http, m_metrics);
        CPPUNIT_ASSERT(m_server->start());
    }

    void tearDown() override { m_server->stop(); }

    void servesRecordedMetrics()
    {
        m_metrics.committed(3, std::chrono::milliseconds(10), std::chrono::milliseconds(6));
        m_metrics.committed(1, std::chrono::milliseconds(40), std::chrono::milliseconds(6));
        m_metrics.answered(CallKind::Cancel, CallResult::NoJob);
        m_metrics.startAnswered(WorkerCallResult::NoCapacity);
        m_metrics.setWaiting(7);
        m_metrics.setLoad(1.2345);
        const std::string text = read("/metrics", 200);
        for (const std::string_view line :
             {"\nguavashift_fleet_commit_commands_count 2\n",
              "\nguavashift_fleet_commit_commands_sum 4\n",
              "\nguavashift_fleet_commit_seconds_bucket{le=\"0.016\"} 1\n",
              "\nguavashift_fleet_sync_seconds_bucket{le=\"0.008\"} 2\n",
              "\nguavashift_fleet_calls_total{kind=\"cancel\",result=\"no-job\"} 1\n",
              "\nguavashift_fleet_agent_starts_total{result=\"no-room\"} 1\n",
              "\nguavashift_fleet_entry_waiting 7\n", "\nguavashift_fleet_load 1.23\n",
              "\nguavashift_fleet_log_lines_dropped_total 0\n"})
            CPPUNIT_ASSERT_MESSAGE(std::string(line), text.find(line) != std::string::npos);
    }

    void servesNoOtherPath() { (void)read("/", 404); }

    /// Guards against metrics of a leader that no one sees, since the platform's collector keeps
    /// only the start of a page.
    void wholePageOfABusyControlProcessIsKept()
    {
        // Every answer that a leader gives to each kind of call.
        using Result = CallResult;
        const std::map<CallKind, std::vector<Result>> answers{
            {CallKind::Submit,
             {Result::Done, Result::Invalid, Result::NoQueue, Result::Unavailable,
              Result::Unknown}},
            {CallKind::Query,
             {Result::State, Result::Pending, Result::NoJob, Result::NoQueue, Result::Unavailable}},
            {CallKind::Cancel,
             {Result::Done, Result::NoJob, Result::NoQueue, Result::Unavailable, Result::Unknown}},
            {CallKind::ReplaceConfiguration, {Result::Done, Result::Unavailable, Result::Unknown}},
            {CallKind::ReadConfiguration, {Result::Document, Result::Unavailable}},
            {CallKind::Evacuate,
             {Result::Done, Result::Invalid, Result::Unavailable, Result::Unknown}},
            {CallKind::TakeBack,
             {Result::Done, Result::Invalid, Result::Unavailable, Result::Unknown}}};
        // Numbers with as many digits as a long day has.
        constexpr int times = 12'345;
        for (int i = 0; i < times; ++i) {
            for (const auto &[kind, results] : answers) {
                for (const Result result : results)
                    m_metrics.answered(kind, result);
            }
            m_metrics.roundEnded(std::chrono::microseconds(137 * i + 1));
            m_metrics.committed(7, std::chrono::microseconds(731 * i + 3),
                                std::chrono::microseconds(317 * i + 7));
            m_metrics.bound(std::chrono::microseconds(1373 * i + 9));
            m_metrics.leadershipChanged();
            for (const CutReason reason :
                 {CutReason::TooLarge, CutReason::Memory, CutReason::Connections, CutReason::Slow})
                m_metrics.refused(reason);
        }
        for (int i = 0; i < times; ++i) {
            for (const NearOutcome outcome :
                 {NearOutcome::NearPlace, NearOutcome::GivenUp, NearOutcome::Ended})
                m_metrics.nearWaitEnded(outcome);
        }
        m_metrics.setLongRunningWaits(123, std::chrono::milliseconds(123'456));
        m_metrics.setIdleJobs(1234);
        m_metrics.setEvacuatedDomains(123);
        m_metrics.setLoad(12.345);
        const std::string text = read("/metrics", 200);
        for (const std::string_view name :
             {"round_seconds_count", "commit_seconds_count", "sync_seconds_count",
              "ready_to_bound_seconds_count", "commit_commands_count", "leadership_changes_total",
              "long_running_waits", "idle_jobs", "evacuated", "load", "log_lines_dropped_total"})
            CPPUNIT_ASSERT_MESSAGE(std::string(name),
                                   text.find(fmt::format("\nguavashift_fleet_{} ", name))
                                       != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} bytes", text.size()),
                               text.size() <= FleetMetrics::maxPageBytes);
    }

    /// Guards against histograms that push the numbers which matter most off the page.
    void gaugesAndCountersComeFirst()
    {
        m_metrics.roundEnded(std::chrono::milliseconds(1));
        m_metrics.answered(CallKind::Submit, CallResult::Done);
        const std::string text = read("/metrics", 200);
        const std::size_t firstHistogram = text.find(" histogram\n");
        CPPUNIT_ASSERT(firstHistogram != std::string::npos);
        CPPUNIT_ASSERT(text.rfind(" gauge\n") < firstHistogram);
        CPPUNIT_ASSERT(text.rfind(" counter\n") < firstHistogram);
    }

    /// Guards against pages filled by the histograms of other roles.
    void leavesOutEmptyHistograms()
    {
        m_metrics.endCommitted(std::chrono::milliseconds(3));
        const std::string text = read("/metrics", 200);
        CPPUNIT_ASSERT(text.find("guavashift_fleet_agent_end_commit_seconds_count 1\n")
                       != std::string::npos);
        CPPUNIT_ASSERT(text.find("guavashift_fleet_commit") == std::string::npos);
        CPPUNIT_ASSERT(text.find("# HELP") == std::string::npos);
    }

private:
    [[nodiscard]] std::string read(const std::string &path, int status) const
    {
        HttpClient client({});
        HttpCall call;
        call.address = fmt::format("{}:{}", m_http.ip, m_http.port);
        call.target = path;
        const auto answer = client.send(call);
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(status, answer->status);
        return answer->body;
    }

    FleetMetrics m_metrics;
    HttpServerSettings m_http;
    std::unique_ptr<MetricsServer> m_server;
};

CPPUNIT_TEST_SUITE_REGISTRATION(FleetMetricsTest);
