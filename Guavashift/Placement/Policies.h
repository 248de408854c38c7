#pragma once

#include <Guavashift/Core/Core.h>

#include <variant>

namespace guavashift {

/// Takes the first worker with room, in the order of names.
struct FirstFit
{
};

/// Takes the worker with the most processors free.
struct LeastLoaded
{
};

/// Takes any worker with room.
struct RandomFeasible
{
};

/// Weighs the interference to latency-critical neighbours, spread, and what is left over.
struct InterferenceAware
{
    /// Workers looked at for one task.
    std::size_t candidates = 16;
    /// A batch task waits rather than push a counter service past its limit, while it has slack.
    bool waitsForBetter = true;
    /// Decides on the bound of the expected interference, not its mean.
    bool usesBound = true;
    /// Keeps workers without counter services for the work that does interference.
    bool reservesBatchOnlyWorkers = true;
    /// Expected interference up to which a task rather goes beside counter services.
    double negligibleInterference = 0.05;
    /// Replicas of different services share workers up to this share of the processors, so that
    /// other workers stay free of them.
    double densityLimit = 0.5;
};

using PlacementPolicy = std::variant<FirstFit, LeastLoaded, RandomFeasible, InterferenceAware>;

/// Lets slow counter services be.
struct NoMitigation
{
};

/// Evicts the largest batch task of a worker whenever a measurement there exceeds the limit.
struct ThresholdEviction
{
};

/// Throttles the batch task that is expected to do the most interference; evicts it only if that
/// did not help, within its eviction budget. Acts on measurements taken after its last action.
struct ThrottleThenEvict
{
    bool throttles = true;
    bool evicts = true;
    /// Waits until its last action shows in the measurements, and loosens a throttle only after a
    /// quiet time.
    bool hysteresis = true;
    /// Share of the allowed excess below which a throttled task may run faster again.
    double recoveryShare = 0.5;
    Duration recoveryTime = std::chrono::seconds(20);
    /// Time from an action until measurements show it.
    Duration settleTime = std::chrono::seconds(2);
    /// Least interference, and least share of the excess, for which a task is touched.
    double minInterference = 0.05;
    double minShareOfExcess = 0.15;
    /// A task is moved only to where it does at most this share of its interference.
    double betterWorkerShare = 0.3;
    /// Measurements above the limit in a row before anything is done; one is enough if it is
    /// beyond twice the allowed excess.
    unsigned violations = 2;
};

using MitigationPolicy = std::variant<NoMitigation, ThresholdEviction, ThrottleThenEvict>;

/// Everything that can be chosen of the scheduler.
struct SchedulerSettings
{
    PlacementPolicy placement = InterferenceAware();
    MitigationPolicy mitigation = ThrottleThenEvict();
    /// Orders batch work by the slack that the family's history leaves, else by arrival.
    bool slackOrder = true;
    /// Places families that are noisy in waves as if the wave were on.
    bool remembersPeaks = true;
    bool estimatesRuntime = true;
    /// Holds a late measurement against what ran when it was taken, not now.
    bool attributesToPast = true;
    bool spreadsServices = true;
    std::size_t maxStartsPerRound = 512;
    /// Queued tasks looked at in one round.
    std::size_t maxCandidates = 4096;
};

} // namespace guavashift
