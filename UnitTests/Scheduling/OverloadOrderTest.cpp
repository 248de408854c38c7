#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// Which of several jobs give way when they exceed the room. The room does one unit of work in a
/// millisecond.
class OverloadOrderTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(OverloadOrderTest);
    CPPUNIT_TEST(jobsThatFitAreAllInTime);
    CPPUNIT_TEST(largestJobGivesWayWhenTheScheduleOverflows);
    CPPUNIT_TEST(jobThatHasBegunGoesOn);
    CPPUNIT_TEST(smallJobDoesNotGiveWayForALargeOneThatHasBegun);
    CPPUNIT_TEST(jobThatCannotBeInTimeYields);
    CPPUNIT_TEST(lateJobWithLittleLeftIsEndedFirst);
    CPPUNIT_TEST(lateJobWithoutRoomBeforeItIsWorthlessComesLast);
    CPPUNIT_TEST(higherPriorityGoesFirst);
    CPPUNIT_TEST(noQueuePaysForAllAtTheSamePriority);
    CPPUNIT_TEST_SUITE_END();

    OverloadOrder m_order;

    static JobClaim claim(std::string_view job, double work, double objectiveMs)
    {
        return {job, "q", 0, work, 1, objectiveMs, 3 * objectiveMs, false};
    }

    void expect(const std::vector<JobClaim> &claims, const std::vector<Standing> &expected) const
    {
        const Arrangement arrangement = m_order.arrange(claims, 1);
        for (std::size_t i = 0; i < claims.size(); ++i)
            CPPUNIT_ASSERT_EQUAL_MESSAGE(std::string(claims[i].job),
                                         std::string(nameOf(expected[i])),
                                         std::string(nameOf(arrangement.places[i].standing)));
    }

    void jobsThatFitAreAllInTime()
    {
        const std::vector<JobClaim> claims{claim("a", 10, 20), claim("b", 10, 20)};
        expect(claims, {Standing::InTime, Standing::InTime});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, m_order.arrange(claims, 1).load, 1e-9);
    }

    void largestJobGivesWayWhenTheScheduleOverflows()
    {
        expect({claim("a", 10, 30), claim("large", 25, 31), claim("b", 10, 32)},
               {Standing::InTime, Standing::PutBack, Standing::InTime});
    }

    void jobThatHasBegunGoesOn()
    {
        JobClaim begun = claim("begun", 25, 31);
        begun.begun = true;
        expect({claim("a", 10, 30), begun, claim("b", 10, 32)},
               {Standing::PutBack, Standing::InTime, Standing::PutBack});
    }

    /// Guards against quick jobs that are put back one after the other because a heavy one has
    /// begun too much: all of them together would not make room for it.
    void smallJobDoesNotGiveWayForALargeOneThatHasBegun()
    {
        JobClaim begun = claim("begun", 1000, 500);
        begun.begun = true;
        expect({begun, claim("small", 1, 600)}, {Standing::InTime, Standing::InTime});
    }

    void jobThatCannotBeInTimeYields()
    {
        JobClaim late = claim("late", 10, 20);
        late.chainMs = 21;
        expect({late, claim("a", 10, 30)}, {Standing::Late, Standing::InTime});
    }

    /// Guards against jobs whose last tasks wait behind whole new ones again and again.
    void lateJobWithLittleLeftIsEndedFirst()
    {
        JobClaim late = claim("late", 1, -1);
        late.worthlessMs = 20;
        late.begun = true;
        expect({late, claim("a", 10, 30)}, {Standing::Ending, Standing::InTime});
        late.begun = false;
        expect({late, claim("a", 10, 30)}, {Standing::Late, Standing::InTime});
    }

    void lateJobWithoutRoomBeforeItIsWorthlessComesLast()
    {
        JobClaim late = claim("late", 20, -10);
        late.worthlessMs = 15;
        expect({late, claim("a", 10, 30)}, {Standing::Last, Standing::InTime});
    }

    void higherPriorityGoesFirst()
    {
        JobClaim lower = claim("lower", 1, 10);
        lower.priority = 2;
        expect({lower, claim("higher", 10, 10)}, {Standing::PutBack, Standing::InTime});
    }

    void noQueuePaysForAllAtTheSamePriority()
    {
        std::vector<JobClaim> claims;
        std::vector<std::string> names;
        names.reserve(100);
        for (int i = 0; i < 100; ++i)
            names.push_back(fmt::format("{:03}", i));
        // Twice what fits. The jobs of one queue are larger.
        for (std::size_t i = 0; i < 50; ++i) {
            claims.push_back(claim(names[i], 10, 550));
            claims.push_back(claim(names[50 + i], 12, 550));
            claims.back().queue = "larger";
        }
        const Arrangement arrangement = m_order.arrange(claims, 1);
        std::map<std::string_view, double> lost;
        for (std::size_t i = 0; i < claims.size(); ++i)
            lost[claims[i].queue] += arrangement.places[i].standing == Standing::InTime ? 0 : 0.02;
        CPPUNIT_ASSERT(lost["q"] > 0);
        CPPUNIT_ASSERT(lost["larger"] > 0);
        CPPUNIT_ASSERT(std::abs(lost["larger"] - lost["q"])
                       <= 2 * OverloadOrderSettings().mostExcessLoss + 0.05);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadOrderTest);

} // namespace guavashift
