#include <PerformanceTest/Scheduling/SchedulingRun.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <thread>

using namespace guavashift;

namespace {

struct SchedulerVariant
{
    std::string name;
    SchedulerSettings settings;
};

SchedulerSettings baseline(const PlacementPolicy &placement, const MitigationPolicy &mitigation)
{
    SchedulerSettings settings;
    settings.placement = placement;
    settings.mitigation = mitigation;
    settings.slackOrder = false;
    settings.estimatesRuntime = false;
    return settings;
}

std::vector<SchedulerVariant> baselines()
{
    return {{"first-fit", baseline(FirstFit(), NoMitigation())},
            {"least-loaded", baseline(LeastLoaded(), NoMitigation())},
            {"random", baseline(RandomFeasible(), NoMitigation())},
            {"threshold-evictor", baseline(LeastLoaded(), ThresholdEviction())},
            {"ours", SchedulerSettings()}};
}

std::vector<SchedulerVariant> ablations()
{
    std::vector<SchedulerVariant> list{{"ours", SchedulerSettings()}};
    const auto without = [&](const std::string &name, auto change) {
        SchedulerSettings settings;
        change(settings);
        list.push_back({"without " + name, settings});
    };
    without("interference placement",
            [](SchedulerSettings &settings) { settings.placement = LeastLoaded(); });
    without("waiting for a better place", [](SchedulerSettings &settings) {
        settings.placement = InterferenceAware{.waitsForBetter = false};
    });
    without("saving quiet workers", [](SchedulerSettings &settings) {
        settings.placement = InterferenceAware{.reservesBatchOnlyWorkers = false};
    });
    without("dense services", [](SchedulerSettings &settings) {
        settings.placement = InterferenceAware{.densityLimit = 0};
    });
    without("bound (mean only)", [](SchedulerSettings &settings) {
        settings.placement = InterferenceAware{.usesBound = false};
    });
    without("throttling", [](SchedulerSettings &settings) {
        settings.mitigation = ThrottleThenEvict{.throttles = false};
    });
    without("eviction", [](SchedulerSettings &settings) {
        settings.mitigation = ThrottleThenEvict{.evicts = false};
    });
    without("hysteresis", [](SchedulerSettings &settings) {
        settings.mitigation = ThrottleThenEvict{.hysteresis = false};
    });
    without("relief", [](SchedulerSettings &settings) { settings.mitigation = NoMitigation(); });
    without("attribution to the past",
            [](SchedulerSettings &settings) { settings.attributesToPast = false; });
    without("memory of peaks",
            [](SchedulerSettings &settings) { settings.remembersPeaks = false; });
    without("slack order", [](SchedulerSettings &settings) { settings.slackOrder = false; });
    without("run time estimates",
            [](SchedulerSettings &settings) { settings.estimatesRuntime = false; });
    return list;
}

/// Runs the seeds in parallel on `threads` threads. Returns means over the seeds, but the maximum
/// of roundMsMax and the sum of invariantViolations.
SchedulingMetrics meanOf(ScenarioSettings scenario, const SchedulerSettings &settings,
                         unsigned seeds, unsigned threads)
{
    std::vector<SchedulingMetrics> all(seeds);
    std::atomic<unsigned> next = 0;
    std::vector<std::thread> pool;
    for (unsigned i = 0; i < threads; ++i) {
        pool.emplace_back([&] {
            for (unsigned seed = next++; seed < seeds; seed = next++) {
                ScenarioSettings own = scenario;
                own.seed = seed + 1;
                all[seed] = runScheduling(Scenario::generate(own), settings);
            }
        });
    }
    for (std::thread &thread : pool)
        thread.join();
    SchedulingMetrics mean;
    for (const SchedulingMetrics &each : all) {
        mean.serviceSlowdownP99 += each.serviceSlowdownP99 / seeds;
        mean.serviceSlowdownP50 += each.serviceSlowdownP50 / seeds;
        mean.onTimePercent += each.onTimePercent / seeds;
        mean.completedCoreHours += each.completedCoreHours / seeds;
        mean.evictions += each.evictions;
        mean.lostCoreHours += each.lostCoreHours / seeds;
        mean.starts += each.starts;
        mean.roundMsMean += each.roundMsMean / seeds;
        mean.roundMsMax = std::max(mean.roundMsMax, each.roundMsMax);
        mean.roundUsPerStart += each.roundUsPerStart / seeds;
        mean.invariantViolations += each.invariantViolations;
    }
    mean.evictions /= seeds;
    mean.starts /= seeds;
    return mean;
}

} // namespace

int main(int argc, char **argv)
{
    CLI::App app("Compares schedulers on the same generated work, with hidden slowdowns");
    std::string size = "wanjiru";
    unsigned seeds = 10;
    unsigned threads = 4;
    bool ablation = false;
    double minutes = 0;
    std::size_t workers = 0;
    app.add_option("--size", size)->check(CLI::IsMember({"wanjiru", "rangkai", "large"}));
    app.add_option("--seeds", seeds);
    app.add_option("--threads", threads);
    app.add_option("--minutes", minutes, "length of the run in virtual minutes");
    app.add_option("--workers", workers, "instead of the size's own number; services scale along");
    app.add_flag("--ablation", ablation, "ours with one mechanism disabled at a time");
    CLI11_PARSE(app, argc, argv);

    ScenarioSettings scenario = wanjiruScenario();
    if (size == "rangkai")
        scenario = rangkaiScenario();
    else if (size == "large")
        scenario = largeScenario();
    if (minutes > 0)
        scenario.length = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::ratio<60>>(minutes));
    if (workers > 0) {
        scenario.services =
            std::max<std::size_t>(1, scenario.services * workers / scenario.workers);
        scenario.workers = workers;
    }
    fmt::print("{}: {} workers, {} seeds, {:.0f} virtual minutes\n", scenario.name,
               scenario.workers, seeds,
               std::chrono::duration<double, std::ratio<60>>(scenario.length).count());
    fmt::print("{:<36}{:>8}{:>8}{:>9}{:>9}{:>7}{:>8}{:>8}{:>9}{:>9}{:>7}\n", "scheduler", "p99",
               "p50", "on time%", "work h", "evict", "lost h", "starts", "round ms", "us/start",
               "faults");
    for (const SchedulerVariant &variant : ablation ? ablations() : baselines()) {
        const SchedulingMetrics metrics = meanOf(scenario, variant.settings, seeds, threads);
        fmt::print(
            "{:<36}{:>8.2f}{:>8.2f}{:>9.1f}{:>9.1f}{:>7}{:>8.2f}{:>8}{:>9.2f}{:>9.1f}{:>7}\n",
            variant.name, metrics.serviceSlowdownP99, metrics.serviceSlowdownP50,
            metrics.onTimePercent, metrics.completedCoreHours, metrics.evictions,
            metrics.lostCoreHours, metrics.starts, metrics.roundMsMean, metrics.roundUsPerStart,
            metrics.invariantViolations);
        std::fflush(stdout);
    }
    return 0;
}
