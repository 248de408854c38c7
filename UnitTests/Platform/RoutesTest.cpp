#include <platform/Platform.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;
using namespace guavashift::platform;

/// Request ids in the responses to callers.
class RoutesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutesTest);
    CPPUNIT_TEST(returnsTheCallersRequestId);
    CPPUNIT_TEST(generatesIdsForRequestsWithoutOne);
    CPPUNIT_TEST(truncatesLongIds);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{64});
        CPPUNIT_ASSERT(m_loop->open());
        GatewaySettings settings;
        settings.leaderTimeout = std::chrono::milliseconds(1);
        m_gateway = std::make_unique<GatewayNode>(*m_loop, settings, FleetSettings{},
                                                  ChannelSettings{}, m_metrics, 5);
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_loop.reset();
    }

    void returnsTheCallersRequestId()
    {
        // Refused by the entry itself (405, 400), or for lack of a leader (503).
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), idOfAnswer("PATCH", "mine", 405));
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), idOfAnswer("POST", "mine", 400));
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), idOfAnswer("GET", "mine", 503));
    }

    void generatesIdsForRequestsWithoutOne()
    {
        const std::string first = idOfAnswer("GET", "", 503);
        const std::string second = idOfAnswer("GET", "", 503);
        CPPUNIT_ASSERT(!first.empty() && !second.empty());
        CPPUNIT_ASSERT(first != second);
        // Another process, or this one after a restart.
        RequestIds others(0x1234567890ABCDEF);
        CPPUNIT_ASSERT(others.idOf("") != first);
    }

    void truncatesLongIds()
    {
        const std::string callerId(1000, 'x');
        const std::string kept = idOfAnswer("GET", callerId, 503);
        CPPUNIT_ASSERT(!kept.empty() && kept.size() < callerId.size()
                       && callerId.starts_with(kept));
    }

private:
    /// Sends a request, checks the status of the response and returns the request id in it.
    std::string idOfAnswer(const std::string &method, const std::string &callerId, int status)
    {
        HttpRequest request;
        request.method = method;
        request.path = "/p/a";
        if (!callerId.empty())
            request.headers.add("X-Request-Id", callerId);
        std::optional<HttpResponse> answer;
        answerCaller(*m_gateway, m_ids, request,
                     [&](HttpResponse response) { answer = std::move(response); });
        const Instant deadline = BootClock::now() + std::chrono::seconds(10);
        while (!answer && BootClock::now() < deadline)
            m_loop->runOnce(std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(status, answer->status);
        return std::string(answer->headers.find("X-Request-Id").value_or(""));
    }

    std::unique_ptr<EventLoop> m_loop;
    FleetMetrics m_metrics;
    std::unique_ptr<GatewayNode> m_gateway;
    RequestIds m_ids{0xABCDEF0123456789};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutesTest);
