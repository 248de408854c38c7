#pragma once

#include <Guavashift/Placement/Placement.h>

namespace guavashift {

/// A cluster with its work and its faults, drawn from a seed.
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
    /// Batch work offered, as a share of the processors that services leave.
    double batchLoad = 0.75;
    Duration length = std::chrono::minutes(30);
    /// Step of the virtual clock.
    Duration step = std::chrono::milliseconds(500);
    /// Workers that fail every task.
    double failingShare = 0.05;
    /// VMs that are lost for a minute, for each worker and hour.
    double vmLossesPerHour = 0.3;
    /// Delay of measurements.
    Duration reportDelay = std::chrono::seconds(3);
    std::uint64_t seed = 1;
};

ScenarioSettings wanjiruScenario();
ScenarioSettings rangkaiScenario();
ScenarioSettings largeScenario();

/// A batch job as it will be submitted, with what is hidden from the scheduler.
struct ScenarioJob
{
    JobSpec spec;
    WallMs submitAt = 0;
    std::int64_t trueRuntimeMs = 0;
};

/// The truth about a family of batch work, hidden from the scheduler.
struct FamilyBehaviour
{
    double declaredFactor = 1;    ///< True run time over declared, up to 5 either way.
    double interference = 0.05;   ///< What it does to neighbours at full speed.
    double burstInterference = 0; ///< What it does in addition during its waves.
    double burstPeriodSeconds = 600;
    double burstLengthSeconds = 90;
    std::int64_t memoryUsedMb = 0;
};

/// Everything about one run that does not depend on the scheduler.
struct Scenario
{
    ScenarioSettings settings;
    Json configuration;
    std::vector<FamilyBehaviour> families;
    /// Factor on a family's noise for each service.
    std::vector<std::vector<double>> sensitivity;
    std::vector<ScenarioJob> jobs;
    std::vector<bool> failing; ///< By worker.
    /// (worker, when it is lost).
    std::vector<std::pair<std::size_t, WallMs>> losses;

    static Scenario generate(const ScenarioSettings &settings);
};

/// The run's first moment.
constexpr WallMs scenarioStart = 1'800'000'000'000;

} // namespace guavashift
