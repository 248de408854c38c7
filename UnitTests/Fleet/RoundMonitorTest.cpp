#include <Guavashift/Fleet/RoundMonitor.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

/// A round that ends at `end` and whose events take `duration`, both in milliseconds.
RoundTimes round(int end, int duration)
{
    RoundTimes times;
    times.endedAt = at(end);
    times.events = 3;
    times.dispatch = std::chrono::milliseconds(duration);
    return times;
}

} // namespace

/// Log lines and metrics of the rounds of an event loop.
class RoundMonitorTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoundMonitorTest);
    CPPUNIT_TEST(logsSlowRoundsWithTheirParts);
    CPPUNIT_TEST(logsTheLongestRoundOnceASecond);
    CPPUNIT_TEST(countsAllRounds);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a slow leader of which no log says what it was busy with.
    void logsSlowRoundsWithTheirParts()
    {
        const test::LogCapture log;
        m_monitor.roundEnded(round(0, 99));
        CPPUNIT_ASSERT_EQUAL(0, linesIn(log));
        RoundTimes slow = round(200, 50);
        slow.posted = std::chrono::milliseconds(20);
        slow.timers = std::chrono::milliseconds(10);
        slow.handlers = std::chrono::milliseconds(120);
        slow.processor = std::chrono::milliseconds(30);
        m_monitor.setCoreTimes({std::chrono::milliseconds(70), std::chrono::milliseconds(40)});
        m_monitor.roundEnded(slow);
        assertLogged(log,
                     "event=round-slow round_ms=200 cpu_ms=30 events=3 events_ms=50 posted_ms=20 "
                     "timers_ms=10 handlers_ms=120 decide_ms=70 replica_ms=40 ago_ms=0 "
                     "slow_rounds=1\n");
    }

    /// Guards against a flood of lines while the machine is slow, and against losing the longest.
    void logsTheLongestRoundOnceASecond()
    {
        const test::LogCapture log;
        m_monitor.roundEnded(round(0, 110));
        m_monitor.roundEnded(round(300, 300));
        m_monitor.roundEnded(round(700, 150));
        m_monitor.roundEnded(round(999, 1));
        CPPUNIT_ASSERT_EQUAL(1, linesIn(log));
        m_monitor.roundEnded(round(1000, 1));
        CPPUNIT_ASSERT_EQUAL(2, linesIn(log));
        assertLogged(log, "event=round-slow round_ms=300 ");
        assertLogged(log, "ago_ms=700 slow_rounds=2\n");
        m_monitor.roundEnded(round(3000, 1));
        CPPUNIT_ASSERT_EQUAL(2, linesIn(log));
    }

    /// Guards against a metric that leaves out the rounds that are not slow.
    void countsAllRounds()
    {
        m_monitor.roundEnded(round(0, 5));
        m_monitor.roundEnded(round(10, 500));
        CPPUNIT_ASSERT(m_metrics.exposition().find("\nguavashift_fleet_round_seconds_count 2\n")
                       != std::string::npos);
    }

private:
    static int linesIn(const test::LogCapture &log)
    {
        int lines = 0;
        const std::string text = log.text();
        for (std::size_t at = 0; (at = text.find("event=round-slow", at)) != std::string::npos;
             ++at)
            ++lines;
        return lines;
    }

    static void assertLogged(const test::LogCapture &log, const std::string &part)
    {
        CPPUNIT_ASSERT_MESSAGE(log.text(), log.text().find(part) != std::string::npos);
    }

    EventLoop m_loop{EventLoopSettings{}};
    FleetMetrics m_metrics;
    RoundMonitor m_monitor{m_loop, {}, m_metrics};
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoundMonitorTest);
