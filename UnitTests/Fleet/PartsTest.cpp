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

/// Lease ends sent to a worker whose clock may be slow.
class LeaseClockTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaseClockTest);
    CPPUNIT_TEST(staysWithinGrantOnSlowClock);
    CPPUNIT_TEST(staysWithinGrantAfterASuspension);
    CPPUNIT_TEST(assumesLongestLeaseOfEarlierAgent);
    CPPUNIT_TEST_SUITE_END();

public:
    void staysWithinGrantOnSlowClock()
    {
        LeaseClock lease(Duration::zero(), at(0));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lease.untilMs(at(0), Duration::zero()));
        lease.granted(at(4500));
        lease.observe(100'000, at(0), at(2), Duration::zero());
        const std::int64_t until = lease.untilMs(at(10), Duration::zero());
        // A clock that runs 2 % slow reaches `until` no later than the grant ends.
        const double slowMs = static_cast<double>(until - 100'000) / 0.98;
        CPPUNIT_ASSERT(slowMs <= 4500 - 2 + 1);
        CPPUNIT_ASSERT(lease.latestEnd() == at(4500));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, lease.untilMs(at(4500), Duration::zero()));
    }

    /// Guards against a lease that is too long by the time for which the machine was suspended
    /// since the worker's clock was last read: that clock stood still.
    void staysWithinGrantAfterASuspension()
    {
        using namespace std::chrono_literals;
        LeaseClock lease(Duration::zero(), at(0));
        lease.granted(at(4500));
        lease.observe(100'000, at(0), at(0), 7s);
        // Suspended from 500 to 2500: the worker's clock is at 101'000 at 3000.
        const std::int64_t until = lease.untilMs(at(3000), 9s);
        const double slowMs = static_cast<double>(until - 100'000) / 0.98;
        CPPUNIT_ASSERT(slowMs <= 4500 - 2000 + 1);
        CPPUNIT_ASSERT(slowMs >= 4500 - 2000 - 1);
    }

    void assumesLongestLeaseOfEarlierAgent()
    {
        const LeaseClock lease(std::chrono::milliseconds(6000), at(0));
        CPPUNIT_ASSERT(lease.latestEnd() >= at(6100));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaseClockTest);

/// The current tail latency, calculated from the smoothed values that a worker reports.
class TailFilterTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TailFilterTest);
    CPPUNIT_TEST(followsStepAtOnce);
    CPPUNIT_TEST(detectsEndOfSpike);
    CPPUNIT_TEST(allowsForMissedTicks);
    CPPUNIT_TEST_SUITE_END();

public:
    void followsStepAtOnce()
    {
        TailFilter filter;
        filter.update(20, at(0));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(20, *filter.tailMs(), 0.1);
        // The value after a step to 100: the previous value still has a weight of 45 %.
        filter.update(64, at(250));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
        filter.update(64, at(450));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
        filter.update(84, at(500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
    }

    void detectsEndOfSpike()
    {
        TailFilter filter;
        filter.update(60'000, at(0));
        filter.update(27'011, at(250));
        CPPUNIT_ASSERT(!filter.tailMs());
        double reported = 27'011;
        for (int i = 2; i < 10; ++i) {
            reported = 0.45 * reported + 0.55 * 20;
            filter.update(reported, at(250 * i));
        }
        CPPUNIT_ASSERT(filter.tailMs());
        CPPUNIT_ASSERT(reported > 50);
        CPPUNIT_ASSERT(*filter.tailMs() < 30);
    }

    void allowsForMissedTicks()
    {
        TailFilter filter;
        filter.update(20, at(0));
        // Two ticks at 100: the previous value still has a weight of 20 %.
        filter.update(83.8, at(500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(100, *filter.tailMs(), 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TailFilterTest);

/// Processor shares by learned interference, and pauses when a tail stays over its target.
class ThrottlerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ThrottlerTest);
    CPPUNIT_TEST(throttlesMostInterferenceFirst);
    CPPUNIT_TEST(pausesAllWhateverWasLearned);
    CPPUNIT_TEST(resumesWhenPauseDoesNotHelp);
    CPPUNIT_TEST(pausesInterferingTasksFirst);
    CPPUNIT_TEST(pausesUntilSpikeIsOver);
    CPPUNIT_TEST(keepsTailBelowItsTargetWhileLoadRises);
    CPPUNIT_TEST(activityRisesInStepsAfterAPause);
    CPPUNIT_TEST_SUITE_END();

public:
    void throttlesMostInterferenceFirst()
    {
        Throttler throttler;
        throttler.learn(
            std::vector<InterferenceRow>{{"server", "press", 7}, {"server", "feather", 0}});
        const std::vector<BestEffortUsage> bestEffort{{"press", 0.2, 0}, {"feather", 0.5, 0}};
        const Throttler::Shares shares = throttler.update(tail(30), bestEffort, at(0));
        CPPUNIT_ASSERT(shares.at("press") < 0.5);
        CPPUNIT_ASSERT_EQUAL(1.0, shares.at("feather"));
    }

    void pausesAllWhateverWasLearned()
    {
        Throttler throttler;
        throttler.learn(std::vector<InterferenceRow>{{"server", "feather", 0}});
        const std::vector<BestEffortUsage> bestEffort{{"feather", 0.5, 0.5}};
        CPPUNIT_ASSERT_EQUAL(1.0, throttler.update(tail(60), bestEffort, at(0)).at("feather"));
        CPPUNIT_ASSERT_EQUAL(0.0, throttler.update(tail(60), bestEffort, at(1600)).at("feather"));
    }

    void resumesWhenPauseDoesNotHelp()
    {
        Throttler throttler;
        throttler.learn(std::vector<InterferenceRow>{{"server", "feather", 0}});
        const std::vector<BestEffortUsage> bestEffort{{"feather", 0.5, 0.5}};
        throttler.update(tail(60), bestEffort, at(0));
        throttler.update(tail(60), bestEffort, at(1600));
        CPPUNIT_ASSERT_EQUAL(1.0, throttler.update(tail(60), bestEffort, at(2600)).at("feather"));
    }

    void pausesInterferingTasksFirst()
    {
        Throttler throttler;
        throttler.learn(
            std::vector<InterferenceRow>{{"server", "press", 1}, {"server", "feather", 0}});
        const std::vector<BestEffortUsage> bestEffort{{"press", 0.2, 0.2}, {"feather", 0.5, 0.5}};
        throttler.update(tail(60), bestEffort, at(0));
        const Throttler::Shares shares = throttler.update(tail(60), bestEffort, at(500));
        CPPUNIT_ASSERT_EQUAL(0.0, shares.at("press"));
        CPPUNIT_ASSERT_EQUAL(1.0, shares.at("feather"));
    }

    void pausesUntilSpikeIsOver()
    {
        Throttler throttler;
        throttler.learn(std::vector<InterferenceRow>{{"server", "feather", 0}});
        const std::vector<BestEffortUsage> bestEffort{{"feather", 0.5, 0.5}};
        std::vector<TailReading> masked = tail(60);
        masked[0].tailMs.reset();
        throttler.update(masked, bestEffort, at(0));
        CPPUNIT_ASSERT_EQUAL(0.0, throttler.update(masked, bestEffort, at(1600)).at("feather"));
        // The decaying spike still masks the tail. Resuming now could cause another one.
        CPPUNIT_ASSERT_EQUAL(0.0, throttler.update(masked, bestEffort, at(2600)).at("feather"));
        CPPUNIT_ASSERT_EQUAL(1.0, throttler.update(tail(20), bestEffort, at(2850)).at("feather"));
    }

    /// Guards against tails over their target by turns: paused tasks resumed at full speed though
    /// their interference was larger than what had been learned.
    void activityRisesInStepsAfterAPause()
    {
        Throttler throttler;
        throttler.learn(std::vector<InterferenceRow>{{"server", "press", 2}});
        const std::vector<BestEffortUsage> bestEffort{{"press", 0.3, 0}};
        throttler.update(tail(60), bestEffort, at(0));
        CPPUNIT_ASSERT_EQUAL(0.0, throttler.update(tail(60), bestEffort, at(500)).at("press"));
        double before = 0;
        for (int now = 1250; before < 1; now += 250) {
            CPPUNIT_ASSERT(now < 8000);
            const double share = throttler.update(tail(25), bestEffort, at(now)).at("press");
            CPPUNIT_ASSERT(share >= before && share <= before + 0.5);
            before = share;
        }
    }

    /// Guards against tails over their target: shares followed a rising load with a lag.
    void keepsTailBelowItsTargetWhileLoadRises()
    {
        Throttler throttler;
        throttler.learn(std::vector<InterferenceRow>{{"server", "press", 7}});
        constexpr double wanted = 0.2;
        double share = 1;
        for (int now = 0; now < 6000; now += 250) {
            const double ownHeadroom = 3.5 - 0.4 * now / 1000;
            const double used = share * wanted;
            const double tailMs = 50 / (ownHeadroom - 7 * used);
            if (now > 1000)
                CPPUNIT_ASSERT(tailMs < 50);
            share = throttler
                        .update(tail(static_cast<std::int64_t>(tailMs)),
                                std::vector<BestEffortUsage>{{"press", wanted, used}}, at(now))
                        .at("press");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ThrottlerTest);
