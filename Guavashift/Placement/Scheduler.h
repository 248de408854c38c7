#pragma once

#include <Guavashift/Placement/UsageReport.h>

#include <random>

namespace guavashift {

/// Bounds of one round of decisions.
struct SchedulerSettings
{
    std::size_t maxStartsPerRound = 256;
    /// Workers looked at for one task.
    std::size_t candidates = 16;
};

/// Decides which tasks start, stop and slow down. Pure but for what it learns from observe().
class Scheduler final
{
public:
    Scheduler(const SchedulerSettings &settings, std::uint64_t seed);

    void observe(const UsageReport &report, const StateMachine &state);

    /// Commands to propose now.
    std::vector<CommandBody> decide(const StateMachine &state, WallMs now);

private:
    SchedulerSettings m_settings;
    std::mt19937_64 m_random;
};

} // namespace guavashift
