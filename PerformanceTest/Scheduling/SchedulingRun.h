#pragma once

#include <PerformanceTest/Scheduling/FakeCluster.h>

namespace guavashift {

/// Simulates a scenario with one scheduler.
SchedulingMetrics runScheduling(const Scenario &scenario, const SchedulerSettings &settings);

} // namespace guavashift
