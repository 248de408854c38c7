#include <Guavashift/Http/HttpClient.h>
#include <Guavashift/Http/HttpServer.h>
#include <StandIns/PathProxy.h>
#include <UnitTests/Support/FreePort.h>

#include <cppunit/extensions/HelperMacros.h>
#include <thread>

using namespace guavashift;

namespace {

constexpr Duration acceptWait = std::chrono::milliseconds(2);
constexpr Duration callTimeout = std::chrono::milliseconds(400);
/// For the proxy to act on a new state.
constexpr Duration settling = std::chrono::milliseconds(50);

/// A server behind a proxy.
class ProxiedServer final
{
public:
    explicit ProxiedServer(PathProxySettings settings)
        : m_server({}, [](const HttpRequest &) { return HttpResponse::text(200, "answer"); })
    {
        CPPUNIT_ASSERT(m_server.start());
        m_address = fmt::format("127.0.0.1:{}", test::freePort());
        settings.listen = m_address;
        settings.target = fmt::format("127.0.0.1:{}", m_server.port());
        m_proxy.emplace(settings);
        m_thread = std::thread([this] {
            while (!m_stops && m_proxy->serve(acceptWait)) { }
        });
        std::this_thread::sleep_for(settling);
    }
    ~ProxiedServer()
    {
        m_stops = true;
        m_thread.join();
        m_proxy.reset();
        m_server.stop();
    }
    ProxiedServer(const ProxiedServer &) = delete;
    ProxiedServer &operator=(const ProxiedServer &) = delete;

    void setState(PathState state)
    {
        m_proxy->setState(state);
        std::this_thread::sleep_for(settling);
    }

    tl::expected<HttpResponse, HttpFailure> send(bool reuseConnection = true)
    {
        HttpCall call;
        call.address = m_address;
        call.timeout = callTimeout;
        call.reuseConnection = reuseConnection;
        return m_client.send(call);
    }

private:
    std::string m_address;
    HttpServer m_server;
    HttpClient m_client{HttpClientSettings()};
    std::optional<PathProxy> m_proxy;
    std::atomic<bool> m_stops = false;
    std::thread m_thread;
};

} // namespace

class PathProxyTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PathProxyTest);
    CPPUNIT_TEST(refusesConnections);
    CPPUNIT_TEST(fallsSilent);
    CPPUNIT_TEST(delaysAnswers);
    CPPUNIT_TEST(closesAfterAnAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    void refusesConnections()
    {
        ProxiedServer server({});
        CPPUNIT_ASSERT(server.send());
        server.setState(PathState::Refuse);
        for (const bool reuses : {true, false}) {
            const auto refused = server.send(reuses);
            CPPUNIT_ASSERT(!refused && refused.error().stage == HttpFailureStage::NotConnected);
        }
        server.setState(PathState::Pass);
        CPPUNIT_ASSERT(server.send());
    }

    void fallsSilent()
    {
        ProxiedServer server({});
        CPPUNIT_ASSERT(server.send());
        server.setState(PathState::Silent);
        for (const bool reuses : {true, false}) {
            const Instant sent = BootClock::now();
            CPPUNIT_ASSERT(!server.send(reuses));
            // libcurl rounds timeouts to milliseconds.
            CPPUNIT_ASSERT(BootClock::now() - sent > callTimeout - std::chrono::milliseconds(1));
        }
        server.setState(PathState::Pass);
        CPPUNIT_ASSERT(server.send(false));
    }

    void delaysAnswers()
    {
        PathProxySettings settings;
        settings.latestAnswer = std::chrono::milliseconds(300);
        ProxiedServer server(settings);
        server.setState(PathState::Late);
        Duration longest{};
        for (int i = 0; i < 10; ++i) {
            const Instant sent = BootClock::now();
            CPPUNIT_ASSERT(server.send());
            longest = std::max(longest, Duration(BootClock::now() - sent));
        }
        CPPUNIT_ASSERT(longest >= std::chrono::milliseconds(100));
    }

    void closesAfterAnAnswer()
    {
        PathProxySettings settings;
        settings.closesAfterAnswer = true;
        ProxiedServer server(settings);
        for (int i = 0; i < 3; ++i) {
            const auto answer = server.send();
            CPPUNIT_ASSERT(answer && answer->body == "answer");
            CPPUNIT_ASSERT(answer->headers.find("Connection") == std::string_view("close"));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PathProxyTest);
