#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// Places of jobs and refusals, with room for ten cores.
class OverloadPlannerTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadPlannerTest);
    CPPUNIT_TEST(calmLoadGivesNoPlaces);
    CPPUNIT_TEST(overloadPutsJobsBackAndTakesThemUpAgain);
    CPPUNIT_TEST(otherPoolIsNotOverloaded);
    CPPUNIT_TEST(bestEffortJobsKeepTheirTurn);
    CPPUNIT_TEST(newLeaderWithAFullTableAndNoRoomRefusesNothing);
    CPPUNIT_TEST(newLeaderOrdersAFullTableOnceThereIsRoom);
    CPPUNIT_TEST(jobThatCouldOnlyBeWorthlessIsRefused);
    CPPUNIT_TEST(jobThatMayBeLateIsNotRefused);
    CPPUNIT_TEST(workThatHasNotBegunIsNoReasonToRefuse);
    CPPUNIT_TEST(refusedJobGoesBeforeOthersWhenItComesBack);
    CPPUNIT_TEST(refusalsAreRememberedForALimitedTimeAndNumber);
    CPPUNIT_TEST(planningTakesABoundedPartOfTheTime);
    CPPUNIT_TEST_SUITE_END();

    OverloadPlanner m_planner;

    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::seconds(50) + std::chrono::milliseconds(milliseconds));
    }

    /// One task of one core for each second of work.
    static JobDemand demand(std::uint32_t tasks, std::int64_t objectiveMs)
    {
        JobDemand demand;
        demand.queue = "q";
        demand.service = "s";
        demand.objective = objectiveMs;
        demand.worthlessAt = 3 * objectiveMs;
        demand.steps = {{"", 1000, 1000, tasks, {}}};
        return demand;
    }

    void plan(int milliseconds, double milliCores = 10'000)
    {
        m_planner.plan({{RoomPool{"s", false}, milliCores}}, at(milliseconds), milliseconds);
    }

public:
    void setUp() override { m_planner.reset(at(0)); }

private:
    void calmLoadGivesNoPlaces()
    {
        m_planner.accepted("a", demand(5, 3000));
        m_planner.accepted("b", demand(5, 3000));
        plan(0);
        CPPUNIT_ASSERT(!m_planner.isOverloaded());
        CPPUNIT_ASSERT(!m_planner.placeOf("a"));
    }

    void overloadPutsJobsBackAndTakesThemUpAgain()
    {
        m_planner.accepted("a", demand(5, 2000));
        m_planner.accepted("b", demand(40, 2000));
        plan(0);
        CPPUNIT_ASSERT_EQUAL(0, m_planner.placeOf("a")->rank);
        CPPUNIT_ASSERT_EQUAL(1, m_planner.placeOf("b")->rank);
        CPPUNIT_ASSERT(m_planner.placeOf("b")->standing == Standing::PutBack);
        // A job that comes in between gives way until the next plan.
        m_planner.accepted("c", demand(1, 5000));
        CPPUNIT_ASSERT_EQUAL(1, m_planner.placeOf("c")->rank);
        m_planner.account().tasksLeft("b", 0, 2);
        m_planner.account().tasksLeft("a", 0, 1);
        plan(100);
        CPPUNIT_ASSERT(!m_planner.isOverloaded());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_planner.counts().putBack);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_planner.counts().takenUp);
    }

    void otherPoolIsNotOverloaded()
    {
        m_planner.accepted("a", demand(100, 2000));
        JobDemand other = demand(1, 2000);
        other.bestEffort = true;
        m_planner.accepted("b", other);
        m_planner.plan({{RoomPool{"s", false}, 10'000}, {RoomPool{"s", true}, 10'000}}, at(0), 0);
        CPPUNIT_ASSERT(m_planner.placeOf("a"));
        CPPUNIT_ASSERT(!m_planner.placeOf("b"));
    }

    void bestEffortJobsKeepTheirTurn()
    {
        JobDemand wide = demand(100, 2000);
        wide.bestEffort = true;
        m_planner.accepted("a", wide);
        m_planner.plan({{RoomPool{"s", true}, 10'000}}, at(0), 0);
        CPPUNIT_ASSERT(m_planner.isOverloaded("s", true));
        CPPUNIT_ASSERT(!m_planner.isOverloaded("s", false));
        CPPUNIT_ASSERT(!m_planner.placeOf("a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_planner.counts().putBack);
    }

    /// Accepts a job all tasks of which run, for 20 s.
    void begin(const std::string &job, std::uint32_t tasks)
    {
        JobDemand slow = demand(tasks, 2000);
        slow.steps[0].estimateMs = 20'000;
        m_planner.accepted(job, std::move(slow));
        for (std::uint32_t t = 0; t < tasks; ++t)
            m_planner.account().runBound(job, 0, at(0));
    }

    void newLeaderWithAFullTableAndNoRoomRefusesNothing()
    {
        begin("a", 1000);
        m_planner.plan({}, at(0), 0);
        CPPUNIT_ASSERT(!m_planner.refusalOf("b", demand(1, 2000), at(100), 0));
        plan(200);
        CPPUNIT_ASSERT(!m_planner.refusalOf("b", demand(1, 2000), at(300), 0));
    }

    void newLeaderOrdersAFullTableOnceThereIsRoom()
    {
        // Eight seconds without a leader: of 40 jobs, some can still be in time.
        for (int i = 0; i < 40; ++i) {
            JobDemand each = demand(5, 2000 + 200 * i);
            m_planner.accepted(fmt::format("{:02}", i), each);
        }
        m_planner.plan({}, at(8000), 8000);
        CPPUNIT_ASSERT(!m_planner.isOverloaded());
        plan(8100);
        int first = 0;
        for (int i = 0; i < 40; ++i)
            first += m_planner.placeOf(fmt::format("{:02}", i))->rank == 0 ? 1 : 0;
        CPPUNIT_ASSERT(first > 0);
        CPPUNIT_ASSERT(first < 10);
        CPPUNIT_ASSERT(m_planner.placeOf("39")->standing == Standing::InTime
                       || m_planner.placeOf("38")->standing == Standing::InTime);
    }

    void jobThatCouldOnlyBeWorthlessIsRefused()
    {
        begin("a", 200);
        plan(5000);
        const auto refusal = m_planner.refusalOf("b", demand(1, 2000), at(5000), 0);
        CPPUNIT_ASSERT(refusal);
        CPPUNIT_ASSERT(refusal->retryAfterSeconds >= 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_planner.counts().refused.at("q"));
    }

    void jobThatMayBeLateIsNotRefused()
    {
        begin("a", 4);
        plan(5000);
        CPPUNIT_ASSERT(!m_planner.refusalOf("b", demand(1, 2000), at(5000), 0));
    }

    void workThatHasNotBegunIsNoReasonToRefuse()
    {
        m_planner.accepted("a", demand(1000, 2000));
        plan(5000);
        CPPUNIT_ASSERT(!m_planner.refusalOf("b", demand(1, 2000), at(5000), 0));
    }

    void refusedJobGoesBeforeOthersWhenItComesBack()
    {
        begin("a", 200);
        plan(5000);
        CPPUNIT_ASSERT(m_planner.refusalOf("b", demand(15, 2000), at(5000), 0));
        m_planner.ended("a");
        m_planner.accepted("new", demand(15, 2000));
        m_planner.accepted("b", demand(15, 2000));
        plan(5100);
        m_planner.plan({{RoomPool{"s", false}, 10'000}}, at(5200), 0);
        CPPUNIT_ASSERT_EQUAL(0, m_planner.placeOf("b")->rank);
        CPPUNIT_ASSERT_EQUAL(1, m_planner.placeOf("new")->rank);
    }

    void refusalsAreRememberedForALimitedTimeAndNumber()
    {
        ReturningJobs returning(2, std::chrono::seconds(10));
        returning.refused("a", at(0));
        returning.refused("b", at(1));
        returning.refused("c", at(2));
        CPPUNIT_ASSERT(!returning.contains("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, returning.size());
        returning.refused("d", at(20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, returning.size());
        returning.forget("d");
        CPPUNIT_ASSERT(!returning.contains("d"));
    }

    void planningTakesABoundedPartOfTheTime()
    {
        for (int i = 0; i < 5000; ++i)
            m_planner.accepted(fmt::format("{:05}", i), demand(4, 2000));
        plan(0);
        CPPUNIT_ASSERT(!m_planner.isDue(at(900)));
        CPPUNIT_ASSERT(m_planner.isDue(at(1100)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadPlannerTest);

} // namespace guavashift
