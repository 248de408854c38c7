#pragma once

#include <PerformanceTest/Scheduling/FakeCluster.h>

namespace guavashift {

/// Runs a scenario under one scheduler.
SchedulingMetrics runScheduling(const Scenario &scenario, const SchedulerSettings &settings);

} // namespace guavashift
