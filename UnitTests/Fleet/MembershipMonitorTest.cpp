#include <Guavashift/Fleet/MembershipMonitor.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

Member memberNamed(const std::string &name)
{
    return {ReplicaId{name}, name, name + ":1", FailureDomain{"d"}, false};
}

} // namespace

/// What operators see of the members of the replicated log.
class MembershipMonitorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(MembershipMonitorTest);
    CPPUNIT_TEST(showsReplicaThatWaitsToJoin);
    CPPUNIT_TEST(showsWhoHearsARequestToJoin);
    CPPUNIT_TEST(showsWhyALostVoterIsNotReplaced);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_log.emplace(); }
    void tearDown() override { m_log.reset(); }

    /// Guards against a process that runs and never becomes a member without any sign of it.
    void showsReplicaThatWaitsToJoin()
    {
        const std::vector<std::string> asked{"a:1", "b:1"};
        m_monitor.asking(at(0), false, asked);
        assertMetric("guavashift_fleet_replica_available 0");
        for (int now = 300; now <= 7'200; now += 300)
            m_monitor.asking(at(now), false, asked);
        m_monitor.following(at(7'500));
        assertMetric("guavashift_fleet_replica_available 1");
        m_monitor.following(at(7'800));
        assertLines({"event=join-requested member=false waited_ms=0 asked=a:1,b:1",
                     "event=join-waits member=false waited_ms=2100 asked=a:1,b:1",
                     "event=join-waits member=false waited_ms=7200 asked=a:1,b:1",
                     "event=join-ended waited_ms=7500"});
    }

    void showsWhoHearsARequestToJoin()
    {
        for (int now = 0; now <= 4'800; now += 300)
            m_monitor.joinHeard(at(now), memberNamed("n"), false, "l:1");
        m_monitor.joinHeard(at(5'000), memberNamed("n"), true, "l:1");
        assertLines({"event=join-ignored replica=n address=n:1 leader=l:1",
                     "event=join-heard replica=n address=n:1 leader=l:1"});
    }

    void showsWhyALostVoterIsNotReplaced()
    {
        MembershipPlanner planner({3});
        Membership membership{{memberNamed("a"), memberNamed("b"), memberNamed("c")}};
        for (Member &member : membership.members)
            member.voter = true;
        const auto count = [&](int now) {
            // "c" is silent from the start on.
            const auto healthOf = [&](const ReplicaId &id) {
                return ReplicaHealth{1, at(id.value == "c" ? -60'000 : now)};
            };
            m_monitor.votersCounted(
                at(now), planner.shortage(membership, ReplicaId{"a"}, at(now), healthOf));
        };
        count(0);
        count(2'000);
        planner.joinRequested(memberNamed("n"), at(6'900));
        count(7'000);
        membership.members[2] = memberNamed("n");
        membership.members[2].voter = true;
        count(8'000);
        assertLines({"event=voters-missing healthy=2 target=3 missing_ms=2000 lost=c learners=\"\" "
                     "joining=\"\"",
                     "event=voters-missing healthy=2 target=3 missing_ms=7000 lost=c learners=\"\" "
                     "joining=n",
                     "event=voters-complete missing_ms=8000"});
    }

private:
    void assertMetric(const std::string &line)
    {
        CPPUNIT_ASSERT_MESSAGE(line, m_metrics.exposition().find(line + "\n") != std::string::npos);
    }

    /// Checks that these lines were logged, in this order, and no others.
    void assertLines(const std::vector<std::string> &expected)
    {
        const std::string text = m_log->text();
        std::string found;
        std::size_t begin = 0;
        for (std::size_t end = text.find('\n'); end != std::string::npos;
             begin = end + 1, end = text.find('\n', begin)) {
            const std::string line = text.substr(begin, end - begin);
            found += line.substr(line.find("event=")) + "\n";
        }
        std::string wanted;
        for (const std::string &line : expected)
            wanted += line + "\n";
        CPPUNIT_ASSERT_EQUAL(wanted, found);
    }

    std::optional<test::LogCapture> m_log;
    FleetMetrics m_metrics;
    MembershipMonitor m_monitor{{3}, m_metrics};
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipMonitorTest);
