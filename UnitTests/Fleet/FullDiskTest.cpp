#include <UnitTests/Fleet/FleetFixture.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// Time after which the fleet serves again, `recovery_s` of the deployments.
constexpr Duration recoveryLimit = std::chrono::seconds(12);
/// Time after which a control process whose disk takes writes again takes part, `catch_up_s`.
constexpr Duration catchUpLimit = std::chrono::seconds(4);

std::size_t countOf(const std::string &text, std::string_view part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

} // namespace

/// Control processes whose disks are full for a while and take writes again.
class FullDiskTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(FullDiskTest);
    CPPUNIT_TEST(servesAfterDisksWereFullInTurn);
    CPPUNIT_TEST(servesAfterLeadersDiskWasFull);
    CPPUNIT_TEST(keepsAcceptedJobsWhenAllDisksWereFull);
    CPPUNIT_TEST(takesPartUnderANewNameOnceItsFolderIsEmpty);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a control process that no longer takes part once its disk was full, so that
    /// the next full disk ends the fleet's service for good.
    void servesAfterDisksWereFullInTurn()
    {
        const std::size_t leader = leadingCore();
        for (const std::size_t follower : {(leader + 1) % cores, (leader + 2) % cores}) {
            fillDisks({follower});
            CPPUNIT_ASSERT(isAccepted(fmt::format("full{}", follower)));
            freeDisks({follower});
            CPPUNIT_ASSERT(isAccepted(fmt::format("free{}", follower)));
        }
        assertServesWithout(leader);
    }

    /// Guards against the same on the leader, which also must be replaced.
    void servesAfterLeadersDiskWasFull()
    {
        const std::size_t leader = leadingCore();
        fillDisks({leader});
        CPPUNIT_ASSERT(isAccepted("full"));
        CPPUNIT_ASSERT(leadingCore() != leader);
        freeDisks({leader});
        CPPUNIT_ASSERT(isAccepted("free"));
        assertServesWithout(leadingCore());
    }

    /// Guards against accepted jobs that are lost because their entries were not read again.
    void keepsAcceptedJobsWhenAllDisksWereFull()
    {
        CPPUNIT_ASSERT(isAccepted("before"));
        until([this] { return stateOf("before") == "completed"; });
        fillDisks({0, 1, 2});
        CPPUNIT_ASSERT(!trySubmit("during", std::chrono::seconds(3)));
        freeDisks({0, 1, 2});
        CPPUNIT_ASSERT(isAccepted("after"));
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), stateOf("before"));
        until([this] { return stateOf("after") == "completed"; });
        for (const auto &worker : m_workers)
            CPPUNIT_ASSERT(!worker->sawDuplicateRun());
    }

    /// Guards against a replica that votes again under its name after it has forgotten its votes
    /// and entries, because its folder was emptied while the disk was full, and against one that
    /// takes no part for good.
    void takesPartUnderANewNameOnceItsFolderIsEmpty()
    {
        CPPUNIT_ASSERT(isAccepted("before"));
        const std::size_t leader = leadingCore();
        const std::size_t follower = (leader + 1) % cores;
        fillDisks({follower});
        for (const auto &file :
             std::filesystem::directory_iterator(settingsOf(static_cast<int>(follower)).dataFolder))
            std::filesystem::remove(file);
        const test::LogCapture log;
        m_isDiskFull[follower] = false;
        CPPUNIT_ASSERT(runUntil([&] { return countOf(log.text(), "event=replica-opened ") == 1; },
                                catchUpLimit));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, countOf(log.text(), "has lost what was synced"));
        const std::string nameBefore = fmt::format("replica=127.0.0.{}/first", follower + 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             countOf(log.text(), "event=replica-opened " + nameBefore));
        // It has to be a voter again in time, since one of the others may be lost then.
        runUntil([] { return false; }, catchUpLimit);
        assertServesWithout(leader);
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), stateOf("before"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                             countOf(log.text(), "event=role-changed " + nameBefore));
    }

private:
    /// Fills these disks and waits until each has refused a write.
    void fillDisks(const std::vector<std::size_t> &disks)
    {
        const test::LogCapture log;
        for (const std::size_t disk : disks)
            m_isDiskFull[disk] = true;
        // The write of an entry that may or may not be accepted.
        (void)trySubmit(fmt::format("fill{}", disks.front()), std::chrono::seconds(1));
        until([&] { return countOf(log.text(), "event=replica-stopped ") == disks.size(); });
    }

    /// Frees these disks and checks that the replicas on them start again in time.
    void freeDisks(const std::vector<std::size_t> &disks)
    {
        const test::LogCapture log;
        for (const std::size_t disk : disks)
            m_isDiskFull[disk] = false;
        CPPUNIT_ASSERT(
            runUntil([&] { return countOf(log.text(), "event=replica-opened ") == disks.size(); },
                     catchUpLimit));
    }

    [[nodiscard]] std::size_t leadingCore()
    {
        std::size_t leader = cores;
        until([&] {
            for (std::size_t i = 0; i < m_cores.size(); ++i) {
                if (m_cores[i] && m_cores[i]->node->leads())
                    leader = i;
            }
            return leader < cores;
        });
        return leader;
    }

    /// Submits a job, again after each refusal, until it is accepted. Returns whether it was.
    static constexpr Duration retryPause = std::chrono::milliseconds(50);

    bool trySubmit(const std::string &job, Duration limit)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = planOf(1);
        const Instant end = BootClock::now() + limit;
        while (BootClock::now() < end) {
            if (send(call).result == CallResult::Done)
                return true;
            // A refusal may come at once, and the processes run on this thread only while it waits.
            runUntil([] { return false; }, retryPause);
        }
        return false;
    }

    bool isAccepted(const std::string &job) { return trySubmit(job, recoveryLimit); }

    /// Checks that the two other control processes have a quorum.
    void assertServesWithout(std::size_t core)
    {
        m_cores[core].reset();
        CPPUNIT_ASSERT(isAccepted("last"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FullDiskTest);
