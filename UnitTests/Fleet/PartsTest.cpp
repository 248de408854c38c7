#include <Guavashift/Fleet/Fleet.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

std::vector<ServingReading> tail(double milliseconds)
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

/// Paces by learned harm, with rest as the last resort.
class PacerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PacerTest);
    CPPUNIT_TEST(slowsTheHarmfulFirst);
    CPPUNIT_TEST(restsWhateverWasLearned);
    CPPUNIT_TEST(goesOnWhenRestDoesNotHelp);
    CPPUNIT_TEST_SUITE_END();

public:
    void slowsTheHarmfulFirst()
    {
        Pacer pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "press", 7}, {"server", "feather", 0}});
        const std::vector<FillerReading> fillers{{"press", 0.2, 0}, {"feather", 0.5, 0}};
        const Pacer::Paces paces = pacer.update(tail(30), fillers, at(0));
        CPPUNIT_ASSERT(paces.at("press") < 0.5);
        CPPUNIT_ASSERT_EQUAL(1.0, paces.at("feather"));
    }

    void restsWhateverWasLearned()
    {
        Pacer pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "feather", 0}});
        const std::vector<FillerReading> fillers{{"feather", 0.5, 0.5}};
        CPPUNIT_ASSERT_EQUAL(1.0, pacer.update(tail(60), fillers, at(0)).at("feather"));
        CPPUNIT_ASSERT_EQUAL(0.0, pacer.update(tail(60), fillers, at(1300)).at("feather"));
    }

    void goesOnWhenRestDoesNotHelp()
    {
        Pacer pacer;
        pacer.learn(std::vector<HarmRow>{{"server", "feather", 0}});
        const std::vector<FillerReading> fillers{{"feather", 0.5, 0.5}};
        pacer.update(tail(60), fillers, at(0));
        pacer.update(tail(60), fillers, at(1300));
        CPPUNIT_ASSERT_EQUAL(1.0, pacer.update(tail(60), fillers, at(2300)).at("feather"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PacerTest);
