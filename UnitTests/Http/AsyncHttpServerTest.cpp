#include <UnitTests/Http/HttpCaller.h>

#include <Guavashift/Http/AsyncHttpServer.h>

#include <condition_variable>
#include <cppunit/extensions/HelperMacros.h>
#include <mutex>
#include <thread>

using namespace guavashift;

namespace {

/// More than the socket buffers between caller and server hold.
constexpr std::size_t longAnswerBytes = 16 << 20;
constexpr int smallBufferBytes = 16 << 10;
/// Longer than any answer of these tests takes to be written.
constexpr Duration ampleLimit = std::chrono::seconds(20);
constexpr Duration shortLimit = std::chrono::milliseconds(20);

constexpr std::string_view heldPath = "/held";
constexpr std::string_view longPath = "/long";
constexpr std::string_view plainPath = "/plain";

} // namespace

/// Stopping a server while callers wait for answers, over real sockets.
class AsyncHttpServerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AsyncHttpServerTest);
    CPPUNIT_TEST(heldRequestIsAnsweredAtStop);
    CPPUNIT_TEST(answersGivenBeforeStopAreWrittenWhole);
    CPPUNIT_TEST(requestsReadDuringStopAreRefused);
    CPPUNIT_TEST(refusesNewRequestsAndAnswersPendingOnes);
    CPPUNIT_TEST(callerThatDoesNotReadDelaysStopByItsLimitOnly);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_server = std::make_unique<AsyncHttpServer>(
            HttpServerSettings{}, [this](const HttpRequest &request, const HttpResponder &respond) {
                handle(request, respond);
            });
        CPPUNIT_ASSERT(m_server->start());
    }

    void tearDown() override
    {
        m_server.reset();
        m_held.clear();
    }

    /// Guards against requests that end without an answer when their server stops.
    void heldRequestIsAnsweredAtStop()
    {
        HttpCaller caller(m_server->port());
        caller.send(heldPath);
        waitForHeld(1);
        m_server->stop(ampleLimit);
        const std::optional<HttpResponse> answer = caller.receive();
        CPPUNIT_ASSERT(answer);
        // Whether the handler has done something is not known.
        CPPUNIT_ASSERT_EQUAL(504, answer->status);
        CPPUNIT_ASSERT(hasHeader(*answer, "Connection", "close"));
        CPPUNIT_ASSERT(caller.isClosed());
        // The handler may still answer, also when the server is gone.
        m_held.front()(HttpResponse::text(200, "late"));
        m_server.reset();
        m_held.front()(HttpResponse::text(200, "later"));
    }

    /// Guards against answers that are truncated because the server stops while they are written.
    void answersGivenBeforeStopAreWrittenWhole()
    {
        HttpCaller caller(m_server->port(), smallBufferBytes);
        caller.send(heldPath);
        waitForHeld(1);
        m_held.front()(HttpResponse::text(200, std::string(longAnswerBytes, 'a')));
        std::optional<HttpResponse> answer;
        std::jthread reader([&] { answer = caller.receive(); });
        m_server->stop(ampleLimit);
        reader.join();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(longAnswerBytes, answer->body.size());
    }

    /// Guards against requests on open connections that are read by a stopping server and get no
    /// answer.
    void requestsReadDuringStopAreRefused()
    {
        HttpCaller keepsOpen(m_server->port());
        CPPUNIT_ASSERT_EQUAL(200, ask(keepsOpen, plainPath).status);
        // stop() does not return until this answer is read.
        HttpCaller slow(m_server->port(), smallBufferBytes);
        slow.send(longPath);
        waitForHeld(1);
        m_held.front()(HttpResponse::text(200, std::string(longAnswerBytes, 'a')));
        std::jthread stopping([this] { m_server->stop(ampleLimit); });
        HttpResponse answer = ask(keepsOpen, plainPath);
        // Repeated until an answer shows that the stop has begun.
        while (answer.status == 200 && !hasHeader(answer, "Connection", "close"))
            answer = ask(keepsOpen, plainPath);
        if (answer.status == 200) {
            HttpCaller next(m_server->port());
            answer = ask(next, plainPath);
        } else {
            CPPUNIT_ASSERT(keepsOpen.isClosed());
        }
        const bool isWhole = slow.receive().has_value();
        stopping.join();
        CPPUNIT_ASSERT(isWhole);
        assertRefused(answer);
    }

    /// Guards against requests that reach the handler although its owner no longer answers.
    void refusesNewRequestsAndAnswersPendingOnes()
    {
        HttpCaller before(m_server->port());
        before.send(heldPath);
        waitForHeld(1);
        m_server->startRefusing();
        HttpCaller after(m_server->port());
        assertRefused(ask(after, heldPath));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_held.size());
        m_held.front()(HttpResponse::text(200, "in time"));
        m_server->stop(ampleLimit);
        const std::optional<HttpResponse> answer = before.receive();
        CPPUNIT_ASSERT(answer);
        CPPUNIT_ASSERT_EQUAL(std::string("in time"), answer->body);
    }

    /// Guards against a caller that delays stop() without limit.
    void callerThatDoesNotReadDelaysStopByItsLimitOnly()
    {
        HttpCaller slow(m_server->port(), smallBufferBytes);
        slow.send(longPath);
        waitForHeld(1);
        m_held.front()(HttpResponse::text(200, std::string(longAnswerBytes, 'a')));
        m_server->stop(shortLimit);
        CPPUNIT_ASSERT(!slow.receive());
    }

private:
    void handle(const HttpRequest &request, const HttpResponder &respond)
    {
        if (request.path == plainPath)
            return respond(HttpResponse::text(200, "plain"));
        const std::lock_guard lock(m_mutex);
        m_held.push_back(respond);
        m_changed.notify_all();
    }

    void waitForHeld(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        CPPUNIT_ASSERT(
            m_changed.wait_for(lock, ampleLimit, [&] { return m_held.size() == count; }));
    }

    static HttpResponse ask(HttpCaller &caller, std::string_view path)
    {
        caller.send(path);
        const std::optional<HttpResponse> answer = caller.receive();
        CPPUNIT_ASSERT_MESSAGE("no complete answer", answer);
        return *answer;
    }

    static bool hasHeader(const HttpResponse &answer, std::string_view name, std::string_view value)
    {
        return equalsIgnoringCase(answer.headers.find(name).value_or(""), value);
    }

    static void assertRefused(const HttpResponse &answer)
    {
        CPPUNIT_ASSERT_EQUAL(503, answer.status);
        CPPUNIT_ASSERT(answer.headers.find("Retry-After"));
        CPPUNIT_ASSERT(hasHeader(answer, "Connection", "close"));
    }

    std::unique_ptr<AsyncHttpServer> m_server;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<HttpResponder> m_held;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsyncHttpServerTest);
