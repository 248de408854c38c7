#pragma once

#include <Guavashift/Placement/Placement.h>

namespace guavashift {

/// Parameters of a cluster, its work and its faults, which are generated from the seed.
struct ScenarioSettings
{
    std::string name = "wanjiru";
    std::size_t workers = 11;
    std::int64_t milliCores = 64'000;
    std::int64_t memoryMb = 250'000;
    std::size_t failureDomains = 4;
    std::size_t services = 4;
    std::uint32_t replicas = 8;
    std::int64_t replicaMilliCores = 6'000;
    std::size_t families = 12;
    /// Offered batch work as a share of the processors not reserved by services.
    double batchLoad = 0.75;
    Duration length = std::chrono::minutes(30);
    /// Step of the virtual clock.
    Duration step = std::chrono::milliseconds(500);
    /// Share of workers that fail every batch task.
    double failingShare = 0.05;
    /// VM losses per worker and hour; each lasts a minute.
    double vmLossesPerHour = 0.3;
    /// Minimum delay of measurements.
    Duration reportDelay = std::chrono::seconds(3);
    std::uint64_t seed = 1;
};

ScenarioSettings wanjiruScenario();
ScenarioSettings rangkaiScenario();
ScenarioSettings largeScenario();

/// Batch job to submit, with its true run time, which is hidden from the scheduler.
struct ScenarioJob
{
    JobSpec spec;
    WallMs submitAt = 0;
    std::int64_t trueRuntimeMs = 0;
};

/// Actual behaviour of a family of batch tasks, hidden from the scheduler.
struct FamilyBehaviour
{
    double declaredFactor = 1;    ///< True run time divided by declared, from 1/5 to 5.
    double interference = 0.05;   ///< Interference with co-located services at full speed.
    double burstInterference = 0; ///< Additional interference during bursts.
    double burstPeriodSeconds = 600;
    double burstLengthSeconds = 90;
    std::int64_t memoryUsedMb = 0;
};

/// Input of one run, independent of the scheduler.
struct Scenario
{
    ScenarioSettings settings;
    Json configuration;
    std::vector<FamilyBehaviour> families;
    /// Factor on a family's interference, by service, then family.
    std::vector<std::vector<double>> sensitivity;
    std::vector<ScenarioJob> jobs;
    std::vector<bool> failing; ///< By worker.
    /// Pairs of worker index and time of the loss.
    std::vector<std::pair<std::size_t, WallMs>> losses;

    static Scenario generate(const ScenarioSettings &settings);
};

/// Start of the run on the virtual clock.
constexpr WallMs scenarioStart = 1'800'000'000'000;

} // namespace guavashift
