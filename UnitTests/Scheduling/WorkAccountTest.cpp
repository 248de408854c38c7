#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// What is left of accepted jobs, and what runs really take.
class WorkAccountTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkAccountTest);
    CPPUNIT_TEST(workFallsWithEachTask);
    CPPUNIT_TEST(workOfARunFallsWhileItRuns);
    CPPUNIT_TEST(chainFollowsTheStepsThatAreLeft);
    CPPUNIT_TEST(releasedRunMustStartAgain);
    CPPUNIT_TEST(endedJobIsGone);
    CPPUNIT_TEST(estimatesThatAreOffByNineTenthsAreLearned);
    CPPUNIT_TEST(oneSlowRunSaysLittle);
    CPPUNIT_TEST(kindsBeyondTheLimitAreJudgedByTheirQueue);
    CPPUNIT_TEST_SUITE_END();

    RunTimes m_times;
    WorkAccount m_account;

    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::seconds(50) + std::chrono::milliseconds(milliseconds));
    }

    /// Two steps: 4 tasks of 2 cores and 1 s, then 2 tasks of 1 core and 3 s.
    void accept()
    {
        JobDemand demand;
        demand.queue = "q";
        demand.steps = {{"a", 2000, 1000, 4, {}}, {"b", 1000, 3000, 2, {0}}};
        m_account.accepted("j", std::move(demand));
    }

    [[nodiscard]] JobLoad load(int milliseconds) const
    {
        return m_account.loads(m_times, at(milliseconds)).at(0);
    }

    void workFallsWithEachTask()
    {
        accept();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(14e6, load(0).work, 1);
        CPPUNIT_ASSERT(!load(0).begun);
        m_account.runBound("j", 0, at(0));
        m_account.runReleased("j", 0, at(0));
        m_account.tasksLeft("j", 0, 3);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12e6, load(1000).work, 1);
        CPPUNIT_ASSERT_EQUAL(5U, load(1000).toStart);
        CPPUNIT_ASSERT(load(1000).begun);
    }

    void workOfARunFallsWhileItRuns()
    {
        accept();
        m_account.runBound("j", 0, at(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(13e6, load(500).work, 1);
        // It takes longer than expected, and is not done for it.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(12.2e6, load(5000).work, 1);
    }

    void chainFollowsTheStepsThatAreLeft()
    {
        accept();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(4000, load(0).chainMs, 1);
        m_account.tasksLeft("j", 0, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3000, load(0).chainMs, 1);
        m_account.runBound("j", 1, at(0));
        m_account.runBound("j", 1, at(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, load(1000).chainMs, 1);
    }

    void releasedRunMustStartAgain()
    {
        accept();
        m_account.runBound("j", 0, at(0));
        m_account.runReleased("j", 0, at(0));
        // An end that arrives again changes nothing.
        m_account.runReleased("j", 0, at(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(14e6, load(500).work, 1);
        CPPUNIT_ASSERT_EQUAL(6U, load(500).toStart);
    }

    void endedJobIsGone()
    {
        accept();
        m_account.ended("j");
        m_account.runReleased("j", 0, at(0));
        m_account.tasksLeft("j", 0, 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_account.size());
    }

    void estimatesThatAreOffByNineTenthsAreLearned()
    {
        for (int i = 0; i < 100; ++i)
            m_times.ended("q", "a", 1000, 1900);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1900, m_times.expectedMs("q", "a", 1000), 100);
        // Off to either side, it is right for the sum.
        m_times.clear();
        for (int i = 0; i < 100; ++i) {
            m_times.ended("q", "a", 1900, 1000);
            m_times.ended("q", "a", 100, 1000);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, m_times.expectedMs("q", "a", 1000), 100);
    }

    void oneSlowRunSaysLittle()
    {
        m_times.ended("q", "a", 500, 3500);
        CPPUNIT_ASSERT(m_times.expectedMs("q", "a", 500) < 1000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(500, m_times.expectedMs("other", "a", 500), 1);
    }

    void kindsBeyondTheLimitAreJudgedByTheirQueue()
    {
        RunTimesSettings settings;
        settings.maxKinds = 1;
        RunTimes times(settings);
        for (int i = 0; i < 100; ++i) {
            times.ended("q", "a", 1000, 1000);
            times.ended("q", "b", 1000, 3000);
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, times.expectedMs("q", "a", 1000), 200);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2000, times.expectedMs("q", "b", 1000), 200);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkAccountTest);

} // namespace guavashift
