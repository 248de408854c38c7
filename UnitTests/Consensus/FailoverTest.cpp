#include <UnitTests/Consensus/SimulatedCluster.h>
#include <UnitTests/Support/Golden.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

SimulatedClusterSettings faultFreeSettings(std::size_t vms)
{
    SimulatedClusterSettings settings;
    settings.vms = vms;
    settings.lossPercent = 0;
    settings.duplicatePercent = 0;
    settings.planner.voterLostAfter = std::chrono::seconds(5);
    return settings;
}

/// Runs until the condition holds; fails the test after `limit`.
template <typename Condition>
void runUntil(SimulatedCluster &cluster, Duration limit, Condition condition)
{
    const Instant end = cluster.now() + limit;
    while (!condition()) {
        CPPUNIT_ASSERT(cluster.now() < end);
        cluster.run(std::chrono::milliseconds(10));
    }
}

} // namespace

/// Failover, repair and restart on the virtual clock.
class FailoverTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(FailoverTest);
    CPPUNIT_TEST(electsANewLeaderSoonAfterACrash);
    CPPUNIT_TEST(repairsALostDiskAndToleratesAnotherLoss);
    CPPUNIT_TEST(replacesALostVoterByTheSpare);
    CPPUNIT_TEST(catchesUpAfterManyChanges);
    CPPUNIT_TEST(catchesUpAFollowerThatLostTheEndOfItsLog);
    CPPUNIT_TEST(transfersLeadership);
    CPPUNIT_TEST(returningReplicaKeepsLeaderAndTerm);
    CPPUNIT_TEST(learnerRemovedWhileCutOffJoinsAgain);
    CPPUNIT_TEST(snapshotChunkRoundTripsThroughJson);
    CPPUNIT_TEST(sessionMatchesGoldenFile);
    CPPUNIT_TEST_SUITE_END();

public:
    void electsANewLeaderSoonAfterACrash()
    {
        for (std::uint64_t seed = 1; seed <= 50; ++seed) {
            SimulatedClusterSettings settings = faultFreeSettings(3);
            settings.seed = seed;
            SimulatedCluster cluster(settings);
            cluster.run(std::chrono::seconds(5));
            cluster.crash(*cluster.leaseHolder());
            runUntil(cluster, std::chrono::milliseconds(2500),
                     [&] { return cluster.leaseHolder().has_value(); });
        }
    }

    void repairsALostDiskAndToleratesAnotherLoss()
    {
        SimulatedCluster cluster(faultFreeSettings(3));
        cluster.run(std::chrono::seconds(5));
        cluster.propose(20);
        cluster.run(std::chrono::seconds(1));
        const std::size_t acknowledged = cluster.acknowledged();
        for (std::size_t vm : {0, 1, 2}) {
            cluster.loseDisk(vm);
            cluster.run(std::chrono::seconds(1));
            cluster.restart(vm);
            runUntil(cluster, std::chrono::seconds(20),
                     [&] { return cluster.healthyVoters() == 3; });
        }
        cluster.run(std::chrono::seconds(1));
        CPPUNIT_ASSERT_EQUAL(acknowledged, cluster.acknowledged());
        CPPUNIT_ASSERT(cluster.converged());
        CPPUNIT_ASSERT(cluster.violations().empty());
    }

    void replacesALostVoterByTheSpare()
    {
        SimulatedCluster cluster(faultFreeSettings(4));
        cluster.run(std::chrono::seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), cluster.healthyVoters());
        const std::size_t lost = (*cluster.leaseHolder() + 1) % 3;
        cluster.crash(lost);
        runUntil(cluster, std::chrono::seconds(20), [&] { return cluster.healthyVoters() == 3; });
        // The cluster tolerates a second loss right after the repair.
        cluster.crash(*cluster.leaseHolder());
        runUntil(cluster, std::chrono::seconds(4),
                 [&] { return cluster.leaseHolder().has_value(); });
        CPPUNIT_ASSERT(cluster.violations().empty());
    }

    void catchesUpAfterManyChanges()
    {
        SimulatedCluster cluster(faultFreeSettings(3));
        cluster.run(std::chrono::seconds(5));
        const std::size_t away = (*cluster.leaseHolder() + 1) % 3;
        cluster.crash(away);
        for (int i = 0; i < 50; ++i) {
            cluster.propose(10);
            cluster.run(std::chrono::milliseconds(50));
            if (i % 10 == 9)
                cluster.takeSnapshots();
        }
        cluster.restart(away);
        runUntil(cluster, std::chrono::seconds(5), [&] { return cluster.converged(); });
        CPPUNIT_ASSERT(cluster.acknowledged() >= 500);
    }

    void catchesUpAFollowerThatLostTheEndOfItsLog()
    {
        SimulatedCluster cluster(faultFreeSettings(3));
        cluster.run(std::chrono::seconds(5));
        cluster.propose(10);
        cluster.run(std::chrono::seconds(1));
        const std::size_t follower = (*cluster.leaseHolder() + 1) % 3;
        cluster.loseNewestEntries(follower, 4);
        cluster.restart(follower);
        runUntil(cluster, std::chrono::seconds(3), [&] { return cluster.converged(); });
    }

    void transfersLeadership()
    {
        SimulatedCluster cluster(faultFreeSettings(3));
        cluster.run(std::chrono::seconds(5));
        const std::size_t before = *cluster.leaseHolder();
        cluster.transferLeadership();
        CPPUNIT_ASSERT(!cluster.leaseHolder());
        runUntil(cluster, std::chrono::milliseconds(400),
                 [&] { return cluster.leaseHolder().has_value(); });
        CPPUNIT_ASSERT(*cluster.leaseHolder() != before);
    }

    void returningReplicaKeepsLeaderAndTerm()
    {
        SimulatedCluster cluster(faultFreeSettings(3));
        cluster.run(std::chrono::seconds(5));
        const std::size_t leader = *cluster.leaseHolder();
        const Term term = cluster.replica(leader).term();
        cluster.cutOff((leader + 1) % 3);
        cluster.run(std::chrono::seconds(4));
        cluster.heal();
        cluster.run(std::chrono::seconds(2));
        CPPUNIT_ASSERT_EQUAL(leader, *cluster.leaseHolder());
        CPPUNIT_ASSERT_EQUAL(term, cluster.replica(leader).term());
    }

    /// Guards against a learner that never asks to join again, because it stays a member in its own
    /// log and keeps its silent leader.
    void learnerRemovedWhileCutOffJoinsAgain()
    {
        SimulatedClusterSettings settings = faultFreeSettings(4);
        settings.planner.learnerLostAfter = std::chrono::seconds(3);
        SimulatedCluster cluster(settings);
        cluster.run(std::chrono::seconds(5));
        const Replica &leader = cluster.replica(*cluster.leaseHolder());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, leader.membership().members.size());
        std::size_t learner = 0;
        while (leader.membership().isVoter(cluster.replica(learner).id()))
            ++learner;
        cluster.cutOff(learner);
        runUntil(cluster, std::chrono::seconds(5),
                 [&] { return leader.membership().members.size() == 3; });
        // Nothing of the removal is in transit to it any more.
        cluster.run(std::chrono::seconds(1));
        cluster.reconnect(learner);
        runUntil(cluster, std::chrono::seconds(5),
                 [&] { return leader.membership().members.size() == 4; });
        runUntil(cluster, std::chrono::seconds(5), [&] { return cluster.converged(); });
    }

    void snapshotChunkRoundTripsThroughJson()
    {
        SnapshotChunk chunk;
        chunk.totalBytes = 256;
        for (int byte = 0; byte < 256; ++byte)
            chunk.data += static_cast<char>(byte);
        const std::string text = Json(Envelope{ReplicaId{"a"}, ReplicaId{"b"}, chunk}).dump();
        const auto back = Json::parse(text).get<Envelope>();
        CPPUNIT_ASSERT(std::get<SnapshotChunk>(back.body).data == chunk.data);
    }

    void sessionMatchesGoldenFile()
    {
        std::string transcript;
        SimulatedCluster cluster(faultFreeSettings(3));
        const auto note = [&](const char *what) {
            transcript += fmt::format("{}:", what);
            for (std::size_t vm = 0; vm < cluster.size(); ++vm) {
                if (!cluster.isUp(vm)) {
                    transcript += " down";
                    continue;
                }
                const Replica &replica = cluster.replica(vm);
                transcript +=
                    fmt::format(" {}/t{}/c{}/v{}", static_cast<int>(replica.role()), replica.term(),
                                replica.commitIndex(), replica.membership().voterCount());
            }
            transcript += "\n";
        };
        cluster.run(std::chrono::seconds(5));
        note("three voters");
        cluster.propose(3);
        cluster.run(std::chrono::milliseconds(200));
        note("three commands");
        const std::size_t leader = *cluster.leaseHolder();
        cluster.crash(leader);
        cluster.run(std::chrono::seconds(2));
        note("leader crashed");
        cluster.loseDisk(leader);
        cluster.restart(leader);
        cluster.run(std::chrono::seconds(8));
        note("empty disk repaired");
        cluster.propose(3);
        cluster.run(std::chrono::seconds(1));
        note("three more commands");
        CPPUNIT_ASSERT_EQUAL(std::string(), compareWithGolden("failover-session.txt", transcript));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(FailoverTest);
