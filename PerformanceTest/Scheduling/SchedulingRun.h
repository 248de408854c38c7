#pragma once

#include <PerformanceTest/Scheduling/FakeCluster.h>

namespace guavashift {

/// Runs a scenario under one scheduler.
RunFigures runScheduling(const Scenario &scenario, const SchedulerSettings &settings);

} // namespace guavashift
