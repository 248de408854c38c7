#include <Guavashift/Fleet/Fleet.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

std::vector<TailReading> tail(double milliseconds)
{
    return {{{"s", 0, 0, 0}, "server", milliseconds, 50}};
}

} // namespace

/// The lease as it is told to a worker whose clock may be slow.
class LeaseClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseClockTest);
    CPPUNIT_TEST(neverOutlivesTheGrantOnASlowClock);
    CPPUNIT_TEST(knowsNothingOfAnEarlierAgent);
    CPPUNIT_TEST_SUITE_END();

public:
    void neverOutlivesTheGrantOnASlowClock()
    {
        LeaseClock lease(Duration::zero(), at(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lease.untilMs(at(0)));
        lease.granted(at(4500));
        lease.observe(100'000, at(0), at(2));
        const std::int64_t until = lease.untilMs(at(10));
        // A clock that runs 2 % slow reaches `until` no later than the grant ends.
        const double slowMs = static_cast<double>(until - 100'000) / 0.98;
        CPPUNIT_ASSERT(slowMs <= 4500 - 2 + 1);
        CPPUNIT_ASSERT(lease.latestEnd() == at(4500));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lease.untilMs(at(4500)));
    }

    void knowsNothingOfAnEarlierAgent()
    {
        const LeaseClock lease(std::chrono::milliseconds(6000), at(0));
        CPPUNIT_ASSERT(lease.latestEnd() >= at(6100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseClockTest);

/// What a worker's tail figures say of now.
class TailFilterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TailFilterTest);
    CPPUNIT_TEST(seesAStepAtOnce);
    CPPUNIT_TEST(seesThatAnOutburstIsOver);
    CPPUNIT_TEST(allowsForMissedTicks);
    CPPUNIT_TEST_SUITE_END();

public:
    void seesAStepAtOnce()
    {
        TailFilter filter;
        filter.update(20, at(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, *filter.tailMs(), 0.1);
        // The figure after a step to 100: 45 % of the one before is still in it.
        filter.update(64, at(250));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
        filter.update(64, at(450));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
        filter.update(84, at(500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
    }

    void seesThatAnOutburstIsOver()
    {
        TailFilter filter;
        filter.update(60'000, at(0));
        filter.update(27'011, at(250));
        CPPUNIT_ASSERT(!filter.tailMs());
        double shown = 27'011;
        for (int i = 2; i < 10; ++i) {
            shown = 0.45 * shown + 0.55 * 20;
            filter.update(shown, at(250 * i));
        }
        CPPUNIT_ASSERT(filter.tailMs());
        CPPUNIT_ASSERT(shown > 50);
        CPPUNIT_ASSERT(*filter.tailMs() < 30);
    }

    void allowsForMissedTicks()
    {
        TailFilter filter;
        filter.update(20, at(0));
        // Two ticks at 100: 20 % of the one before is still in it.
        filter.update(83.8, at(500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TailFilterTest);

/// Shares by learned harm, with rest as the last resort.
class ThrottlerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ThrottlerTest);
    CPPUNIT_TEST(slowsTheHarmfulFirst);
    CPPUNIT_TEST(restsWhateverWasLearned);
    CPPUNIT_TEST(goesOnWhenRestDoesNotHelp);
    CPPUNIT_TEST(restsFirstWhatMayHarm);
    CPPUNIT_TEST(restsUntilAnOutburstIsOver);
    CPPUNIT_TEST_SUITE_END();

public:
    void slowsTheHarmfulFirst()
    {
        Throttler pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "press", 7}, {"server", "feather", 0}});
        const std::vector<BestEffortUsage> fillers{{"press", 0.2, 0}, {"feather", 0.5, 0}};
        const Throttler::Shares shares = pacer.update(tail(30), fillers, at(0));
        CPPUNIT_ASSERT(shares.at("press") < 0.5);
        CPPUNIT_ASSERT_EQUAL(1.0, shares.at("feather"));
    }

    void restsWhateverWasLearned()
    {
        Throttler pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "feather", 0}});
        const std::vector<BestEffortUsage> fillers{{"feather", 0.5, 0.5}};
        CPPUNIT_ASSERT_EQUAL(1.0, pacer.update(tail(60), fillers, at(0)).at("feather"));
        CPPUNIT_ASSERT_EQUAL(0.0, pacer.update(tail(60), fillers, at(1600)).at("feather"));
    }

    void goesOnWhenRestDoesNotHelp()
    {
        Throttler pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "feather", 0}});
        const std::vector<BestEffortUsage> fillers{{"feather", 0.5, 0.5}};
        pacer.update(tail(60), fillers, at(0));
        pacer.update(tail(60), fillers, at(1600));
        CPPUNIT_ASSERT_EQUAL(1.0, pacer.update(tail(60), fillers, at(2600)).at("feather"));
    }

    void restsFirstWhatMayHarm()
    {
        Throttler pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "press", 1}, {"server", "feather", 0}});
        const std::vector<BestEffortUsage> fillers{{"press", 0.2, 0.2}, {"feather", 0.5, 0.5}};
        pacer.update(tail(60), fillers, at(0));
        const Throttler::Shares shares = pacer.update(tail(60), fillers, at(500));
        CPPUNIT_ASSERT_EQUAL(0.0, shares.at("press"));
        CPPUNIT_ASSERT_EQUAL(1.0, shares.at("feather"));
    }

    void restsUntilAnOutburstIsOver()
    {
        Throttler pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "feather", 0}});
        const std::vector<BestEffortUsage> fillers{{"feather", 0.5, 0.5}};
        std::vector<TailReading> hidden = tail(60);
        hidden[0].tailMs.reset();
        pacer.update(hidden, fillers, at(0));
        CPPUNIT_ASSERT_EQUAL(0.0, pacer.update(hidden, fillers, at(1600)).at("feather"));
        // What is left of the outburst still hides the tail: going on now would renew it.
        CPPUNIT_ASSERT_EQUAL(0.0, pacer.update(hidden, fillers, at(2600)).at("feather"));
        CPPUNIT_ASSERT_EQUAL(1.0, pacer.update(tail(20), fillers, at(2850)).at("feather"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThrottlerTest);
