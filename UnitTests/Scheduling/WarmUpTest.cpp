#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// Workers that have started, or whose failure domain was taken back, a moment ago.
class WarmUpTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WarmUpTest);
    CPPUNIT_TEST(limitsNothingWithoutBounds);
    CPPUNIT_TEST(coldWorkersGetMoreAsTheyWarmUp);
    CPPUNIT_TEST(returnedWorkersGetMoreOverTime);
    CPPUNIT_TEST(startsEverywhereWhenAllAreCold);
    CPPUNIT_TEST(everyWorkerMayHaveOneRun);
    CPPUNIT_TEST(copesWithTimesThatMakeNoSense);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration second = std::chrono::seconds(1);

    void limitsNothingWithoutBounds()
    {
        const WarmUp none(WarmUpSettings{});
        CPPUNIT_ASSERT(!none.isEnabled());
        CPPUNIT_ASSERT(none.mayStart(0, 1000, 1.0));
    }

    void coldWorkersGetMoreAsTheyWarmUp()
    {
        const WarmUp warmUp({1.5, 5});
        CPPUNIT_ASSERT_EQUAL(0.0, warmUp.warmth({4 * second, 4 * second, {}}));
        CPPUNIT_ASSERT_EQUAL(0.75, warmUp.warmth({second, 4 * second, {}}));
        CPPUNIT_ASSERT_EQUAL(1.0, warmUp.warmth({{}, 4 * second, {}}));
        // 5 beside its share, and one and a half times its share at three quarters of its warmth.
        CPPUNIT_ASSERT(warmUp.mayStart(0, 4, 8.0));
        CPPUNIT_ASSERT(!warmUp.mayStart(0, 5, 8.0));
        CPPUNIT_ASSERT(warmUp.mayStart(0.75, 13, 8.0));
        CPPUNIT_ASSERT(!warmUp.mayStart(0.75, 14, 8.0));
        CPPUNIT_ASSERT(warmUp.mayStart(1, 1000, 8.0));
    }

    void returnedWorkersGetMoreOverTime()
    {
        const WarmUp warmUp({1.5, 5});
        CPPUNIT_ASSERT_EQUAL(0.0, warmUp.warmth({{}, {}, Duration::zero()}));
        CPPUNIT_ASSERT_EQUAL(0.5, warmUp.warmth({{}, {}, second}));
        CPPUNIT_ASSERT_EQUAL(1.0, warmUp.warmth({{}, {}, 3 * second}));
        // It reports that it is colder than that.
        CPPUNIT_ASSERT_EQUAL(0.25, warmUp.warmth({3 * second, 4 * second, second}));
    }

    void startsEverywhereWhenAllAreCold()
    {
        CPPUNIT_ASSERT(WarmUp({1.5, 5}).mayStart(0, 1000, std::nullopt));
    }

    void everyWorkerMayHaveOneRun()
    {
        const WarmUp warmUp({1.5, 0});
        CPPUNIT_ASSERT(warmUp.mayStart(0, 0, 8.0));
        CPPUNIT_ASSERT(!warmUp.mayStart(0, 1, 8.0));
    }

    void copesWithTimesThatMakeNoSense()
    {
        const WarmUp warmUp({1.5, 5});
        CPPUNIT_ASSERT_EQUAL(0.0, warmUp.warmth({{}, {}, -5 * second}));
        CPPUNIT_ASSERT_EQUAL(0.0, warmUp.warmth({second, {}, {}}));
        CPPUNIT_ASSERT_EQUAL(0.0, warmUp.warmth({9 * second, second, {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WarmUpTest);

} // namespace guavashift
