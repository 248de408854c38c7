#include <Guavashift/Dispatch/Dispatcher.h>

#include <cmath>

// The part of Dispatcher that chooses workers.

namespace guavashift {

namespace {

/// Whether a worker that is held for a task of the step would come to have room for it. A gang
/// needs several at once, and a best-effort task reserves no processors that could become free.
bool canHoldFor(const StepPlan &step)
{
    return step.longRunning && !step.gang && !step.bestEffort;
}

/// Whether the task, or any member of its gang, is one of `tasks`.
bool isAnyOf(const std::set<TaskRef> &tasks, const TaskRef &ref, const StepPlan &step)
{
    if (!step.gang)
        return tasks.contains(ref);
    const auto first = tasks.lower_bound({ref.job, ref.occurrence, ref.step, 0});
    return first != tasks.end() && first->job == ref.job && first->occurrence == ref.occurrence
        && first->step == ref.step;
}

/// Least share of the resources in `size` that is available.
double availableShare(const Resources &available, const Resources &size)
{
    double share = 1;
    for (const auto part : {&Resources::milliCores, &Resources::memoryMb, &Resources::accelerators})
        if (size.*part > 0)
            share = std::min(
                share, static_cast<double>(available.*part) / static_cast<double>(size.*part));
    return share;
}

} // namespace

std::vector<ReadyTask> Dispatcher::schedulingOrder(WallMs wallNow) const
{
    // Within a priority, tasks that can meet their objective come first, then those that are late
    // but still worth something, then the rest: under overload, running the latest first would
    // make everything late.
    const auto latenessClass = [&](const ReadyTask &ready) {
        if (ready.longRunning || wallNow + ready.remainingMs <= ready.objective)
            return 0;
        return wallNow + ready.remainingMs <= ready.worthlessAt ? 1 : 2;
    };
    struct Entry
    {
        int rank = 0;
        WallMs due = 0;
        const ReadyTask *ready = nullptr;
    };
    std::vector<Entry> order;
    order.reserve(m_ready.size());
    const bool isOverloaded = m_overload.isOverloaded();
    for (const ReadyTask &each : m_ready) {
        if (!isOverloaded) {
            order.push_back({latenessClass(each), 0, &each});
        } else if (!order.empty() && order.back().ready->task.job == each.task.job) {
            order.push_back({order.back().rank, order.back().due, &each});
        } else if (const auto place = m_overload.placeOf(each.task.job)) {
            order.push_back({place->rank, place->due, &each});
        } else {
            order.push_back({latenessClass(each), each.objective, &each});
        }
    }
    std::stable_sort(order.begin(), order.end(), [](const Entry &left, const Entry &right) {
        return std::tuple(left.ready->priority, left.rank, left.due)
            < std::tuple(right.ready->priority, right.rank, right.due);
    });
    std::vector<ReadyTask> ready;
    ready.reserve(order.size());
    for (const Entry &each : order)
        ready.push_back(*each.ready);
    return ready;
}

std::set<TaskRef> Dispatcher::tasksAtWork(Instant now) const
{
    std::set<TaskRef> tasks;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (now > worker.leaseEnd)
            continue;
        for (const auto &[run, stopOrdered] : worker.unboundRuns)
            tasks.insert(run.first);
    }
    return tasks;
}

void Dispatcher::placeReady(Instant now, WallMs wallNow, const std::function<void()> &betweenTasks)
{
    if (now < m_nextPlacement)
        return;
    std::size_t candidates = m_ready.size();
    m_nearPlaces.beginRound(now);
    HeldWorkers held(m_pool.workers(), m_settings.maxHeldShare);
    // Tasks of one step are alike, except that suspected ones may not share a worker: once one
    // finds no worker, no worker is searched for the others in this round. The value tells whether
    // one may still be held for them.
    using Shape = std::tuple<std::string, std::uint32_t, bool>;
    std::map<Shape, bool> blockedShapes;
    std::map<StepRef, StepTrial> trials;
    const std::set<TaskRef> atWork = tasksAtWork(now);
    for (const ReadyTask &each : schedulingOrder(wallNow)) {
        const Shape shape{each.task.job, each.task.step, each.suspected};
        auto blocked = blockedShapes.find(shape);
        if ((blocked != blockedShapes.end() && !blocked->second)
            || !m_readyByTask.contains(each.task))
            continue;
        const StageJob &job = *m_jobTable.find(each.task.job);
        const StepPlan &step = job.plan.steps[each.task.step];
        if (isAnyOf(atWork, each.task, step))
            continue;
        betweenTasks();
        candidates += m_pool.workers().size();
        const auto [trial, added] =
            trials.try_emplace({each.task.job, each.task.occurrence, each.task.step}, StepTrial());
        if (added)
            trial->second = trialOf(job, each.task, now);
        if (!mayStart(each.task, trial->second) || waitsForNearPlace(job, each, now, wallNow, held))
            continue;
        if (blocked == blockedShapes.end()) {
            if (place(each, now, held, AcceptedPlaces::Good) || placeIdle(each, now)) {
                updateTrial(trial->second, each.task, now);
                continue;
            }
            if (now >= m_nextWaitLog)
                logWaiting(job, each);
            blocked = blockedShapes.emplace(shape, canHoldFor(step)).first;
        }
        // One worker for each waiting task: those of a lost worker wait together, and would
        // otherwise start one after the other, each when short tasks have ended.
        if (blocked->second)
            blocked->second = holdWorker(job, each.task, now, held);
    }
    if (now >= m_nextWaitLog)
        m_nextWaitLog = now + m_settings.waitLogInterval;
    // Many waiting steps on many workers must not keep the leader from its other work.
    m_nextPlacement = now
        + std::min(m_settings.placementPausePerCandidate * static_cast<std::int64_t>(candidates),
                   m_settings.maxPlacementPause);
}

bool Dispatcher::place(const ReadyTask &ready, Instant now, const HeldWorkers &held,
                       AcceptedPlaces accepted)
{
    const StageJob &job = *m_jobTable.find(ready.task.job);
    return job.plan.steps[ready.task.step].gang ? placeGang(ready, now, held, accepted)
                                                : placeTask(ready, now, held, accepted);
}

bool Dispatcher::placeTask(const ReadyTask &ready, Instant now, const HeldWorkers &held,
                           AcceptedPlaces accepted)
{
    const StageJob &job = *m_jobTable.find(ready.task.job);
    PoolWorker *worker = chooseWorker(job, ready.task, now, held, accepted);
    if (worker == nullptr)
        return false;
    const StageTask *task = m_jobTable.find(ready.task);
    bind(ready.task, task == nullptr ? 1 : task->run + 1, *worker, now);
    pauseOtherStarts(ready.task, now);
    recordNearness(job.plan.steps[ready.task.step], ready.task, now);
    return true;
}

bool Dispatcher::placeGang(const ReadyTask &ready, Instant now, const HeldWorkers &held,
                           AcceptedPlaces accepted)
{
    const StageJob &job = *m_jobTable.find(ready.task.job);
    const std::uint32_t members = job.plan.steps[ready.task.step].tasks;
    // All members start together with one run number, so all must be ready.
    std::uint32_t run = 0;
    std::vector<TaskRef> refs;
    for (std::uint32_t t = 0; t < members; ++t) {
        TaskRef ref = ready.task;
        ref.task = t;
        if (!m_readyByTask.contains(ref))
            return false;
        if (const StageTask *task = m_jobTable.find(ref))
            run = std::max(run, task->run);
        refs.push_back(ref);
    }
    const std::size_t commandsBefore = m_commands.size();
    for (const TaskRef &ref : refs) {
        PoolWorker *worker = chooseWorker(job, ref, now, held, accepted);
        if (worker != nullptr) {
            bind(ref, run + 1, *worker, now);
            continue;
        }
        // No worker for one member: none starts.
        for (std::size_t i = commandsBefore; i < m_commands.size(); ++i)
            proposalLost(m_commands[i]);
        m_commands.resize(commandsBefore);
        return false;
    }
    for (const TaskRef &ref : refs)
        pauseOtherStarts(ref, now);
    recordNearness(job.plan.steps[ready.task.step], ready.task, now);
    return true;
}

void Dispatcher::bind(const TaskRef &ref, std::uint32_t run, PoolWorker &worker, Instant now)
{
    PlacedRun placed = placedRun(ref, run);
    placed.boundAt = now;
    placed.decidedAt = now;
    placed.showsSpeed = showsSpeed(ref);
    const auto ready = m_readyByTask.find(ref);
    placed.readyAt = ready->second.readyAt;
    m_ready.erase(ready->second);
    m_readyByTask.erase(ready);
    m_placed.emplace(ref, worker.facts.lifetime);
    const StartPath path = startPathTo(worker);
    placed.reachesOnlyItsLifetime = path.hasAnswered;
    m_commands.emplace_back(StartRun{ref, run, worker.facts.lifetime, path});
    m_pool.place(worker.facts.lifetime, std::move(placed));
}

void Dispatcher::pauseOtherStarts(const TaskRef &ref, Instant now)
{
    PoolWorker &worker = *m_pool.find(m_placed.at(ref));
    if (worker.runs.at(ref).suspected)
        worker.suspectAloneUntil = now + m_settings.suspectStartPause;
}

std::optional<Exclusion> Dispatcher::exclusionOf(const PoolWorker &worker,
                                                 const QueueSettings &queue, const StepPlan &step,
                                                 const TaskRef &ref, Instant now,
                                                 AcceptedPlaces accepted) const
{
    if (!worker.hasFacts || worker.node.empty())
        return Exclusion::NoSession;
    if (worker.facts.service != queue.service)
        return Exclusion::OtherService;
    if (worker.unreachable)
        return Exclusion::Unreachable;
    if (worker.facts.draining)
        return Exclusion::Draining;
    if (m_evacuation.excludes(worker))
        return Exclusion::Evacuated;
    if (now >= worker.leaseEnd)
        return Exclusion::NoLease;
    if (now < worker.refusesUntil
        || (now < worker.suspectUntil && accepted == AcceptedPlaces::Good))
        return Exclusion::Suspect;
    if (!step.requiredLabel.empty() && !worker.facts.hasLabel(step.requiredLabel))
        return Exclusion::Label;
    if (step.maxPerWorker > 0) {
        std::uint32_t here = 0;
        for (auto at = worker.runs.lower_bound({ref.job, ref.occurrence, ref.step, 0});
             at != worker.runs.end() && at->first.job == ref.job
             && at->first.occurrence == ref.occurrence && at->first.step == ref.step;
             ++at)
            ++here;
        if (here >= step.maxPerWorker)
            return Exclusion::SpreadLimit;
    }
    if (accepted == AcceptedPlaces::Good && !m_coldWorkers.mayStart(worker))
        return Exclusion::Cold;
    // After a crash it must be clear which run was the cause.
    if (crashesOf(ref) > 0 ? hasOtherSuspect(worker, step, ref) : now < worker.suspectAloneUntil)
        return Exclusion::CrashSuspect;
    if (worker.runsUnknown || !reservationOf(step).fitsWithin(worker.available()))
        return Exclusion::Capacity;
    if (!step.bestEffort || accepted == AcceptedPlaces::Any)
        return std::nullopt;
    // Under overload, more runs would only make all of them slower. A worker without any still
    // takes one that it has not all the processors for.
    const bool isCrowded =
        worker.bestEffortMilliCores > 0 && m_overload.isOverloaded(queue.service, true);
    const double overcommit = isCrowded ? 0 : m_settings.bestEffortOvercommit;
    const auto slack = static_cast<std::int64_t>(
        overcommit * static_cast<double>(worker.facts.capacity.milliCores));
    if (unusedMilliCores(worker) + slack < step.size.milliCores)
        return Exclusion::Capacity;
    // Also excludes a speed that is not a number.
    if (!(predictedSpeed(worker, step) >= m_settings.minBestEffortSpeed))
        return Exclusion::Interference;
    return std::nullopt;
}

const std::vector<SpareHeadroom> &Dispatcher::spareHeadroomOf(const PoolWorker &worker) const
{
    if (worker.spareVersion == m_interference.version())
        return worker.spare;
    worker.spareVersion = m_interference.version();
    worker.spare.clear();
    const BestEffortActivity demand = worker.bestEffortDemand();
    for (const auto &[task, run] : worker.runs) {
        if (!run.latencyCritical || run.tailTargetMs <= 0 || run.lastStatusAt == Instant())
            continue;
        const double remaining = run.ownHeadroom.lowest(m_settings.headroomForecast)
            - 1 / m_settings.tailLimit - m_interference.total(run.image, demand);
        const std::string &image = run.image;
        const auto known = std::find_if(worker.spare.begin(), worker.spare.end(),
                                        [&](const auto &each) { return each.image == image; });
        if (known == worker.spare.end())
            worker.spare.push_back({run.image, remaining});
        else
            known->remaining = std::min(known->remaining, remaining);
    }
    return worker.spare;
}

double Dispatcher::predictedSpeed(const PoolWorker &worker, const StepPlan &step) const
{
    const double more = worker.shareOfProcessors(static_cast<double>(step.size.milliCores));
    double speed = 1;
    for (const SpareHeadroom &spare : spareHeadroomOf(worker)) {
        const double interference = m_interference.interference(spare.image, step.image);
        const double need = interference * more;
        if (interference >= m_settings.minLimitingInterference && need > 0)
            speed = std::min(speed, spare.remaining / need);
    }
    return speed;
}

std::int64_t Dispatcher::unusedMilliCores(const PoolWorker &worker) const
{
    // Latency-critical tasks use a part of their reservation, all others are assumed to use all.
    const auto unused =
        static_cast<std::int64_t>((1 - m_settings.latencyCriticalLoad)
                                  * static_cast<double>(worker.latencyCriticalMilliCores));
    return worker.available().milliCores + unused - worker.bestEffortMilliCores;
}

double Dispatcher::currentSpeed(const PoolWorker &worker, const PlacedRun &placed) const
{
    const BestEffortActivity demand = worker.bestEffortDemand();
    double speed = 1;
    for (const auto &[task, run] : worker.runs) {
        if (!run.latencyCritical || run.tailTargetMs <= 0 || run.lastStatusAt == Instant())
            continue;
        // Images with the most interference are throttled first, so the demand of those with less
        // is deducted from the headroom before.
        const double ownInterference = m_interference.interference(run.image, placed.image);
        double remaining =
            run.ownHeadroom.lowest(m_settings.headroomForecast) - 1 / m_settings.tailLimit;
        for (const auto &[image, activity] : demand) {
            const double interference = m_interference.interference(run.image, image);
            if (image != placed.image && interference < ownInterference)
                remaining -= interference * activity;
        }
        const double need = ownInterference * demand.at(placed.image);
        if (ownInterference >= m_settings.minLimitingInterference && need > 0)
            speed = std::min(speed, std::max(remaining, 0.0) / need);
    }
    return speed;
}

void Dispatcher::moveThrottled(Instant now, const std::function<void()> &betweenTasks)
{
    if (now < m_nextMoves)
        return;
    m_nextMoves = now + m_settings.moveInterval;
    const HeldWorkers noneHeld(m_pool.workers(), m_settings.maxHeldShare);
    for (const auto &[lifetime, known] : m_pool.workers()) {
        if (known.node.empty() || known.unreachable)
            continue;
        PoolWorker &worker = *m_pool.find(lifetime);
        for (auto &[task, run] : worker.runs) {
            if (!run.bestEffort || !run.committed || run.stopRequested
                || now - run.boundAt < m_settings.settleTime)
                continue;
            const StageJob *job = m_jobTable.find(task.job);
            if (job == nullptr || !job->isActive() || !job->plan.steps[task.step].checkpoints
                || currentSpeed(worker, run) >= m_settings.moveBelowSpeed
                || !allowsDisruption(*job, task))
                continue;
            betweenTasks();
            const PoolWorker *better = chooseWorker(*job, task, now, noneHeld);
            if (better == nullptr || better == &worker
                || predictedSpeed(*better, job->plan.steps[task.step])
                    < m_settings.minSpeedAfterMove)
                continue;
            logEvent(LogLevel::Info, "run-moved",
                     {{"task", task.text()},
                      {"from", lifetime.worker},
                      {"to", better->facts.lifetime.worker},
                      {"speed", currentSpeed(worker, run)}});
            orderStop(lifetime, worker, run);
            // One move a round: the next prediction must take its effect into account.
            return;
        }
    }
}

double Dispatcher::colocationScore(const PoolWorker &worker, const StepPlan &step) const
{
    std::set<std::string_view> others;
    bool hasSameImage = false;
    for (const auto &[task, run] : worker.runs) {
        if (!run.latencyCritical)
            continue;
        if (run.image == step.image)
            hasSameImage = true;
        else
            others.insert(run.image);
    }
    return (hasSameImage ? m_settings.sameImageBonus : 0.0)
        - m_settings.otherImagePenalty * static_cast<double>(others.size());
}

double Dispatcher::scoreOf(const PoolWorker &worker, const StepPlan &step) const
{
    const double cores =
        static_cast<double>(std::max<std::int64_t>(worker.facts.capacity.milliCores, 1));
    const double memory =
        static_cast<double>(std::max<std::int64_t>(worker.facts.capacity.memoryMb, 1));
    double score = step.bestEffort
        ? std::clamp(predictedSpeed(worker, step), 0.0, 1.0)
            + std::min(static_cast<double>(unusedMilliCores(worker)) / cores, 0.5)
        : std::min(static_cast<double>(worker.available().milliCores) / cores,
                   static_cast<double>(worker.available().memoryMb) / memory);
    if (step.tailTargetMs > 0)
        score += colocationScore(worker, step);
    if (step.tailTargetMs > 0 || step.longRunning)
        score -= m_coldWorkers.penaltyOf(worker);
    // A task takes longer away from its data, by a known factor.
    if (!step.dataRack.empty() && !worker.facts.hasLabel(step.dataRack))
        score -= m_settings.remoteFactor;
    return score - slownessPenalty(worker);
}

double Dispatcher::lossOf(const PoolWorker &worker) const
{
    double loss = 0;
    for (const auto &[task, run] : worker.runs)
        loss += m_settings.lossPenalty * (run.longRunning ? m_settings.longRunningLossFactor : 1.0);
    return loss;
}

double Dispatcher::suspicionOf(const PoolWorker &worker, Instant now) const
{
    const Duration left = worker.suspectUntil - now;
    return left <= Duration::zero()
        ? 0
        : m_settings.suspicionPenalty * std::chrono::duration<double>(left).count();
}

PoolWorker *Dispatcher::chooseWorker(const StageJob &job, const TaskRef &ref, Instant now,
                                     const HeldWorkers &held, AcceptedPlaces accepted)
{
    const QueueSettings &queue = m_jobTable.queueSettingsOf(job);
    const StepPlan &step = job.plan.steps[ref.step];
    const bool mayCrash = crashesOf(ref) > 0;
    const std::string groupRack = groupRackOf(step, ref);
    PoolWorker *best = nullptr;
    double bestScore = 0;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (!held.allows(worker, step) || exclusionOf(worker, queue, step, ref, now, accepted))
            continue;
        const bool isApart = !groupRack.empty() && worker.facts.rack() != groupRack;
        const double score = scoreOf(worker, step) - (mayCrash ? lossOf(worker) : 0)
            - (isApart ? m_settings.remoteFactor : 0) - suspicionOf(worker, now);
        if (best == nullptr || score > bestScore) {
            best = m_pool.find(lifetime);
            bestScore = score;
        }
    }
    return best;
}

bool Dispatcher::holdWorker(const StageJob &job, const TaskRef &ref, Instant now,
                            HeldWorkers &held) const
{
    const QueueSettings &queue = m_jobTable.queueSettingsOf(job);
    const StepPlan &step = job.plan.steps[ref.step];
    if (!held.mayHold(queue.service))
        return false;
    const PoolWorker *best = nullptr;
    double bestShare = 0;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        // Only other runs than long-running ones make room by themselves.
        if (held.contains(worker)
            || !step.size.fitsWithin(worker.facts.capacity - worker.longRunning)
            || exclusionOf(worker, queue, step, ref, now) != Exclusion::Capacity)
            continue;
        const double share = availableShare(worker.available(), step.size);
        if (best == nullptr || share > bestShare) {
            best = &worker;
            bestShare = share;
        }
    }
    if (best == nullptr)
        return false;
    held.hold(*best, step.size);
    return true;
}

} // namespace guavashift
