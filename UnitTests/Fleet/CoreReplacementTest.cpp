#include <UnitTests/Fleet/FleetScenario.h>

using namespace guavashift;

namespace {

/// Time after which a new control process counts towards the losses that are tolerated,
/// `catch_up_s` of the deployments.
constexpr Duration catchUpLimit = std::chrono::seconds(4);

} // namespace

/// Control processes that are removed for good and replaced by others at other addresses.
class CoreReplacementTest : public FleetScenario
{
    CPPUNIT_TEST_SUITE(CoreReplacementTest);
    CPPUNIT_TEST(joinsWhenTheLeaderIsNoSeed);
    CPPUNIT_TEST(joinsAfterTwoReplacements);
    CPPUNIT_TEST(removedMemberJoinsAgainWhenTheLeaderIsNew);
    CPPUNIT_TEST(followerWhoseSeedsAreGoneForwardsCalls);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a new control process that never becomes a voter because the leader is none
    /// of its seeds, so that the next loss ends the fleet's service for good.
    void joinsWhenTheLeaderIsNoSeed()
    {
        submit("before", planOf(1));
        const Roles at = roles();
        m_cores[at.removed].reset();
        startCoreAt(at.removed, successor(cores, {at.follower, at.removed}));
        runUntil([] { return false; }, catchUpLimit);
        m_cores[at.follower].reset();
        assertServes("after");
        CPPUNIT_ASSERT_EQUAL(std::string("completed"), stateOf("before"));
    }

    /// Guards against the same for the second of two, whose seeds are gone or follow a leader that
    /// is no seed either.
    void joinsAfterTwoReplacements()
    {
        const Roles at = roles();
        m_cores[at.removed].reset();
        startCoreAt(at.removed, successor(cores, {at.follower, at.removed}));
        runUntil([] { return false; }, catchUpLimit);
        m_cores[at.follower].reset();
        startCoreAt(at.follower, successor(cores + 1, {at.follower, at.removed, cores}));
        runUntil([] { return false; }, catchUpLimit);
        m_cores[at.removed].reset();
        assertServes("after");
    }

    /// Guards against a control process that was replaced while it was down, and does not join
    /// again because it has never heard of the process that leads now.
    void removedMemberJoinsAgainWhenTheLeaderIsNew()
    {
        const Roles at = roles();
        m_cores[at.removed].reset();
        startCoreAt(at.removed, settingsOf(cores));
        runUntil([] { return false; }, catchUpLimit);
        m_cores[at.leader].reset();
        until([&] {
            // Only the new process can take the leadership over.
            if (m_cores[at.follower]->node->leads())
                m_cores[at.follower]->node->drain();
            return m_cores[at.removed]->node->leads();
        });
        startCoreAt(at.leader, settingsOf(static_cast<int>(at.removed)));
        runUntil([] { return false; }, catchUpLimit);
        m_cores[at.follower].reset();
        assertServes("after");
    }

    /// Guards against a control process that refuses all operators' calls because its seeds are
    /// gone, although its replica follows the leader.
    void followerWhoseSeedsAreGoneForwardsCalls()
    {
        const Roles at = roles();
        m_cores[at.follower].reset();
        startCoreAt(at.follower, successor(static_cast<int>(at.follower), {cores, cores + 1}));
        FleetCall call;
        call.kind = CallKind::ReadConfiguration;
        FleetAnswer answer;
        bool isWaiting = false;
        until([&] {
            if (!isWaiting && answer.result != CallResult::Document) {
                isWaiting = true;
                m_cores[at.follower]->node->call(call, std::chrono::seconds(1),
                                                 [&](FleetAnswer each) {
                                                     answer = std::move(each);
                                                     isWaiting = false;
                                                 });
            }
            return answer.result == CallResult::Document;
        });
        CPPUNIT_ASSERT_EQUAL(std::string("1"), answer.text);
    }

private:
    struct Roles
    {
        std::size_t leader = 0;
        std::size_t follower = 0;
        std::size_t removed = 0;
    };

    [[nodiscard]] Roles roles()
    {
        Roles roles;
        until([&] {
            for (roles.leader = 0; roles.leader < m_cores.size(); ++roles.leader) {
                if (m_cores[roles.leader]->node->leads())
                    return true;
            }
            return false;
        });
        roles.follower = (roles.leader + 1) % cores;
        roles.removed = (roles.leader + 2) % cores;
        return roles;
    }

    /// Settings of a control process at a new address, whose seeds are these machines.
    [[nodiscard]] FleetSettings successor(int number, const std::vector<std::size_t> &seeds) const
    {
        FleetSettings settings = settingsOf(number);
        settings.seeds.clear();
        for (const std::size_t seed : seeds)
            settings.seeds.push_back(settingsOf(static_cast<int>(seed)).channelAddress());
        return settings;
    }

    /// Checks that the control processes that are left have a quorum.
    void assertServes(const std::string &job)
    {
        submitAgain(job, planOf(2));
        until([&] { return isInState(job, "completed"); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CoreReplacementTest);
