#include <Guavashift/Http/Http.h>
#include <UnitTests/Http/HttpCaller.h>

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace guavashift;

/// Stops of a server while callers keep their connections.
class HttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpServerTest);
    CPPUNIT_TEST(requestsThatArriveBeforeTheStopAreAnswered);
    CPPUNIT_TEST(requestsOnNewConnectionsAreAnswered);
    CPPUNIT_TEST(connectionsWithoutARequestDoNotHoldUpTheStop);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against requests on kept connections that got no answer, since the server was
    /// stopped before it had read them.
    void requestsThatArriveBeforeTheStopAreAnswered()
    {
        constexpr int rounds = 20;
        constexpr std::size_t callerCount = 32;
        std::size_t answered = 0;
        for (int round = 0; round < rounds; ++round) {
            HttpServer server({},
                              [](const HttpRequest &) { return HttpResponse::text(200, "ok"); });
            CPPUNIT_ASSERT(server.start());
            std::vector<std::unique_ptr<HttpCaller>> callers;
            for (std::size_t i = 0; i < callerCount; ++i) {
                callers.push_back(std::make_unique<HttpCaller>(server.port()));
                callers.back()->send("/first");
                CPPUNIT_ASSERT(callers.back()->receive());
            }
            for (const auto &caller : callers)
                caller->send("/second");
            server.stop();
            for (const auto &caller : callers)
                answered += caller->receive() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(rounds * callerCount, answered);
    }

    /// Guards against resets of connections that were made before the stop and not accepted yet.
    void requestsOnNewConnectionsAreAnswered()
    {
        constexpr int rounds = 20;
        constexpr std::size_t callerCount = 32;
        std::size_t answered = 0;
        for (int round = 0; round < rounds; ++round) {
            HttpServer server({},
                              [](const HttpRequest &) { return HttpResponse::text(200, "ok"); });
            CPPUNIT_ASSERT(server.start());
            std::vector<std::unique_ptr<HttpCaller>> callers;
            for (std::size_t i = 0; i < callerCount; ++i) {
                callers.push_back(std::make_unique<HttpCaller>(server.port()));
                callers.back()->send("/first");
            }
            server.stop();
            for (const auto &caller : callers)
                answered += caller->receive() ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(rounds * callerCount, answered);
    }

    void connectionsWithoutARequestDoNotHoldUpTheStop()
    {
        HttpServer server({}, [](const HttpRequest &) { return HttpResponse::text(200, "ok"); });
        CPPUNIT_ASSERT(server.start());
        // Accepted before the connection that is answered.
        HttpCaller silent(server.port());
        HttpCaller kept(server.port());
        kept.send("/first");
        CPPUNIT_ASSERT(kept.receive());
        const Instant started = BootClock::now();
        server.stop();
        CPPUNIT_ASSERT(BootClock::now() - started < std::chrono::seconds(4));
        CPPUNIT_ASSERT(kept.isClosed());
        CPPUNIT_ASSERT(silent.isClosed());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
