#include "IdleJobSimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

using namespace guavashift;
using namespace guavashift::idlejobs;

namespace {

std::uint64_t setting(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::stoull(text);
}

std::string traceOf(std::uint64_t seed, bool mayStartLate)
{
    IdleJobSimulation simulation(seed, mayStartLate, true);
    (void)simulation.run();
    std::string text;
    for (const std::string &line : simulation.lines())
        text += line + "\n";
    return text;
}

/// Plays a fixed range of seeds, or the one that the environment names: the first in
/// GUAVASHIFT_SIMULATION_SEED, their number in GUAVASHIFT_SIMULATION_SEEDS.
void playSeeds(std::uint64_t from, std::uint64_t seeds, bool mayStartLate)
{
    constexpr std::uint64_t named = 100;
    const std::uint64_t first = setting("GUAVASHIFT_SIMULATION_SEED", from);
    const std::uint64_t count = setting("GUAVASHIFT_SIMULATION_SEEDS", seeds);
    std::string failures;
    std::string trace;
    std::uint64_t failed = 0;
    std::uint64_t starts = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        IdleJobSimulation simulation(seed, mayStartLate, false);
        const std::string failure = simulation.run();
        starts += simulation.starts();
        if (failure.empty())
            continue;
        if (++failed == 1)
            trace = traceOf(seed, mayStartLate);
        if (failed <= named)
            failures += fmt::format("\nseed {}: {}", seed, failure);
    }
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} of {} seeds failed:{}\n{}", failed, count, failures, trace), failed == 0);
    // Simulations that start next to nothing prove nothing.
    CPPUNIT_ASSERT(starts > 5 * count);
}

} // namespace

/// Random orders of events in trouble, each followed by a calm.
class IdleJobSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleJobSimulationTest);
    CPPUNIT_TEST(leavesNoJobIdleInTheCalm);
    CPPUNIT_TEST(leavesNoJobIdleBesideLateStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a job of which nothing runs beside free capacity, long after all trouble.
    void leavesNoJobIdleInTheCalm() { playSeeds(1, 200, false); }

    /// The same, with starts that the next lifetime of a worker may carry out.
    void leavesNoJobIdleBesideLateStarts() { playSeeds(29, 200, true); }
};

/// The seeds before those, the last of which fails.
class IdleJobLateStartSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleJobLateStartSimulationTest);
    CPPUNIT_TEST(leavesNoJobIdleInTheCalm);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a job whose run waits for a lost worker long after its lease.
    void leavesNoJobIdleInTheCalm() { playSeeds(1, 28, true); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobLateStartSimulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobSimulationTest);
