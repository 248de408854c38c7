#include <Guavashift/Http/Http.h>

#include <cppunit/extensions/HelperMacros.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace guavashift;

namespace {

/// Reads one request without a body from the connection.
void readRequest(int connection)
{
    std::string text;
    char byte = 0;
    while (!text.ends_with("\r\n\r\n") && ::recv(connection, &byte, 1, 0) == 1)
        text += byte;
}

} // namespace

/// Tells requests that were never sent from those that may have arrived.
class HttpClientTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(HttpClientTest);
    CPPUNIT_TEST(nothingIsSentToAServerThatClosedTheKeptConnection);
    CPPUNIT_TEST(requestThatWasSentMayHaveArrived);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against "may have arrived" for requests to a stopped server of which no byte was
    /// sent, since the kept connection was known to be closed.
    void nothingIsSentToAServerThatClosedTheKeptConnection()
    {
        HttpServer server({}, [](const HttpRequest &) { return HttpResponse::text(200, "ok"); });
        CPPUNIT_ASSERT(server.start());
        HttpCall call;
        call.address = "127.0.0.1:" + std::to_string(server.port());
        HttpClient client({});
        CPPUNIT_ASSERT(client.send(call));
        server.stop();
        const auto answer = client.send(call);
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(answer.error().stage == HttpFailureStage::NotConnected);
    }

    void requestThatWasSentMayHaveArrived()
    {
        const int listening = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(listening, reinterpret_cast<sockaddr *>(&address), length));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(listening, 1));
        ::getsockname(listening, reinterpret_cast<sockaddr *>(&address), &length);
        // Answers the first request, and stops listening before the second ends the connection.
        std::thread server([listening] {
            const int connection = ::accept(listening, nullptr, nullptr);
            readRequest(connection);
            const std::string_view answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            ::send(connection, answer.data(), answer.size(), 0);
            readRequest(connection);
            ::close(listening);
            ::close(connection);
        });
        HttpCall call;
        call.address = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        HttpClient client({});
        const bool first = client.send(call).has_value();
        const auto second = client.send(call);
        server.join();
        CPPUNIT_ASSERT(first);
        CPPUNIT_ASSERT(!second);
        CPPUNIT_ASSERT(second.error().stage == HttpFailureStage::Broken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
