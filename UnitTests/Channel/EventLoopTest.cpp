#include <Guavashift/Channel/Channel.h>

#include <cppunit/extensions/HelperMacros.h>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace guavashift;

namespace {

constexpr std::size_t connections = 40;

/// Both ends of a connection within this process.
struct Pair
{
    Pair(EventLoop &loop, const ChannelSettings &settings)
        : near(loop, settings)
        , far(loop, settings)
    {
        int handles[2]; // NOLINT
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, handles));
        near.adopt(handles[0]);
        far.adopt(handles[1]);
    }

    FrameConnection near;
    FrameConnection far;
};

/// A listening socket on a free port. The kernel establishes connections to it by itself.
class ListeningSocket final
{
public:
    ListeningSocket()
        : m_handle(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        CPPUNIT_ASSERT_EQUAL(0, ::bind(m_handle, generic, length));
        CPPUNIT_ASSERT_EQUAL(0, ::listen(m_handle, 1));
        CPPUNIT_ASSERT_EQUAL(0, ::getsockname(m_handle, generic, &length));
        m_port = ntohs(address.sin_port);
    }
    ~ListeningSocket() { ::close(m_handle); }
    ListeningSocket(const ListeningSocket &) = delete;
    ListeningSocket &operator=(const ListeningSocket &) = delete;

    [[nodiscard]] std::string address() const { return fmt::format("127.0.0.1:{}", m_port); }
    /// Waits for a connection and returns its handle.
    [[nodiscard]] int accept() const { return ::accept(m_handle, nullptr, nullptr); }

private:
    int m_handle;
    std::uint16_t m_port = 0;
};

} // namespace

/// Rounds of the event loop: which events share one, and that every round ends.
class EventLoopTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EventLoopTest);
    CPPUNIT_TEST(inputThatIsReadySharesOneRound);
    CPPUNIT_TEST(slowInputStillSharesRounds);
    CPPUNIT_TEST(continuousInputDoesNotProlongTheRound);
    CPPUNIT_TEST(runsUrgentWorkWithinARound);
    CPPUNIT_TEST(postedWorkDoesNotProlongTheRound);
    CPPUNIT_TEST(readsInputBeforeAPeerCountsAsSilent);
    CPPUNIT_TEST(finishesConnectingBeforeItTimesOut);
    CPPUNIT_TEST(sendsToANewPeerWithinARound);
    CPPUNIT_TEST(measuresEachPartOfARound);
    CPPUNIT_TEST(measuresNoWait);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { open(EventLoopSettings{256}); }

    void tearDown() override
    {
        m_pairs.clear();
        m_loop.reset();
    }

    /// Guards against a leader that writes and syncs its log once for each agent's frame.
    void inputThatIsReadySharesOneRound() { assertOneRoundForAllFrames(); }

    /// Guards against rounds of one event each while the thread gets little processor time.
    void slowInputStillSharesRounds()
    {
        EventLoopSettings settings{256};
        settings.maxRoundDuration = Duration::zero();
        m_loop.reset();
        open(settings);
        m_unitTime = std::chrono::milliseconds(5);
        assertOneRoundForAllFrames();
    }

    /// Guards against timers and commits that starve while agents keep sending.
    void continuousInputDoesNotProlongTheRound()
    {
        connectAll();
        m_echo = true;
        for (const auto &pair : m_pairs)
            pair->far.send("frame");
        bool timerRan = false;
        m_loop->after(Duration::zero(), [&] { timerRan = true; });
        m_loop->runOnce(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1, m_rounds);
        CPPUNIT_ASSERT(timerRan);
    }

    /// Guards against a slow round whose log line blames the wrong part.
    void measuresEachPartOfARound()
    {
        RoundTimes times;
        m_loop->setRoundObserver([&](const RoundTimes &each) { times = each; });
        connectAll();
        for (const auto &pair : m_pairs)
            pair->far.send("frame");
        m_pairs.front()->near.setHandlers(
            [](std::string_view) { std::this_thread::sleep_for(std::chrono::milliseconds(40)); },
            {});
        m_loop->post([] { std::this_thread::sleep_for(std::chrono::milliseconds(30)); });
        m_loop->after(Duration::zero(),
                      [] { std::this_thread::sleep_for(std::chrono::milliseconds(20)); });
        m_loop->addRoundEndHandler([] {
            const Instant start = BootClock::now();
            while (BootClock::now() - start < std::chrono::milliseconds(10)) { }
        });
        m_loop->runOnce(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(times.events >= connections);
        CPPUNIT_ASSERT(times.dispatch >= std::chrono::milliseconds(40));
        CPPUNIT_ASSERT(times.posted >= std::chrono::milliseconds(30));
        CPPUNIT_ASSERT(times.timers >= std::chrono::milliseconds(20));
        CPPUNIT_ASSERT(times.handlers >= std::chrono::milliseconds(10));
        CPPUNIT_ASSERT(times.processor > Duration::zero());
        // Most of the round slept.
        CPPUNIT_ASSERT(times.processor < times.total());
        CPPUNIT_ASSERT(BootClock::now() >= times.endedAt);
    }

    /// Guards against idle loops that seem slow, since a round begins by waiting for events.
    void measuresNoWait()
    {
        constexpr Duration wait = std::chrono::milliseconds(400);
        RoundTimes times;
        m_loop->setRoundObserver([&](const RoundTimes &each) { times = each; });
        const Instant start = BootClock::now();
        std::thread other([&] {
            std::this_thread::sleep_for(wait);
            m_loop->post([] {});
        });
        m_loop->runOnce(std::chrono::seconds(5));
        other.join();
        CPPUNIT_ASSERT(BootClock::now() - start >= wait);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, times.events);
        CPPUNIT_ASSERT(times.total() < wait);
        // A round without any event, too.
        m_loop->runOnce(wait);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, times.events);
        CPPUNIT_ASSERT(times.total() < wait);
    }

    /// Guards against heartbeats that wait until all events of a round are handled.
    void runsUrgentWorkWithinARound()
    {
        int urgent = 0;
        m_loop->setUrgentWork(Duration::zero(), [&] { ++urgent; });
        assertOneRoundForAllFrames();
        CPPUNIT_ASSERT(urgent >= static_cast<int>(connections) - 1);
    }

    /// Guards against commits that wait until all work that other threads have posted is done.
    void postedWorkDoesNotProlongTheRound()
    {
        EventLoopSettings settings{256};
        settings.maxPostedDuration = Duration::zero();
        m_loop.reset();
        open(settings);
        std::vector<int> order;
        for (int i = 0; i < 3; ++i)
            m_loop->post([&order, i] { order.push_back(i); });
        // Work that is left over does not wait for an event.
        while (order.size() < 3)
            m_loop->runOnce(std::chrono::hours(1));
        CPPUNIT_ASSERT_EQUAL(3, m_rounds);
        CPPUNIT_ASSERT((std::vector<int>{0, 1, 2} == order));
    }

    /// Guards against connections of healthy peers that a busy process closes as silent, although
    /// their input has arrived.
    void readsInputBeforeAPeerCountsAsSilent()
    {
        EventLoopSettings settings{256};
        settings.minEventsPerRound = 1;
        settings.maxRoundDuration = Duration::zero();
        m_loop.reset();
        open(settings);
        ChannelSettings channel;
        channel.keepAliveInterval = std::chrono::milliseconds(20);
        channel.peerTimeout = std::chrono::milliseconds(100);
        connectAll(channel);
        // Reading the frames of all peers takes longer than the timeout.
        m_unitTime = 2 * channel.peerTimeout / static_cast<int>(connections);
        for (const auto &pair : m_pairs)
            pair->far.send("frame");
        while (m_frames < connections && m_closed == 0)
            m_loop->runOnce(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(0, m_closed);
    }

    /// Guards against a leader under load that never reaches a replica which has returned: the
    /// connection is established, but times out before the loop handles that.
    void finishesConnectingBeforeItTimesOut()
    {
        EventLoopSettings settings{256};
        settings.minEventsPerRound = 1;
        settings.maxRoundDuration = Duration::zero();
        m_loop.reset();
        open(settings);
        ChannelSettings channel;
        channel.keepAliveInterval = std::chrono::milliseconds(20);
        channel.connectTimeout = std::chrono::milliseconds(100);
        connectAll(channel);
        m_echo = true;
        // Handling the events of all peers takes longer than the timeout.
        m_unitTime = 2 * channel.connectTimeout / static_cast<int>(connections);
        for (const auto &pair : m_pairs)
            pair->far.send("frame");
        const ListeningSocket listener;
        FrameConnection connection(*m_loop, channel);
        bool closed = false;
        connection.setHandlers({}, [&closed](std::string_view) { closed = true; });
        connection.connect(listener.address());
        constexpr std::size_t turns = 4;
        while (m_frames < turns * connections && !closed)
            m_loop->runOnce(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(!closed);
    }

    /// Guards against the same if each round of the loop takes long.
    void sendsToANewPeerWithinARound()
    {
        const ListeningSocket listener;
        FrameConnection connection(*m_loop, ChannelSettings{});
        connection.connect(listener.address());
        connection.send("frame");
        const int accepted = listener.accept();
        connection.sendQueued();
        char byte = 0;
        CPPUNIT_ASSERT_EQUAL(ssize_t{1}, ::recv(accepted, &byte, 1, MSG_DONTWAIT));
        ::close(accepted);
    }

private:
    void open(const EventLoopSettings &settings)
    {
        m_loop = std::make_unique<EventLoop>(settings);
        CPPUNIT_ASSERT(m_loop->open());
        m_loop->addRoundEndHandler([this] { ++m_rounds; });
    }

    void assertOneRoundForAllFrames()
    {
        connectAll();
        for (const auto &pair : m_pairs)
            pair->far.send("frame");
        while (m_frames < connections)
            m_loop->runOnce(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(1, m_rounds);
    }

    void connectAll(const ChannelSettings &settings = ChannelSettings{})
    {
        for (std::size_t i = 0; i < connections; ++i) {
            m_pairs.push_back(std::make_unique<Pair>(*m_loop, settings));
            Pair &pair = *m_pairs.back();
            pair.near.setHandlers(
                [this, &pair](std::string_view frame) {
                    ++m_frames;
                    std::this_thread::sleep_for(m_unitTime);
                    if (m_echo)
                        pair.near.send(frame);
                },
                [this](std::string_view) { ++m_closed; });
            pair.far.setHandlers(
                [this, &pair](std::string_view frame) {
                    if (m_echo)
                        pair.far.send(frame);
                },
                [this](std::string_view) { ++m_closed; });
        }
    }

    std::unique_ptr<EventLoop> m_loop;
    std::vector<std::unique_ptr<Pair>> m_pairs;
    int m_rounds = 0;
    int m_closed = 0;
    std::size_t m_frames = 0;
    bool m_echo = false;
    Duration m_unitTime = Duration::zero(); ///< That each frame takes.
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventLoopTest);
