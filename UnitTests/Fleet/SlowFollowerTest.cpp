#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// Time in which an operator's or a caller's request is acknowledged, `ack_timeout_ms` of the
/// deployments.
constexpr Duration answerLimit = std::chrono::seconds(4);
/// Time after which the fleet serves again, `recovery_s` of the deployments.
constexpr Duration recoveryLimit = std::chrono::seconds(12);

} // namespace

/// A leader with one follower, whose disk is slow, since the third control process is down.
class SlowFollowerTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(SlowFollowerTest);
    CPPUNIT_TEST(answersAlthoughSyncsOutlastTheLease);
    CPPUNIT_TEST(electsALeaderAlthoughVotesOutlastTheElectionTimeout);
    CPPUNIT_TEST_SUITE_END();

public:
    SlowFollowerTest()
        : FleetFixture(CoreLoops::InOwnThreads)
    {
    }

    /// Guards against a leader that never has its lease, so that it refuses calls and renews no
    /// worker's lease, although it and its follower run and are connected.
    void answersAlthoughSyncsOutlastTheLease()
    {
        slowTheOnlyFollower(900);
        const Instant end = BootClock::now() + std::chrono::seconds(15);
        for (int i = 0; BootClock::now() < end; ++i)
            CPPUNIT_ASSERT_MESSAGE(fmt::format("job {}", i),
                                   isAccepted(fmt::format("slow{}", i), answerLimit));
    }

    /// Guards against elections without end: a candidate that begins another one before the vote
    /// for the last one can be stored.
    void electsALeaderAlthoughVotesOutlastTheElectionTimeout()
    {
        slowTheOnlyFollower(1500);
        CPPUNIT_ASSERT(isAccepted("first", recoveryLimit));
    }

private:
    void slowTheOnlyFollower(int syncMs)
    {
        std::size_t leader = cores;
        until([&] {
            for (std::size_t i = 0; i < m_cores.size(); ++i) {
                if (m_cores[i]->node->leads())
                    leader = i;
            }
            return leader < cores;
        });
        m_cores[(leader + 1) % cores].reset();
        m_syncDelayMs[(leader + 2) % cores] = syncMs;
    }

    /// Submits a job, again after each refusal. Returns whether it is accepted in time.
    bool isAccepted(const std::string &job, Duration limit)
    {
        FleetCall call;
        call.kind = CallKind::Submit;
        call.host = "desk.example";
        call.path = "/counter/" + job;
        call.plan = planOf(1);
        const Instant end = BootClock::now() + limit;
        while (send(call).result != CallResult::Done) {
            if (BootClock::now() >= end)
                return false;
            constexpr Duration pause = std::chrono::milliseconds(50);
            runUntil([] { return false; }, pause);
        }
        return true;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowFollowerTest);
