#include <PerformanceTest/Scheduling/Scenario.h>

#include <cmath>

namespace guavashift {

namespace {

constexpr std::int64_t batchMilliCores[] = {2'000, 4'000, 8'000};

FamilyBehaviour generateFamily(std::mt19937_64 &random)
{
    std::uniform_real_distribution<> unit;
    FamilyBehaviour family;
    family.declaredFactor = std::exp((2 * unit(random) - 1) * std::log(5.0));
    // Three in four families interfere little, the others strongly.
    family.interference =
        unit(random) < 0.25 ? 0.1 + 0.3 * unit(random) : 0.005 + 0.02 * unit(random);
    if (unit(random) < 0.3) {
        family.burstInterference = 0.1 + 0.4 * unit(random);
        family.burstPeriodSeconds = 300 + 600 * unit(random);
    }
    family.memoryUsedMb = static_cast<std::int64_t>(1'000 + 7'000 * unit(random));
    return family;
}

Json configurationOf(const ScenarioSettings &settings)
{
    Json services = Json::object();
    for (std::size_t i = 0; i < settings.services; ++i) {
        services["counter" + std::to_string(i)] = {
            {"team", "counters"},
            {"replicas", settings.replicas},
            {"size", {{"milliCores", settings.replicaMilliCores}, {"memoryMb", 8'000}}}};
    }
    const std::int64_t totalMilliCores =
        settings.milliCores * static_cast<std::int64_t>(settings.workers);
    const std::int64_t totalMemoryMb =
        settings.memoryMb * static_cast<std::int64_t>(settings.workers);
    const Json quota = {{"milliCores", totalMilliCores}, {"memoryMb", totalMemoryMb}};
    return {{"teams", {{"counters", {{"quota", quota}}}, {"plans", {{"quota", quota}}}}},
            {"services", services}};
}

void generateJobs(Scenario &scenario, std::mt19937_64 &random)
{
    const ScenarioSettings &settings = scenario.settings;
    std::uniform_real_distribution<> unit;
    const double lengthMs = static_cast<double>(toMs(settings.length));
    const double totalMilliCores = static_cast<double>(settings.milliCores) * settings.workers;
    const double serviceMilliCores =
        static_cast<double>(settings.replicaMilliCores) * settings.replicas * settings.services;
    // Adds jobs until the offered load is reached.
    double workLeft = settings.batchLoad * (totalMilliCores - serviceMilliCores) * lengthMs;
    for (std::size_t number = 0; workLeft > 0; ++number) {
        const std::size_t familyIndex = random() % scenario.families.size();
        const FamilyBehaviour &family = scenario.families[familyIndex];
        ScenarioJob job;
        job.spec.team = TeamId{"plans"};
        job.spec.id = "job" + std::to_string(number);
        job.spec.family = "family" + std::to_string(familyIndex);
        job.spec.tasks = static_cast<std::uint32_t>(1 + random() % 4);
        job.spec.size = {batchMilliCores[random() % 3], 4'000, 0};
        const double trueRuntime = std::exp(std::log(20'000.0) + unit(random) * std::log(15.0));
        job.trueRuntimeMs = static_cast<std::int64_t>(trueRuntime);
        const double spread = std::exp((unit(random) - 0.5) * 0.4);
        job.spec.runtimeMs =
            static_cast<std::int64_t>(trueRuntime / family.declaredFactor * spread);
        job.submitAt = scenarioStart + static_cast<WallMs>(unit(random) * lengthMs * 0.9);
        job.spec.releaseAt = job.submitAt + (random() % 3 == 0 ? 15'000 : 0);
        // Two in three jobs have a due time, from tight to loose.
        if (random() % 3 != 0)
            job.spec.dueAt = job.spec.releaseAt
                + static_cast<WallMs>(trueRuntime * (1.6 + 4 * unit(random))) + 20'000;
        job.spec.urgent = random() % 50 == 0;
        workLeft -= trueRuntime * static_cast<double>(job.spec.tasks)
            * static_cast<double>(job.spec.size.milliCores);
        scenario.jobs.push_back(std::move(job));
    }
    std::sort(scenario.jobs.begin(), scenario.jobs.end(),
              [](const ScenarioJob &a, const ScenarioJob &b) { return a.submitAt < b.submitAt; });
}

} // namespace

ScenarioSettings wanjiruScenario()
{
    return {};
}

ScenarioSettings rangkaiScenario()
{
    ScenarioSettings settings;
    settings.name = "rangkai";
    settings.milliCores = 32'000;
    settings.memoryMb = 125'000;
    settings.failureDomains = 3;
    settings.services = 3;
    settings.replicas = 6;
    settings.replicaMilliCores = 4'000;
    settings.batchLoad = 0.9;
    return settings;
}

ScenarioSettings largeScenario()
{
    ScenarioSettings settings;
    settings.name = "large";
    settings.workers = 2'100;
    settings.failureDomains = 15;
    settings.services = 110;
    settings.replicas = 100;
    settings.replicaMilliCores = 4'000;
    settings.families = 100;
    settings.length = std::chrono::minutes(8);
    settings.step = std::chrono::seconds(1);
    settings.failingShare = 0.01;
    return settings;
}

Scenario Scenario::generate(const ScenarioSettings &settings)
{
    std::mt19937_64 random(settings.seed);
    std::uniform_real_distribution<> unit;
    Scenario scenario;
    scenario.settings = settings;
    scenario.configuration = configurationOf(settings);
    for (std::size_t i = 0; i < settings.families; ++i)
        scenario.families.push_back(generateFamily(random));
    // The same family slows one service more than another, so it matters which tasks are
    // co-located.
    for (std::size_t service = 0; service < settings.services; ++service) {
        std::vector<double> row;
        for (std::size_t family = 0; family < settings.families; ++family)
            row.push_back(std::exp((2 * unit(random) - 1) * std::log(4.0)));
        scenario.sensitivity.push_back(std::move(row));
    }
    generateJobs(scenario, random);
    for (std::size_t worker = 0; worker < settings.workers; ++worker)
        scenario.failing.push_back(unit(random) < settings.failingShare);
    const double hours = std::chrono::duration<double, std::ratio<3600>>(settings.length).count();
    const auto losses = static_cast<std::size_t>(settings.vmLossesPerHour * hours
                                                 * static_cast<double>(settings.workers));
    for (std::size_t i = 0; i < losses; ++i)
        scenario.losses.emplace_back(
            random() % settings.workers,
            scenarioStart
                + static_cast<WallMs>(unit(random) * static_cast<double>(toMs(settings.length))));
    return scenario;
}

} // namespace guavashift
