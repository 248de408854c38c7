#include <Guavashift/Http/AsyncHttpClient.h>
#include <Guavashift/Http/AsyncHttpServer.h>

#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace guavashift;

namespace {

/// Answers the first request on its first connection and closes that connection after the second
/// one. Answers all requests on later connections.
class BreakingServer final
{
public:
    BreakingServer()
        : m_listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto *raw = reinterpret_cast<sockaddr *>(&address);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(m_listener, raw, size));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(m_listener, 8));
        CPPUNIT_ASSERT_EQUAL(0, ::getsockname(m_listener, raw, &size));
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { serve(); });
    }
    ~BreakingServer()
    {
        ::shutdown(m_listener, SHUT_RDWR);
        m_thread.join();
        ::close(m_listener);
    }
    BreakingServer(const BreakingServer &) = delete;
    BreakingServer &operator=(const BreakingServer &) = delete;

    [[nodiscard]] std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }
    /// Number of requests read, on all connections.
    [[nodiscard]] int requests() const { return m_requests; }

private:
    void serve()
    {
        for (bool isFirst = true;; isFirst = false) {
            const int handle = ::accept(m_listener, nullptr, nullptr);
            if (handle < 0)
                return;
            for (int served = 0; readRequest(handle); ++served) {
                ++m_requests;
                if (isFirst && served == 1)
                    break;
                constexpr std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                if (::send(handle, answer.data(), answer.size(), MSG_NOSIGNAL) < 0)
                    break;
            }
            ::close(handle);
        }
    }

    /// Reads one request with the body "ping". Returns false at the end of the connection.
    static bool readRequest(int handle)
    {
        std::string input;
        while (!input.ends_with("\r\n\r\nping")) {
            char byte = 0;
            if (::recv(handle, &byte, 1, 0) != 1)
                return false;
            input.push_back(byte);
        }
        return true;
    }

    int m_listener;
    std::uint16_t m_port = 0;
    std::atomic<int> m_requests = 0;
    std::thread m_thread;
};

} // namespace

/// Calls over connections that break.
class AsyncHttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(AsyncHttpClientTest);
    CPPUNIT_TEST(sendsACallOnceIfItMustNotBeResent);
    CPPUNIT_TEST(resendsOtherCalls);
    CPPUNIT_TEST(sendsACallOnTheConnectionsThatItNamesOnly);
    CPPUNIT_TEST(opensAConnectionForACallThatWantsANewOne);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a start that a worker's next lifetime carries out: libcurl sent it again when
    /// the connection to the lifetime before broke.
    void sendsACallOnceIfItMustNotBeResent()
    {
        CPPUNIT_ASSERT(send(false));
        const AsyncHttpClient::Answer answer = send(false);
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(HttpCallFailure::NoAnswer == answer.error());
        CPPUNIT_ASSERT_EQUAL(2, m_server.requests());
    }

    void resendsOtherCalls()
    {
        CPPUNIT_ASSERT(send(true));
        CPPUNIT_ASSERT(send(true));
        CPPUNIT_ASSERT_EQUAL(3, m_server.requests());
    }

    /// Guards against an acknowledgement for one lifetime of a worker that reaches the next one on
    /// a new connection.
    void sendsACallOnTheConnectionsThatItNamesOnly()
    {
        const HttpConnectionId first = send(false)->connection;
        const AsyncHttpClient::Answer broken = send(false, std::vector{first});
        CPPUNIT_ASSERT(HttpCallFailure::NoAnswer == broken.error());
        CPPUNIT_ASSERT_EQUAL(2, m_server.requests());
        CPPUNIT_ASSERT(HttpCallFailure::NotSent == send(false, std::vector{first}).error());
        const HttpConnectionId second = send(false)->connection;
        CPPUNIT_ASSERT(second != first);
        CPPUNIT_ASSERT_EQUAL(second, send(false, std::vector{first, second})->connection);
        CPPUNIT_ASSERT_EQUAL(4, m_server.requests());
        CPPUNIT_ASSERT(HttpCallFailure::NotSent == send(false, std::vector{first}).error());
        CPPUNIT_ASSERT_EQUAL(4, m_server.requests());
    }

    /// Guards against a verified report that rests on the answer of a process which only an open
    /// connection still reaches.
    void opensAConnectionForACallThatWantsANewOne()
    {
        AsyncHttpServer server(HttpServerSettings{},
                               [](const HttpRequest &, const HttpResponder &respond) {
                                   respond(HttpResponse::json(200, Json::object()));
                               });
        CPPUNIT_ASSERT(server.start());
        AsyncHttpCall call;
        call.address = fmt::format("127.0.0.1:{}", server.port());
        const HttpConnectionId first = send(call)->connection;
        CPPUNIT_ASSERT_EQUAL(first, send(call)->connection);
        call.onNewConnection = true;
        const HttpConnectionId second = send(call)->connection;
        CPPUNIT_ASSERT(second != first);
        CPPUNIT_ASSERT(send(call)->connection != second);
        // Those connections do not take the place of the first one.
        call.onNewConnection = false;
        CPPUNIT_ASSERT_EQUAL(first, send(call)->connection);
        server.stop();
    }

private:
    AsyncHttpClient::Answer
    send(bool mayResend, std::optional<std::vector<HttpConnectionId>> connections = std::nullopt)
    {
        AsyncHttpCall call;
        call.connections = std::move(connections);
        call.address = m_server.address();
        call.body = "ping";
        call.mayResend = mayResend;
        return send(std::move(call));
    }

    AsyncHttpClient::Answer send(AsyncHttpCall call)
    {
        call.timeout = std::chrono::seconds(10);
        std::promise<AsyncHttpClient::Answer> answered;
        m_client.send(std::move(call), [&answered](AsyncHttpClient::Answer answer) {
            answered.set_value(std::move(answer));
        });
        return answered.get_future().get();
    }

    BreakingServer m_server;
    AsyncHttpClient m_client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(AsyncHttpClientTest);
