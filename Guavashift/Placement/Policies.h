#pragma once

#include <Guavashift/Core/Core.h>

#include <variant>

namespace guavashift {

/// Chooses the first worker that the task fits on, in order of worker id.
struct FirstFit
{
};

/// Chooses the worker with the smallest share of its processors in use.
struct LeastLoaded
{
};

/// Chooses a random worker that the task fits on.
struct RandomFeasible
{
};

/// Weighs interference with co-located latency-critical tasks and the worker's load; spreads
/// replicas of a service.
struct InterferenceAware
{
    /// Number of workers examined for one task.
    std::size_t candidates = 16;
    /// While it has slack, a batch task waits rather than drive a latency-critical task past its
    /// slowdown limit.
    bool waitsForBetter = true;
    /// Uses the upper bound of the expected interference instead of its mean.
    bool usesBound = true;
    /// Keeps workers without latency-critical tasks for batch tasks that interfere.
    bool reservesBatchOnlyWorkers = true;
    /// Expected interference up to which a batch task is preferably co-located with
    /// latency-critical tasks.
    double negligibleInterference = 0.05;
    /// Share of a worker's processors up to which replicas of different services are placed
    /// together, so that other workers stay free of them.
    double densityLimit = 0.5;
};

using PlacementPolicy = std::variant<FirstFit, LeastLoaded, RandomFeasible, InterferenceAware>;

/// Takes no action against interference.
struct NoMitigation
{
};

/// Evicts the largest batch task of a worker whenever a measurement there exceeds the limit.
struct ThresholdEviction
{
};

/// Throttles the batch task with the most expected interference; evicts it only if that did not
/// help, within its eviction budget. Acts on measurements taken after its last action.
struct ThrottleThenEvict
{
    bool throttles = true;
    bool evicts = true;
    /// Waits until measurements show the effect of the last action, and ends throttling only after
    /// `recoveryTime`.
    bool hysteresis = true;
    /// Share of the allowed excess up to which a worker counts as recovered, so that throttling may
    /// end.
    double recoveryShare = 0.5;
    Duration recoveryTime = std::chrono::seconds(20);
    /// Time after an action until measurements show its effect.
    Duration settleTime = std::chrono::seconds(2);
    /// Least interference, and least share of the excess, for which a task is throttled or evicted.
    double minInterference = 0.05;
    double minShareOfExcess = 0.15;
    /// A task is evicted only if it would cause less than this share of its interference on another
    /// worker.
    double betterWorkerShare = 0.3;
    /// Consecutive measurements above the limit before an action; one is enough if it exceeds twice
    /// the allowed excess.
    unsigned violationsBeforeAction = 2;
};

using MitigationPolicy = std::variant<NoMitigation, ThresholdEviction, ThrottleThenEvict>;

/// Settings of the scheduler.
struct SchedulerSettings
{
    PlacementPolicy placement = InterferenceAware();
    MitigationPolicy mitigation = ThrottleThenEvict();
    /// Orders batch tasks by slack, else by arrival.
    bool slackOrder = true;
    /// Places families that interfere in phases as if such a phase were on.
    bool remembersPeaks = true;
    /// Estimates run times from the family's completed tasks, else uses the declared ones.
    bool estimatesRuntime = true;
    /// Attributes a late measurement to the tasks that ran when it was taken, not to the current
    /// ones.
    bool attributesToPast = true;
    bool spreadsServices = true;
    std::size_t maxStartsPerRound = 512;
    /// Number of queued tasks examined in one round.
    std::size_t maxCandidates = 4096;
};

} // namespace guavashift
