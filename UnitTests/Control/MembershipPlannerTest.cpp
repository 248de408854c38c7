#include <Guavashift/Consensus/MembershipPlanner.h>
#include <Guavashift/Control/LeaseTable.h>
#include <Guavashift/Control/LeasedConfiguration.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

Member member(const std::string &vm, bool voter, const std::string &disk = "1")
{
    return {ReplicaId{vm + "/" + disk}, vm, vm + ":1", FailureDomain{vm}, voter};
}

ReplicaHealth healthy(const ReplicaId &)
{
    return {100, at(0)};
}

HeartbeatReply replyOf(ConfigVersion version, std::optional<Json> document)
{
    HeartbeatReply reply;
    reply.configLeaseMs = 2500;
    reply.configVersion = version;
    reply.configuration = std::move(document);
    return reply;
}

} // namespace

/// Tests the membership planner, the leader's lease table and the leased configuration.
class MembershipPlannerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipPlannerTest);
    CPPUNIT_TEST(addsAndPromotesMember);
    CPPUNIT_TEST(promotesOnlyCaughtUpLearners);
    CPPUNIT_TEST(addsReplacementBeforeRemovingLostReplica);
    CPPUNIT_TEST(lateRequestOfAnEarlierDiskChangesNothing);
    CPPUNIT_TEST(prefersAnotherFailureDomain);
    CPPUNIT_TEST(newLeaderWaitsForEarlierGrants);
    CPPUNIT_TEST(configurationVersionNeverDecreases);
    CPPUNIT_TEST(configurationLeaseCountsFromSending);
    CPPUNIT_TEST_SUITE_END();

public:
    void addsAndPromotesMember()
    {
        MembershipPlanner planner({});
        Membership membership{{member("a", true)}};
        CPPUNIT_ASSERT(!plan(planner, membership));
        planner.joinRequested(member("b", false), at(0));
        membership = *plan(planner, membership);
        CPPUNIT_ASSERT(!membership.isVoter(ReplicaId{"b/1"}));
        membership = *plan(planner, membership);
        CPPUNIT_ASSERT(membership.isVoter(ReplicaId{"b/1"}));
        CPPUNIT_ASSERT(!plan(planner, membership));
    }

    void promotesOnlyCaughtUpLearners()
    {
        const MembershipPlanner planner({});
        const Membership membership{{member("a", true), member("b", false)}};
        const auto behind =
            planner.plan(membership, ReplicaId{"a/1"}, 100, at(0), [](const ReplicaId &) {
                return ReplicaHealth{99, at(0)};
            });
        CPPUNIT_ASSERT(!behind);
    }

    void addsReplacementBeforeRemovingLostReplica()
    {
        MembershipPlanner planner({});
        Membership membership{{member("a", true), member("b", true), member("c", true)}};
        planner.joinRequested(member("c", false, "2"), at(0));
        std::vector<std::size_t> voters;
        while (const std::optional<Membership> next = plan(planner, membership)) {
            CPPUNIT_ASSERT(membership.isSingleChangeTo(*next));
            membership = *next;
            voters.push_back(membership.voterCount());
        }
        // Added as a learner, then promoted; only then is the old replica removed.
        CPPUNIT_ASSERT(voters == (std::vector<std::size_t>{3, 4, 3}));
        CPPUNIT_ASSERT(membership.isVoter(ReplicaId{"c/2"}));
        CPPUNIT_ASSERT(membership.find(ReplicaId{"c/1"}) == nullptr);
    }

    /// Guards against a reachable replica that is removed because a request of its machine's
    /// earlier disk arrives late.
    void lateRequestOfAnEarlierDiskChangesNothing()
    {
        MembershipPlanner planner({});
        const Membership membership{{member("a", true), member("b", true), member("c", true),
                                     member("d", true, "2"), member("e", false, "2")}};
        const auto planAt = [&](int milliseconds, int contact) {
            return planner.plan(membership, ReplicaId{"a/1"}, 100, at(milliseconds),
                                [&](const ReplicaId &) {
                                    return ReplicaHealth{100, at(contact)};
                                });
        };
        planner.joinRequested(member("d", false, "1"), at(1000));
        planner.joinRequested(member("e", false, "1"), at(1000));
        CPPUNIT_ASSERT(!planAt(1100, 1050));
        // Without contact since the request, the machine may have returned with another disk.
        CPPUNIT_ASSERT(planAt(1100, 1000));
    }

    void prefersAnotherFailureDomain()
    {
        const MembershipPlanner planner({});
        Member same = member("b", false);
        same.failureDomain.value = "a";
        const Membership membership{{member("a", true), same, member("c", false)}};
        CPPUNIT_ASSERT(plan(planner, membership)->isVoter(ReplicaId{"c/1"}));
    }

    void newLeaderWaitsForEarlierGrants()
    {
        LeaseTable table({});
        const WorkerId worker{"w"};
        table.start(at(0));
        // The old leader may have granted leases until its leader lease expired, 450 ms after the
        // start.
        CPPUNIT_ASSERT(!table.isExpired(worker, at(3'649)));
        CPPUNIT_ASSERT(table.isExpired(worker, at(3'650)));
        table.recordGrant(worker, at(3'000));
        CPPUNIT_ASSERT(!table.isExpired(worker, at(6'199)));
        CPPUNIT_ASSERT(table.isExpired(worker, at(6'200)));
    }

    void configurationVersionNeverDecreases()
    {
        LeasedConfiguration configuration;
        configuration.update(at(0), replyOf(2, Json::object()));
        configuration.update(at(100), replyOf(1, Json::object()));
        CPPUNIT_ASSERT_EQUAL(ConfigVersion(2), configuration.version());
        // The delayed reply did not extend the lease either.
        CPPUNIT_ASSERT(configuration.documentAt(at(2'499)) != nullptr);
        CPPUNIT_ASSERT(configuration.documentAt(at(2'500)) == nullptr);
    }

    void configurationLeaseCountsFromSending()
    {
        LeasedConfiguration configuration;
        CPPUNIT_ASSERT(configuration.documentAt(at(0)) == nullptr);
        configuration.update(at(0), replyOf(1, Json::object()));
        CPPUNIT_ASSERT(configuration.documentAt(at(2'400)) != nullptr);
        CPPUNIT_ASSERT(configuration.documentAt(at(2'500)) == nullptr);
        // A newer version without its document is not in force here, and gives no lease.
        configuration.update(at(3'000), replyOf(2, std::nullopt));
        CPPUNIT_ASSERT(configuration.documentAt(at(3'001)) == nullptr);
    }

private:
    static std::optional<Membership> plan(const MembershipPlanner &planner,
                                          const Membership &membership)
    {
        return planner.plan(membership, ReplicaId{"a/1"}, 100, at(0), healthy);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipPlannerTest);
