#include <platform/Platform.h>

#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <unistd.h>

using namespace guavashift;
using namespace guavashift::platform;

/// Operators' requests for evacuations at a control process that knows no leader.
class EvacuationRoutesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EvacuationRoutesTest);
    CPPUNIT_TEST(refusesUnreadableNames);
    CPPUNIT_TEST(acknowledgesNothingWithoutALeader);
    CPPUNIT_TEST(refusesOtherMethods);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_loop = std::make_unique<EventLoop>(EventLoopSettings{64});
        CPPUNIT_ASSERT(m_loop->open());
        FleetSettings settings;
        settings.node = "core";
        settings.ip = "127.0.0.9";
        settings.dataFolder = m_folder.string();
        m_core = std::make_unique<CoreNode>(*m_loop, settings, ChannelSettings{}, readConfiguration,
                                            m_metrics, 5);
    }

    void tearDown() override
    {
        m_core.reset();
        m_loop.reset();
        std::filesystem::remove_all(m_folder);
    }

    void refusesUnreadableNames()
    {
        for (const char *method : {"POST", "DELETE"}) {
            for (const std::string &name :
                 {std::string(), std::string(129, 'x'), std::string("a/b"), std::string("a%2Fb"),
                  std::string("a%0Ab"), std::string("%00"), std::string("%"), std::string("a%4"),
                  std::string("%zz"), std::string("%C3"), std::string("%FF%FE")}) {
                const HttpResponse answer = send(method, "/guavashift/evacuations/" + name);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(name, 400, answer.status);
                CPPUNIT_ASSERT(answer.body.find("error") != std::string::npos);
            }
        }
    }

    void acknowledgesNothingWithoutALeader()
    {
        for (const char *path : {"/guavashift/evacuations/north", "/guavashift/evacuations/a%20b",
                                 "/admin/v1/evacuations/north"}) {
            CPPUNIT_ASSERT_EQUAL(503, send("POST", path).status);
            CPPUNIT_ASSERT_EQUAL(503, send("DELETE", path).status);
        }
    }

    void refusesOtherMethods()
    {
        CPPUNIT_ASSERT_EQUAL(405, send("GET", "/guavashift/evacuations/north").status);
        CPPUNIT_ASSERT_EQUAL(404, send("POST", "/guavashift/evacuations").status);
    }

private:
    HttpResponse send(const std::string &method, const std::string &path)
    {
        HttpRequest request;
        request.method = method;
        request.path = path;
        std::optional<HttpResponse> answer;
        answerOperator(*m_core, m_ids, request,
                       [&](HttpResponse response) { answer = std::move(response); });
        CPPUNIT_ASSERT(answer.has_value());
        return *answer;
    }

    std::filesystem::path m_folder = std::filesystem::temp_directory_path()
        / fmt::format("guavashift-evacuation-routes-{}", ::getpid());
    std::unique_ptr<EventLoop> m_loop;
    FleetMetrics m_metrics;
    std::unique_ptr<CoreNode> m_core;
    RequestIds m_ids{0xABCDEF0123456789};
};

CPPUNIT_TEST_SUITE_REGISTRATION(EvacuationRoutesTest);
