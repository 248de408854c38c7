#include <platform/Platform.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;
using namespace guavashift::platform;

/// What requests are answered, beside the bodies.
class RoutesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutesTest);
    CPPUNIT_TEST(answersUnderTheCallersId);
    CPPUNIT_TEST(namesRequestsWithoutAnId);
    CPPUNIT_TEST(cutsLongIds);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{64});
        CPPUNIT_ASSERT(m_loop->open());
        GatewaySettings settings;
        settings.patience = std::chrono::milliseconds(1);
        m_gateway = std::make_unique<GatewayNode>(*m_loop, settings, FleetSettings{},
                                                  ChannelSettings{}, m_metrics, 5);
    }

    void tearDown() override
    {
        m_gateway.reset();
        m_loop.reset();
    }

    void answersUnderTheCallersId()
    {
        // Whether it is refused by the entry or for want of a leader.
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), idOfAnswer("PATCH", "mine", 405));
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), idOfAnswer("POST", "mine", 400));
        CPPUNIT_ASSERT_EQUAL(std::string("mine"), idOfAnswer("GET", "mine", 503));
    }

    void namesRequestsWithoutAnId()
    {
        const std::string first = idOfAnswer("GET", "", 503);
        const std::string second = idOfAnswer("GET", "", 503);
        CPPUNIT_ASSERT(!first.empty() && !second.empty());
        CPPUNIT_ASSERT(first != second);
        // Another process, or another life of this one.
        RequestIds others(0x1234567890ABCDEF);
        CPPUNIT_ASSERT(others.idOf("") != first);
    }

    void cutsLongIds()
    {
        const std::string callerId(1000, 'x');
        const std::string kept = idOfAnswer("GET", callerId, 503);
        CPPUNIT_ASSERT(!kept.empty() && kept.size() < callerId.size()
                       && callerId.starts_with(kept));
    }

private:
    /// The id that the answer to a request carries, which has the status.
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
        const Instant giveUp = BootClock::now() + std::chrono::seconds(10);
        while (!answer && BootClock::now() < giveUp)
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
