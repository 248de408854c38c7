#include <UnitTests/Support/FreePort.h>

#include <platform/Platform.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;
using namespace guavashift::platform;

namespace {

/// A worker that gives every call the same answer.
class UniformWorker final : public WorkerPort
{
public:
    void setReply(const WorkerReply &reply) { m_reply = reply; }

    void poll(const PollRequest &, Callback) override { }
    void probe(const ProbeRequest &, Callback callback) override { callback(m_reply); }
    void start(const StartRequest &, Callback callback) override { callback(m_reply); }
    void stop(const StopRequest &, Callback callback) override { callback(m_reply); }
    void throttle(const ThrottleRequest &, Callback callback) override { callback(m_reply); }

private:
    WorkerReply m_reply;
};

} // namespace

/// Responses to the reports that arrive at an agent.
class WorkerReportTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerReportTest);
    CPPUNIT_TEST(acknowledgesItsWorkersReports);
    CPPUNIT_TEST(refusesOtherWorkersReports);
    CPPUNIT_TEST(refusesReportsWhileTheWorkerIsSilent);
    CPPUNIT_TEST(refusesUnreadableReports);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{64});
        CPPUNIT_ASSERT(m_loop->open());
        FleetSettings settings;
        settings.node = "side";
        settings.ip = "127.0.0.9";
        settings.channelPort = test::freePort();
        m_agent = std::make_unique<AgentNode>(*m_loop, AgentNodeSettings{}, settings,
                                              ChannelSettings{}, m_worker, m_metrics, 5);
    }

    void tearDown() override
    {
        m_agent.reset();
        m_loop.reset();
    }

    void acknowledgesItsWorkersReports()
    {
        m_worker.setReply(replyOf(7000));
        CPPUNIT_ASSERT_EQUAL(200, statusOf("PUT", "i-1", report(7000, 1)));
        CPPUNIT_ASSERT_EQUAL(200, statusOf("PUT", "i-1", report(7000, 2)));
        CPPUNIT_ASSERT_EQUAL(200, statusOf("DELETE", "i-1", ""));
    }

    /// Guards against a worker that counts on the acknowledgement of an agent which does nothing
    /// with its report.
    void refusesOtherWorkersReports()
    {
        m_worker.setReply(replyOf(7000));
        CPPUNIT_ASSERT_EQUAL(200, statusOf("PUT", "i-1", report(7000, 1)));
        // The worker knows its own name only.
        WorkerReply refusal;
        refusal.result = WorkerCallResult::OtherLifetime;
        m_worker.setReply(refusal);
        CPPUNIT_ASSERT_EQUAL(421, statusOf("PUT", "i-9", report(8000, 1)));
        CPPUNIT_ASSERT_EQUAL(421, statusOf("DELETE", "i-9", ""));
        // A late report of an earlier lifetime, and one of a later birth.
        m_worker.setReply(replyOf(7000));
        CPPUNIT_ASSERT_EQUAL(421, statusOf("PUT", "i-1", report(6000, 9)));
        CPPUNIT_ASSERT_EQUAL(421, statusOf("PUT", "i-1", report(8000, 9)));
        CPPUNIT_ASSERT_EQUAL(200, statusOf("PUT", "i-1", report(7000, 2)));
    }

    /// Senders wait for a second before they go on to the next node.
    void refusesReportsWhileTheWorkerIsSilent()
    {
        m_worker.setReply({});
        const Instant sent = BootClock::now();
        CPPUNIT_ASSERT_EQUAL(503, statusOf("PUT", "i-1", report(7000, 1)));
        CPPUNIT_ASSERT(BootClock::now() - sent < std::chrono::seconds(1));
    }

    void refusesUnreadableReports()
    {
        CPPUNIT_ASSERT_EQUAL(400, statusOf("PUT", "i-1", "{\"state\":\"ready\"}"));
        CPPUNIT_ASSERT_EQUAL(400, statusOf("PUT", "i-1", "\xff"));
    }

private:
    static WorkerReply replyOf(std::int64_t born)
    {
        WorkerReply reply;
        reply.result = WorkerCallResult::Done;
        reply.born = born;
        return reply;
    }

    static std::string report(std::int64_t born, int sequence)
    {
        return fmt::format(R"({{"service":"orders","address":"127.0.0.9:80","zone":"z",)"
                           R"("state":"ready","capacity":{{"cpu":1000,"mem_mb":1000,"gpu":0}},)"
                           R"("labels":["a"],"sequence":{},"born":{}}})",
                           sequence, born);
    }

    int statusOf(const std::string &method, const std::string &worker, const std::string &body)
    {
        HttpRequest request;
        request.method = method;
        request.path = "/guavashift/instances/" + worker;
        request.body = body;
        std::optional<HttpResponse> answer;
        answerWorker(*m_agent, request,
                     [&](HttpResponse response) { answer = std::move(response); });
        const Instant deadline = BootClock::now() + std::chrono::seconds(10);
        while (!answer && BootClock::now() < deadline)
            m_loop->runOnce(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(answer.has_value());
        return answer->status;
    }

    std::unique_ptr<EventLoop> m_loop;
    FleetMetrics m_metrics;
    UniformWorker m_worker;
    std::unique_ptr<AgentNode> m_agent;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerReportTest);
