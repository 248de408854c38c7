#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// Time in which an operator's or a caller's request is acknowledged, `ack_timeout_ms` of the
/// deployments.
constexpr Duration answerLimit = std::chrono::seconds(4);

} // namespace

/// Control processes whose disks are slow. Each has a thread, since a slow disk delays only its
/// own process.
class SlowDiskTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(SlowDiskTest);
    CPPUNIT_TEST(servesWhileAllDisksAreSlow);
    CPPUNIT_TEST_SUITE_END();

public:
    SlowDiskTest()
        : FleetFixture(CoreLoops::InOwnThreads)
    {
    }

    /// Guards against a leadership that is transferred without end, so that nobody serves while the
    /// disks of all control processes are slow.
    void servesWhileAllDisksAreSlow()
    {
        constexpr int syncMs = 150;
        for (auto &delay : m_syncDelayMs)
            delay = syncMs;
        const Instant end = BootClock::now() + std::chrono::seconds(8);
        for (int i = 0; BootClock::now() < end; ++i)
            assertAccepted(fmt::format("slow{}", i));
    }

private:
    void assertAccepted(const std::string &job)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = planOf(1);
        const Instant end = BootClock::now() + answerLimit;
        while (send(call).result != CallResult::Done)
            CPPUNIT_ASSERT_MESSAGE(job, BootClock::now() < end);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowDiskTest);
