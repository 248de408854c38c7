#include <Guavashift/Fleet/ReplicaDriver.h>
#include <UnitTests/Support/FreePort.h>

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

using namespace guavashift;

namespace {

/// The largest frame that a replica receives.
const std::size_t largestFrame = ChannelSettings{}.maxFrameBytes;

/// Discards what is stored, and keeps the size of the largest entry.
class MeasuringLogStore final : public LogStore
{
public:
    explicit MeasuringLogStore(std::size_t &largestEntry)
        : m_largestEntry(largestEntry)
    {
    }

    Result<void> saveHardState(const HardState &) override { return {}; }
    Result<void> truncateFrom(LogIndex) override { return {}; }
    Result<void> append(std::span<const LogEntry> entries) override
    {
        for (const LogEntry &entry : entries)
            m_largestEntry = std::max(m_largestEntry, entry.payload.size());
        return {};
    }
    Result<void> sync() override { return {}; }
    Result<void> replaceBySnapshot(const Snapshot &, const HardState &,
                                   std::span<const LogEntry>) override
    {
        return {};
    }

private:
    std::size_t &m_largestEntry;
};

} // namespace

/// The entries in which a leader stores what callers submit.
class EntrySizeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(EntrySizeTest);
    CPPUNIT_TEST(splitsLargeSubmissionsOfOneRound);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_folder = std::filesystem::temp_directory_path()
            / fmt::format("guavashift-entry-size-{}", ::getpid());
        std::filesystem::create_directories(m_folder);
    }

    void tearDown() override { std::filesystem::remove_all(m_folder); }

    /// Guards against submissions that wait for a leader and are stored as one entry, which no
    /// follower can receive, so that nothing is ever committed again.
    void splitsLargeSubmissionsOfOneRound()
    {
        std::size_t largestEntry = 0;
        std::size_t committed = 0;
        FleetSettings fleet;
        fleet.ip = "127.0.0.1";
        fleet.channelPort = test::freePort();
        fleet.seeds = {fleet.channelAddress()};
        fleet.dataFolder = m_folder.string();
        fleet.firstStart = true;
        EventLoop loop{EventLoopSettings()};
        CPPUNIT_ASSERT(loop.open());
        JobTable jobTable(JobTableSettings{}, [](std::string_view) { return QueueTable(); });
        FleetMetrics metrics;
        ReplicaDriver driver(loop, {}, fleet, jobTable, metrics,
                             {[](const StageCommand &, const StageOutcome &) {}, [](bool) {}, [] {},
                              [] { return std::vector<std::string>(); }},
                             1, [&](const std::filesystem::path &, PersistentState &) {
                                 return Result<std::unique_ptr<LogStore>>(
                                     std::make_unique<MeasuringLogStore>(largestEntry));
                             });
        CPPUNIT_ASSERT(driver.open());
        loop.addRoundEndHandler([&] { driver.endRound(); });
        until(loop, [&] { return driver.mayAnswer(); });
        constexpr std::size_t submissions = 200;
        AcceptJob accept;
        accept.queue = "counter";
        accept.plan.payload.assign(200'000, 'x');
        accept.plan.steps.resize(1);
        for (std::size_t i = 0; i < submissions; ++i) {
            accept.job = fmt::format("j{}", i);
            driver.propose({accept}, [&](bool isCommitted, std::span<const StageOutcome>) {
                committed += isCommitted ? 1 : 0;
            });
        }
        until(loop, [&] { return committed == submissions; });
        // An entry is sent whole, in one frame with what belongs to the request.
        CPPUNIT_ASSERT(largestEntry < largestFrame / 2);
    }

private:
    static void until(EventLoop &loop, const std::function<bool()> &condition)
    {
        const Instant deadline = BootClock::now() + std::chrono::seconds(30);
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("the condition never held", BootClock::now() < deadline);
            loop.runOnce(std::chrono::milliseconds(1));
        }
    }

    std::filesystem::path m_folder;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EntrySizeTest);
