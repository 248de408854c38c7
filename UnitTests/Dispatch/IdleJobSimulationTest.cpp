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

std::string traceOf(std::uint64_t seed)
{
    IdleJobSimulation simulation(seed, {}, true);
    (void)simulation.run();
    std::string text;
    for (const std::string &line : simulation.lines())
        text += line + "\n";
    return text;
}

} // namespace

/// Random orders of events in trouble, each followed by a calm. Plays a fixed range of seeds, or
/// the one that the environment names: the first in GUAVASHIFT_SIMULATION_SEED, their number in
/// GUAVASHIFT_SIMULATION_SEEDS.
class IdleJobSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(IdleJobSimulationTest);
    CPPUNIT_TEST(leavesNoJobIdleInTheCalm);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a job of which nothing runs beside free capacity, long after all trouble.
    void leavesNoJobIdleInTheCalm()
    {
        constexpr std::uint64_t seeds = 200;
        constexpr std::uint64_t named = 100;
        const std::uint64_t first = setting("GUAVASHIFT_SIMULATION_SEED", 1);
        const std::uint64_t count = setting("GUAVASHIFT_SIMULATION_SEEDS", seeds);
        std::string failures;
        std::string trace;
        std::uint64_t failed = 0;
        std::uint64_t starts = 0;
        for (std::uint64_t seed = first; seed < first + count; ++seed) {
            IdleJobSimulation simulation(seed, {}, false);
            const std::string failure = simulation.run();
            starts += simulation.starts();
            if (failure.empty())
                continue;
            if (++failed == 1)
                trace = traceOf(seed);
            if (failed <= named)
                failures += fmt::format("\nseed {}: {}", seed, failure);
        }
        CPPUNIT_ASSERT_MESSAGE(
            fmt::format("{} of {} seeds failed:{}\n{}", failed, count, failures, trace),
            failed == 0);
        // Simulations that start next to nothing prove nothing.
        CPPUNIT_ASSERT(starts > 5 * count);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobSimulationTest);
