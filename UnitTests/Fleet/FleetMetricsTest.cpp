#include <Guavashift/Fleet/MetricsServer.h>
#include <Guavashift/Http/HttpClient.h>
#include <UnitTests/Support/FreePort.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The metrics of a process, read over HTTP.
class FleetMetricsTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FleetMetricsTest);
    CPPUNIT_TEST(servesRecordedMetrics);
    CPPUNIT_TEST(servesNoOtherPath);
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
        const std::string text = read("/metrics", 200);
        for (const std::string_view line :
             {"\nguavashift_fleet_commit_commands_count 2\n",
              "\nguavashift_fleet_commit_commands_sum 4\n",
              "\nguavashift_fleet_commit_seconds_bucket{le=\"0.016\"} 1\n",
              "\nguavashift_fleet_sync_seconds_bucket{le=\"0.008\"} 2\n",
              "\nguavashift_fleet_calls_total{kind=\"cancel\",result=\"no-job\"} 1\n",
              "\nguavashift_fleet_agent_starts_total{result=\"no-room\"} 1\n",
              "\nguavashift_fleet_entry_waiting 7\n",
              "\nguavashift_fleet_log_lines_dropped_total 0\n"})
            CPPUNIT_ASSERT_MESSAGE(std::string(line), text.find(line) != std::string::npos);
    }

    void servesNoOtherPath() { (void)read("/", 404); }

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
