#include <Guavashift/Scheduling/Scheduling.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// Workers of uneven speed under tasks of uneven length.
class WorkerSpeedsTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerSpeedsTest);
    CPPUNIT_TEST(findsWorkerAtAFifthOfTheSpeed);
    CPPUNIT_TEST(oneLongRunMakesNoWorkerSlow);
    CPPUNIT_TEST(aLongStepMakesNoWorkerSlow);
    CPPUNIT_TEST(aLaterObservationOfARunReplacesTheEarlier);
    CPPUNIT_TEST(triesASlowWorkerAgain);
    CPPUNIT_TEST(comparesNothingOnFewWorkers);
    CPPUNIT_TEST_SUITE_END();

    WorkerSpeeds m_speeds;
    int m_runs = 0;

    static Instant at(int milliseconds)
    {
        return Instant(std::chrono::seconds(100) + std::chrono::milliseconds(milliseconds));
    }

    void run(const std::string &worker, const std::string &kind, int milliseconds, int now = 0)
    {
        m_speeds.observe({worker, kind, fmt::format("run-{}", ++m_runs),
                          std::chrono::milliseconds(milliseconds)},
                         at(now));
    }

    /// Four workers carry out two runs each of a kind, in about as long.
    void runOnOthers(const std::string &kind, int milliseconds, int now = 0)
    {
        for (int round = 0; round < 2; ++round)
            for (int i = 0; i < 4; ++i)
                run(fmt::format("w{}", i), kind, milliseconds + 20 * i, now);
    }

    void findsWorkerAtAFifthOfTheSpeed()
    {
        for (int i = 0; i < 3; ++i) {
            const std::string kind = fmt::format("j{}", i);
            runOnOthers(kind, 700 + 100 * i);
            run("slow", kind, 5 * (700 + 100 * i));
        }
        CPPUNIT_ASSERT(m_speeds.speed("slow") < 0.3);
        CPPUNIT_ASSERT(m_speeds.speed("w0") > 0.8);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_speeds.slowerThan(0.5).size());
    }

    void oneLongRunMakesNoWorkerSlow()
    {
        runOnOthers("j", 700);
        run("w1", "j", 7 * 700);
        CPPUNIT_ASSERT(m_speeds.speed("w1") > 0.8);
    }

    void aLongStepMakesNoWorkerSlow()
    {
        // Estimates are off, for all tasks of a step alike.
        runOnOthers("j", 700);
        runOnOthers("k", 7000);
        for (int i = 0; i < 4; ++i)
            CPPUNIT_ASSERT(m_speeds.speed(fmt::format("w{}", i)) > 0.8);
    }

    void aLaterObservationOfARunReplacesTheEarlier()
    {
        runOnOthers("j", 700);
        for (int age = 1000; age < 6000; age += 500)
            m_speeds.observe({"w1", "j", "long", std::chrono::milliseconds(age)}, at(age));
        CPPUNIT_ASSERT(m_speeds.speed("w1") > 0.8);
    }

    void triesASlowWorkerAgain()
    {
        for (int i = 0; i < 3; ++i) {
            runOnOthers(fmt::format("j{}", i), 700);
            run("slow", fmt::format("j{}", i), 3500);
        }
        m_speeds.expire(at(5000));
        CPPUNIT_ASSERT(m_speeds.speed("slow") < 0.3);
        m_speeds.expire(at(7000));
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds.speed("slow"));
        CPPUNIT_ASSERT(!m_speeds.typicalDuration("j0"));
    }

    void comparesNothingOnFewWorkers()
    {
        for (int i = 0; i < 5; ++i) {
            run("w0", "j", 700);
            run("w1", "j", 7000);
        }
        CPPUNIT_ASSERT_EQUAL(1.0, m_speeds.speed("w1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerSpeedsTest);

} // namespace guavashift
