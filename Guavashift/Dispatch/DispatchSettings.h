#pragma once

#include <Guavashift/Dispatch/EvacuationGuard.h>
#include <Guavashift/Scheduling/Scheduling.h>

namespace guavashift {

/// Parameters of the leader's scheduling. Those named as limits come from the deployment.
struct DispatchSettings
{
    /// Time for which one grant lets a worker run; limit of the deployment, see FleetBounds.
    Duration workerLease = std::chrono::milliseconds(4500);
    /// Time for which a worker may run on whatever lease end it was sent; limit of the deployment.
    Duration longestLease = std::chrono::milliseconds(6000);
    /// Longest time after which a call to a worker that has no answer is carried out.
    Duration longestCallDelay = std::chrono::seconds(15);
    /// Added before a lease counts as expired: allows for late timers and clocks that run 2 % slow.
    Duration leaseMargin = std::chrono::milliseconds(400);
    /// Time for which a worker gets no new runs after it refused a start.
    Duration refusalPause = std::chrono::milliseconds(500);
    /// First time for which a worker gets no new runs after failures of different jobs on it.
    /// Doubles with each further failure, up to a maximum.
    Duration failurePause = std::chrono::seconds(2);
    /// Jobs that must fail on one worker, without a success in between, before it is suspect.
    std::uint32_t failuresToSuspect = 3;
    /// Share of their reservation that latency-critical tasks are assumed to use on average.
    double latencyCriticalLoad = 0.5;
    /// Share of a worker's processors by which the demand of best-effort tasks may exceed what
    /// others leave unused.
    double bestEffortOvercommit = 0.25;
    /// Share of its target up to which best-effort tasks may drive a latency-critical task's tail.
    double tailLimit = 0.82;
    /// Interference below this does not limit the speed of a best-effort task. Corresponds to the
    /// agents' limit for throttling.
    double minLimitingInterference = 1.5;
    /// A best-effort task waits for a better worker if it would run below this share of its speed.
    double minBestEffortSpeed = 0.8;
    /// A best-effort task predicted to run below this share of its speed is moved if it can resume
    /// elsewhere.
    double moveBelowSpeed = 0.35;
    /// Least predicted speed on the other worker that justifies a move.
    double minSpeedAfterMove = 0.8;
    /// Time after binding during which a run is not moved.
    Duration settleTime = std::chrono::milliseconds(1200);
    /// Pause after a placement round, for each worker that a waiting step examined. With 71 workers
    /// this leaves most of the leader's machine to its other work, see docs/MEASUREMENTS.md.
    Duration placementPausePerCandidate = std::chrono::microseconds(5);
    /// Upper limit of that pause.
    Duration maxPlacementPause = std::chrono::milliseconds(60);
    /// Share of a service's workers, and at least one of them, that a placement round may hold for
    /// long-running tasks that found no room.
    double maxHeldShare = 1.0 / 16;
    /// A run that is listed as running for this long does not crash its worker.
    Duration crashProbation = std::chrono::seconds(1);
    /// Time for which a worker gets no other new runs after one under which a worker has crashed.
    /// Longer than an agent's window for runs that may have caused a crash.
    Duration suspectStartPause = std::chrono::milliseconds(300);
    /// Crashes of workers under a long-running task from which it is started with pauses.
    std::uint32_t crashesToPause = 2;
    /// First pause from the start of such a task to that of the next one of its step. Doubles with
    /// each crash.
    Duration firstTrialPause = std::chrono::milliseconds(750);
    /// Upper limit of that pause: a job may have nothing running for three seconds.
    Duration longestTrialPause = std::chrono::seconds(2);
    /// Time in which all such tasks of a step are started in turn, unless the first pause is
    /// longer: a long-running task may wait for six seconds after its last run.
    Duration longestTrialTurn = std::chrono::seconds(5);
    /// Deduction from the score of a suspect worker for each second of its pause that is left.
    double suspicionPenalty = 1;
    /// Deduction from the score of a worker for each run on it that a crash would end, in the
    /// placement of a task under which a worker has crashed.
    double lossPenalty = 1;
    /// Factor of that for long-running tasks.
    double longRunningLossFactor = 10;
    /// Interval at which the reasons why steps wait are logged.
    Duration waitLogInterval = std::chrono::seconds(1);
    /// A job counts as idle if none of its tasks has been running for this long.
    Duration idleJobLimit = std::chrono::seconds(1);
    /// After this long without a run a job takes any place that a task of it fits on. A job may
    /// have nothing running for three seconds.
    Duration longestIdle = std::chrono::milliseconds(2000);
    /// Least time between two such placements for a service of which much is in use, so that each
    /// shows its effect.
    Duration idleStartInterval = std::chrono::milliseconds(250);
    /// From this share of the service's processors, with those that best-effort tasks would use,
    /// that counts as much.
    double muchInUse = 0.5;
    /// Interval at which idle jobs are searched.
    Duration idleJobInterval = std::chrono::seconds(1);
    /// A long-running task that has not been listed as running for this long counts as waiting.
    Duration longRunningWaitLimit = std::chrono::seconds(2);
    /// Interval at which long-running tasks are checked for that.
    Duration longRunningCheckInterval = std::chrono::seconds(1);
    /// Interval at which throttled best-effort tasks are checked for a move.
    Duration moveInterval = std::chrono::milliseconds(500);
    /// Two reports of a worker further apart than this are not used to learn interference.
    Duration maxReportGap = std::chrono::milliseconds(1100);
    /// Interval at which interference is computed and sent to agents.
    Duration interferenceInterval = std::chrono::milliseconds(500);
    /// Tasks of one scheduled job in occurrences that have begun and are not done. Further
    /// occurrences begin as these end, and in one round no more tasks than this become ready.
    std::uint32_t maxOpenTasks = 20'000;
    /// Time over which the headroom of a latency-critical task must suffice for a best-effort task.
    Duration headroomForecast = std::chrono::seconds(1);
    /// Smaller changes of an estimate are not sent.
    double minInterferenceChange = 0.15;
    /// Score for latency-critical tasks of the same image on a worker, in shares of an empty
    /// worker. Few images are insensitive to a best-effort task, so few should share a worker.
    /// Outweighs the available capacity.
    double sameImageBonus = 2;
    /// Deduction from the score for each other latency-critical image there: an empty worker is
    /// preferred to a mixed one.
    double otherImagePenalty = 2;
    /// Factor by which a task is slower away from its data; limit of the deployment.
    double remoteFactor = 1.5;
    /// Whether submissions that seem to come too late for any value are refused. Runs take less or
    /// more than was declared, so this may refuse a job that could have been done.
    bool refusesLateSubmissions = false;
    /// Whether tasks decline far places while waiting for a near one pays.
    bool waitsForNearPlaces = false;
    /// Whether whole jobs are put in an order while their work exceeds the room.
    bool ordersJobsUnderOverload = false;
    /// Whether workers that are slower than others get less work.
    bool avoidsSlowWorkers = false;
    WorkerSpeedSettings workerSpeed = {};
    /// A worker below this part of the others' speed is slow. Above it, the duration of one task
    /// varies more than by a worker's speed.
    double slowWorkerSpeed = 0.5;
    /// Upper limit of the deduction from the score of a slow worker: it is still better than none.
    double maxSlownessPenalty = 8;
    /// A run counts as longer than others, before it ends, from this multiple of their duration.
    double longRunFactor = 1.5;
    /// Time that stopping a run and starting it elsewhere costs.
    Duration restartCost = std::chrono::milliseconds(500);
    /// A run on a slow worker starts anew elsewhere if it would otherwise take this many times as
    /// long as that.
    double minRestartGain = 1.5;
    EvacuationGuardSettings evacuation = {};
    WarmUpSettings warmUp = {};
};

} // namespace guavashift
