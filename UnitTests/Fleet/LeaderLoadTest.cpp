#include <UnitTests/Fleet/FleetFixture.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <sstream>
#include <sys/socket.h>

using namespace guavashift;

namespace {

/// About as many sessions as the leader of a fleet with 71 workers has.
constexpr std::size_t clients = 96;
/// Time that one unit of work takes. All clients together need about a second, so that a round of
/// the loop which serves them all outlasts every election timeout and the leader lease.
constexpr Duration unitTime = std::chrono::milliseconds(10);
constexpr Duration loadTime = std::chrono::seconds(5);
/// Load before the run ends: time for several election timeouts.
constexpr Duration loadBeforeEnd = std::chrono::milliseconds(1500);
/// A task that is not started for this long, although a worker has room for it, counts as lost.
constexpr Duration restartLimit = std::chrono::seconds(3);

/// A client of a control process with at most one request under way, which costs one unit.
class Client final
{
public:
    Client(EventLoop &loop, const std::function<void()> &doUnit)
        : m_near(loop, neverIdle())
        , m_far(loop, neverIdle())
    {
        int handles[2]; // NOLINT
        CPPUNIT_ASSERT_EQUAL(0, ::socketpair(AF_UNIX, SOCK_STREAM, 0, handles));
        m_near.setHandlers(
            [this, doUnit](std::string_view) {
                m_isUnderWay = false;
                doUnit();
            },
            {});
        m_near.adopt(handles[0]);
        m_far.adopt(handles[1]);
    }

    void request()
    {
        if (!std::exchange(m_isUnderWay, true))
            m_far.send("unit");
    }

private:
    /// No keep-alive frames, which would be events without a unit.
    static ChannelSettings neverIdle()
    {
        ChannelSettings settings;
        settings.keepAliveInterval = settings.peerTimeout = std::chrono::hours(1);
        return settings;
    }

    FrameConnection m_near;
    FrameConnection m_far;
    bool m_isUnderWay = false;
};

enum class LoadKind : std::uint8_t { None, Input, PostedWork };

/// Units of work that wait on the loop of one control process while it leads, one for each client.
/// They follow the leader, as the sessions of a fleet do, so clients exist only while it leads. For
/// use on the loop's thread only.
class Backlog final
{
public:
    Backlog(Hosted<CoreNode> &core, LoadKind kind, const std::atomic<bool> &isLoaded)
        : m_core(core)
        , m_kind(kind)
        , m_isLoaded(isLoaded)
    {
        core.loop.addRoundEndHandler([this] { refill(); });
    }

private:
    [[nodiscard]] bool isWanted() const { return m_isLoaded && m_core.node->leads(); }

    void refill()
    {
        if (!isWanted())
            return m_clients.clear();
        while (m_kind == LoadKind::Input && m_clients.size() < clients)
            m_clients.push_back(std::make_unique<Client>(m_core.loop, [this] { doUnit(); }));
        for (const auto &client : m_clients)
            client->request();
        for (; m_kind == LoadKind::PostedWork && m_posted < clients; ++m_posted) {
            m_core.loop.post([this] {
                --m_posted;
                doUnit();
            });
        }
    }

    /// Sleeps, since a thread without processor time does not run either, and so that the other
    /// threads of the test keep their processors.
    void doUnit() const
    {
        if (isWanted())
            std::this_thread::sleep_for(unitTime);
    }

    Hosted<CoreNode> &m_core;
    LoadKind m_kind;
    const std::atomic<bool> &m_isLoaded;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::size_t m_posted = 0;
};

/// The log without the lines that do not have the event.
std::string linesOf(const std::string &log, std::string_view event)
{
    std::istringstream all(log);
    std::string lines;
    for (std::string line; std::getline(all, line);) {
        if (line.find(event) != std::string::npos)
            lines += line + "\n";
    }
    return lines;
}

} // namespace

/// A leader with much work in small units, each far shorter than the times of an election. Every
/// control process has its own thread, so that only the leader is slow.
class LeaderLoadTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(LeaderLoadTest);
    CPPUNIT_TEST(restartsTaskWithoutLoad);
    CPPUNIT_TEST(keepsLeaderDuringInput);
    CPPUNIT_TEST(keepsLeaderDuringPostedWork);
    CPPUNIT_TEST_SUITE_END();

public:
    LeaderLoadTest()
        : FleetFixture(CoreLoops::InOwnThreads)
    {
    }

    void tearDown() override
    {
        m_isLoaded = false;
        // A backlog belongs to the thread of its loop until that has ended.
        for (auto &core : m_cores) {
            if (core)
                core->stopThread();
        }
        m_backlogs = {};
        FleetFixture::tearDown();
    }

    /// Guards against a load test that fails for another reason than its load.
    void restartsTaskWithoutLoad() { assertKeepsLeaderAndTask(LoadKind::None); }

    /// Guards against a leader that is alive but replaced, and against long-running tasks that are
    /// not started again, because heartbeats and followers' answers wait for the input of all
    /// clients.
    void keepsLeaderDuringInput() { assertKeepsLeaderAndTask(LoadKind::Input); }

    /// Guards against the same because of work that other threads post.
    void keepsLeaderDuringPostedWork() { assertKeepsLeaderAndTask(LoadKind::PostedWork); }

private:
    /// Loads the leader while a long-running task runs, ends the task's run as failed, and checks
    /// that the leader stays and the task is started again in time.
    void assertKeepsLeaderAndTask(LoadKind kind)
    {
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::hours(1));
        JobPlan plan = planOf(1);
        plan.steps[0].longRunning = true;
        submit("j", plan);
        until([this] { return running() == 1; });

        const test::LogCapture log;
        m_isLoaded = true;
        const Instant loadedAt = BootClock::now();
        for (std::size_t i = 0; i < m_cores.size(); ++i) {
            m_cores[i]->loop.post([this, i, kind] {
                m_backlogs[i] = std::make_unique<Backlog>(*m_cores[i], kind, m_isLoaded);
            });
        }
        runUntil([] { return false; }, loadBeforeEnd);
        for (const auto &worker : m_workers)
            worker->finishAll(RunEnd::Failed);
        const Instant endedAt = BootClock::now();
        std::optional<Instant> restartedAt;
        runUntil(
            [&] {
                if (running() == 1 && !restartedAt)
                    restartedAt = BootClock::now();
                return false;
            },
            loadTime - (endedAt - loadedAt));
        m_isLoaded = false;

        const bool inTime = restartedAt && *restartedAt - endedAt <= restartLimit;
        const std::string changes = linesOf(log.text(), "event=role-changed ");
        const std::string restart = restartedAt
            ? fmt::format("{} ms after its end", toMs(*restartedAt - endedAt))
            : "not at all";
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("The task started again {}; changes of role:\n{}", restart, changes),
            inTime && changes.empty());
        for (const auto &worker : m_workers)
            CPPUNIT_ASSERT(!worker->sawDuplicateRun());
    }

    std::atomic<bool> m_isLoaded = false;
    std::array<std::unique_ptr<Backlog>, cores> m_backlogs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderLoadTest);
