#include "Simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>

using namespace guavashift;
using namespace guavashift::simulation;

namespace {

std::uint64_t setting(const char *name, std::uint64_t otherwise)
{
    const char *text = std::getenv(name); // NOLINT(concurrency-mt-unsafe)
    return text == nullptr ? otherwise : std::stoull(text);
}

std::string traceOf(std::uint64_t seed, const SimulationSettings &settings)
{
    Simulation simulation(seed, settings, true);
    simulation.run();
    std::string text;
    for (const std::string &line : simulation.world().lines())
        text += line + "\n";
    return text;
}

/// Plays a fixed range of seeds, or the one that the environment names: the first in
/// GUAVASHIFT_SIMULATION_SEED, their number in GUAVASHIFT_SIMULATION_SEEDS.
void playSeeds(const SimulationSettings &settings)
{
    constexpr std::uint64_t seeds = 800;
    constexpr std::uint64_t named = 40;
    const std::uint64_t first = setting("GUAVASHIFT_SIMULATION_SEED", 1);
    const std::uint64_t count = setting("GUAVASHIFT_SIMULATION_SEEDS", seeds);
    std::string failures;
    std::string trace;
    std::uint64_t failed = 0;
    std::uint64_t starts = 0;
    std::uint64_t settledFromState = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        Simulation simulation(seed, settings, false);
        const bool succeeds = simulation.run();
        starts += simulation.starts();
        settledFromState += simulation.settledFromState();
        if (succeeds)
            continue;
        if (++failed == 1)
            trace = traceOf(seed, settings);
        if (failed <= named)
            failures += fmt::format("\nseed {}: {}", seed, simulation.world().failure());
    }
    CPPUNIT_ASSERT_MESSAGE(
        fmt::format("{} of {} seeds failed:{}\n{}", failed, count, failures, trace), failed == 0);
    // Simulations that start next to nothing prove nothing.
    CPPUNIT_ASSERT(starts > 5 * count);
    // Paths of starts on any connection tell nothing.
    const bool mustSettle = settings.losesAllPower && !settings.closesConnections;
    CPPUNIT_ASSERT(!mustSettle || count < seeds || settledFromState > count / 2);
}

} // namespace

/// Random orders of events between leaders that change, agents and workers.
class LeaderChangeSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaderChangeSimulationTest);
    CPPUNIT_TEST(runsNoTaskTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a task that runs twice, or a job without an end, after a change of leader, a
    /// restart of an agent or a worker, a cut, or calls that are carried out late.
    void runsNoTaskTwice() { playSeeds({}); }
};

/// The same with starts that the next lifetime of a worker carries out.
class LateStartSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LateStartSimulationTest);
    CPPUNIT_TEST(runsNoTaskTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a task that runs twice because a start reaches the next lifetime of its
    /// worker, which knows no fencing token, after the lifetime before had disproved it.
    void runsNoTaskTwice() { playSeeds({.takesLateStarts = true}); }
};

/// The same with paths to workers that refuse connections for a while.
class RefusedPathSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RefusedPathSimulationTest);
    CPPUNIT_TEST(runsNoTaskTwice);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a task that runs twice because its worker, which works on behind a path that
    /// refuses connections, is taken for ended.
    void runsNoTaskTwice() { playSeeds({.pathsRefuse = true}); }
};

/// The same with workers that close each connection after their answer.
class ClosingLateStartSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(ClosingLateStartSimulationTest);
    CPPUNIT_TEST(runsNoTaskTwice);
    CPPUNIT_TEST(runsNoTaskTwiceAfterLossesOfPower);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a task that runs twice because a start, which may go out on any connection
    /// there, reaches the next lifetime of its worker.
    void runsNoTaskTwice() { playSeeds({.takesLateStarts = true, .closesConnections = true}); }
    /// The same with losses of all power.
    void runsNoTaskTwiceAfterLossesOfPower()
    {
        playSeeds({.takesLateStarts = true, .closesConnections = true, .losesAllPower = true});
    }
};

/// The same with losses of all power, after which workers come back under new names.
class PowerLossSimulationTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(PowerLossSimulationTest);
    CPPUNIT_TEST(runsNoTaskTwice);
    CPPUNIT_TEST(runsNoTaskTwiceWithLateStarts);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { setLogLevel(LogLevel::Error); }
    void tearDown() override { setLogLevel(LogLevel::Info); }

    /// Guards against a task that runs twice because the next leader settles runs of workers that
    /// work on: by a report without an answer, or by an answer at another address.
    void runsNoTaskTwice() { playSeeds({.losesAllPower = true}); }
    /// The same if it takes a lifetime for ended that the next one under its name follows.
    void runsNoTaskTwiceWithLateStarts()
    {
        playSeeds({.takesLateStarts = true, .losesAllPower = true});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderChangeSimulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(PowerLossSimulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ClosingLateStartSimulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(RefusedPathSimulationTest);
CPPUNIT_TEST_SUITE_REGISTRATION(LateStartSimulationTest);
