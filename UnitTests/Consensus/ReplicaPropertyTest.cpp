#include <UnitTests/Consensus/SimulatedCluster.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace guavashift;

namespace {

enum class FaultKind {
    Run,
    Crash,
    Restart,
    Cut,
    Heal,
    Pause,
    Resume,
    LoseDisk,
    Transfer,
    Snapshot,
};

/// One step of a random history.
struct Fault
{
    FaultKind kind = FaultKind::Run;
    std::size_t vm = 0;
    int lengthMs = 100;
};

void showValue(const Fault &fault, std::ostream &stream)
{
    stream << "{" << static_cast<int>(fault.kind) << " vm" << fault.vm << " " << fault.lengthMs
           << " ms}";
}

rc::Gen<Fault> anyFault(std::size_t vms)
{
    return rc::gen::map(
        rc::gen::tuple(rc::gen::weightedElement<FaultKind>({{6, FaultKind::Run},
                                                            {3, FaultKind::Crash},
                                                            {4, FaultKind::Restart},
                                                            {2, FaultKind::Cut},
                                                            {2, FaultKind::Heal},
                                                            {2, FaultKind::Pause},
                                                            {2, FaultKind::Resume},
                                                            {2, FaultKind::LoseDisk},
                                                            {1, FaultKind::Transfer},
                                                            {2, FaultKind::Snapshot}}),
                       rc::gen::inRange<std::size_t>(0, vms), rc::gen::inRange(20, 2500)),
        [](const std::tuple<FaultKind, std::size_t, int> &values) {
            return Fault{std::get<0>(values), std::get<1>(values), std::get<2>(values)};
        });
}

/// Applies the fault, unless the cluster is not designed to tolerate it: a disk may be lost only
/// while all voters are healthy.
void applyFault(SimulatedCluster &cluster, const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::Run:
        break;
    case FaultKind::Crash:
        cluster.crash(fault.vm);
        break;
    case FaultKind::Restart:
        cluster.restart(fault.vm);
        break;
    case FaultKind::Cut:
        cluster.cutOff(fault.vm);
        break;
    case FaultKind::Heal:
        cluster.heal();
        break;
    case FaultKind::Pause:
        if (cluster.isUp(fault.vm))
            cluster.pause(fault.vm);
        break;
    case FaultKind::Resume:
        cluster.resume(fault.vm);
        break;
    case FaultKind::LoseDisk:
        if (cluster.healthyVoters() >= 3)
            cluster.loseDisk(fault.vm);
        break;
    case FaultKind::Transfer:
        cluster.transferLeadership();
        break;
    case FaultKind::Snapshot:
        cluster.takeSnapshots();
        break;
    }
    for (int elapsed = 0; elapsed < fault.lengthMs; elapsed += 100) {
        cluster.propose(2);
        cluster.run(std::chrono::milliseconds(std::min(100, fault.lengthMs - elapsed)));
    }
}

SimulatedClusterSettings settingsFor(std::uint64_t seed, std::size_t vms)
{
    SimulatedClusterSettings settings;
    settings.seed = seed;
    settings.vms = vms;
    settings.crashAtStoragePermille = 2;
    settings.planner.voterLostAfter = std::chrono::seconds(5);
    return settings;
}

/// Runs a history, then ends all faults. Returns the violations.
std::vector<std::string> runHistory(const SimulatedClusterSettings &settings,
                                    const std::vector<Fault> &faults)
{
    SimulatedCluster cluster(settings);
    cluster.run(std::chrono::seconds(6));
    for (const Fault &fault : faults)
        applyFault(cluster, fault);
    cluster.setLossless();
    cluster.heal();
    for (int i = 0; i < 60 && !(cluster.leaseHolder() && cluster.converged()); ++i) {
        cluster.heal();
        cluster.run(std::chrono::milliseconds(500));
    }
    std::vector<std::string> violations = cluster.violations();
    if (!cluster.leaseHolder())
        violations.emplace_back("no leader after all faults ended");
    else if (!cluster.converged())
        violations.emplace_back("the replicas disagree or lack acknowledged entries");
    return violations;
}

/// Number of histories out of `count` with a violation.
std::size_t countBroken(SimulatedClusterSettings settings, std::size_t count)
{
    std::size_t broken = 0;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<Fault> faults;
        faults.reserve(25);
        for (int i = 0; i < 25; ++i)
            faults.push_back({static_cast<FaultKind>(random() % 10), random() % settings.vms,
                              static_cast<int>(20 + random() % 1500)});
        settings.seed = seed;
        if (!runHistory(settings, faults).empty())
            ++broken;
    }
    return broken;
}

/// A follower whose election timeout expired while it was cut off returns just when the leader is
/// cut off. Returns the number of violations over several seeds.
std::size_t staleLeaseViolations(bool stickiness)
{
    SimulatedClusterSettings settings = settingsFor(7, 3);
    settings.crashAtStoragePermille = 0;
    settings.lossPercent = 0;
    settings.replica.leaderStickiness = stickiness;
    settings.replica.preVote = stickiness;
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        settings.seed = seed;
        SimulatedCluster cluster(settings);
        cluster.run(std::chrono::seconds(6));
        const std::size_t leader = cluster.leaseHolder().value_or(0);
        const std::size_t follower = (leader + 1) % 3;
        cluster.cutOff(follower);
        cluster.run(std::chrono::seconds(2));
        cluster.heal();
        cluster.cutOff(leader);
        for (int i = 0; i < 40; ++i) {
            cluster.propose(1);
            cluster.run(std::chrono::milliseconds(10));
        }
        violations += cluster.violations().size();
    }
    return violations;
}

/// One voter misses entries that the others acknowledge; then one of those loses its disk and the
/// other stops. Returns the number of violations.
std::size_t runEmptyDiskHistory(const SimulatedClusterSettings &settings)
{
    SimulatedCluster cluster(settings);
    cluster.run(std::chrono::seconds(6));
    const std::size_t leader = cluster.leaseHolder().value_or(0);
    const std::size_t behind = (leader + 1) % 3;
    const std::size_t wiped = (leader + 2) % 3;
    cluster.cutOff(behind);
    cluster.propose(5);
    cluster.run(std::chrono::milliseconds(300));
    cluster.loseDisk(wiped);
    cluster.crash(leader);
    cluster.resume(behind);
    cluster.restart(wiped);
    cluster.reconnect(behind);
    cluster.run(std::chrono::seconds(3));
    cluster.propose(5);
    cluster.run(std::chrono::seconds(1));
    return cluster.violations().size();
}

/// Sum of runEmptyDiskHistory() over several seeds.
std::size_t emptyDiskViolations(bool refuseVote)
{
    SimulatedClusterSettings settings = settingsFor(7, 3);
    settings.crashAtStoragePermille = 0;
    settings.lossPercent = 0;
    settings.reuseIdentity = true;
    settings.replica.refuseVoteWithEmptyLog = refuseVote;
    std::size_t violations = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        settings.seed = seed;
        violations += runEmptyDiskHistory(settings);
    }
    return violations;
}

} // namespace

/// Safety of the replicated log under lost, late, duplicated and reordered messages, crashes at
/// every write and sync, lost disks, pauses and disconnected VMs.
class ReplicaPropertyTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ReplicaPropertyTest);
    CPPUNIT_TEST(survivesFaultsWithThreeVms);
    CPPUNIT_TEST(survivesFaultsWithASpare);
    CPPUNIT_TEST(breaksWithoutSyncBeforeReply);
    CPPUNIT_TEST(leaseIsSoundOnlyWithStickiness);
    CPPUNIT_TEST(emptyDiskMustNotVote);
    CPPUNIT_TEST_SUITE_END();

public:
    void survivesFaultsWithThreeVms() { checkHistories(3); }
    void survivesFaultsWithASpare() { checkHistories(4); }

    void breaksWithoutSyncBeforeReply()
    {
        SimulatedClusterSettings settings = settingsFor(1, 3);
        settings.crashAtStoragePermille = 20;
        settings.replica.syncBeforeReply = false;
        CPPUNIT_ASSERT(countBroken(settings, 60) > 0);
        settings.replica.syncBeforeReply = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), countBroken(settings, 60));
    }

    void leaseIsSoundOnlyWithStickiness()
    {
        CPPUNIT_ASSERT(staleLeaseViolations(false) > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), staleLeaseViolations(true));
    }

    void emptyDiskMustNotVote()
    {
        CPPUNIT_ASSERT(emptyDiskViolations(false) > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), emptyDiskViolations(true));
    }

private:
    static void checkHistories(std::size_t vms)
    {
        const bool holds = rc::check("no rule is broken", [vms] {
            const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            const auto faults = *rc::gen::container<std::vector<Fault>>(anyFault(vms));
            const std::vector<std::string> violations = runHistory(settingsFor(seed, vms), faults);
            for (const std::string &violation : violations)
                RC_LOG() << violation << "\n";
            RC_ASSERT(violations.empty());
        });
        CPPUNIT_ASSERT(holds);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ReplicaPropertyTest);
