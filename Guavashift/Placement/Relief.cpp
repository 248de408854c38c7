#include <Guavashift/Placement/Relief.h>

#include <algorithm>

namespace guavashift {

namespace {

constexpr std::uint32_t fullSpeed = 100;

bool isRunningBatch(const Task &task)
{
    return task.kind == TaskKind::Batch && task.phase == TaskPhase::Running;
}

} // namespace

Relief::Relief(const ReliefPolicy &policy, HarmEstimator &harm)
    : m_policy(policy)
    , m_harm(harm)
{
}

void Relief::decide(const ClusterView &view, std::vector<CommandBody> &commands)
{
    std::visit([&](const auto &policy) { decideBy(policy, view, commands); }, m_policy);
}

void Relief::decideBy(const NoRelief &, const ClusterView &, std::vector<CommandBody> &) { }

void Relief::decideBy(const ThresholdEviction &, const ClusterView &view,
                      std::vector<CommandBody> &commands)
{
    const double limit =
        view.state().configuration().document().policy.slowdownLimitPercent / 100.0;
    for (const WorkerView &place : view.workers()) {
        if (!place.hasLatencyCritical())
            continue;
        const Worker &worker = *place.worker;
        const HarmEstimator::Pressure pressure = m_harm.pressureOf(worker.id);
        WorkerState &state = m_workers[worker.id];
        if (pressure.slowdown <= limit || pressure.measuredAt <= state.seenAt)
            continue;
        state.seenAt = pressure.measuredAt;
        const Task *largest = nullptr;
        for (const TaskId &id : worker.tasks) {
            const Task &task = view.state().tasks().at(id);
            if (isRunningBatch(task)
                && (largest == nullptr || task.size.milliCores > largest->size.milliCores))
                largest = &task;
        }
        if (largest != nullptr)
            commands.emplace_back(EvictAttempt{largest->id, largest->attempt});
    }
}

void Relief::decideBy(const ThrottleThenEvict &policy, const ClusterView &view,
                      std::vector<CommandBody> &commands)
{
    const double limit =
        view.state().configuration().document().policy.slowdownLimitPercent / 100.0;
    const double calm = 1 + (limit - 1) * policy.calmShare;
    for (const WorkerView &place : view.workers()) {
        if (!place.hasLatencyCritical())
            continue;
        const Worker &worker = *place.worker;
        WorkerState &state = m_workers[worker.id];
        const HarmEstimator::Pressure pressure = m_harm.pressureOf(worker.id);
        // Only news counts, and only from after the last action.
        const WallMs settled =
            policy.hysteresis ? state.actedAt + toMs(policy.settleTime) : state.seenAt;
        if (pressure.measuredAt <= state.seenAt || pressure.measuredAt < settled)
            continue;
        state.seenAt = pressure.measuredAt;
        if (pressure.slowdown > limit) {
            state.calmSince = 0;
            const bool severe = pressure.slowdown - 1 > 2 * (limit - 1);
            const unsigned needed = policy.hysteresis && !severe ? policy.strikes : 1;
            if (++state.strikes >= needed)
                relieve(policy, view, worker, pressure.slowdown - 1, state, commands);
            continue;
        }
        state.strikes = 0;
        if (pressure.slowdown > calm) {
            state.calmSince = 0;
            continue;
        }
        if (state.calmSince == 0)
            state.calmSince = view.now();
        if (!policy.hysteresis || view.now() - state.calmSince >= toMs(policy.calmTime))
            loosen(view, worker, limit - pressure.slowdown, state, commands);
    }
}

std::vector<Relief::Aggressor> Relief::batchByHarm(const ClusterView &view, const Worker &worker)
{
    std::vector<Aggressor> aggressors;
    for (const TaskId &id : worker.tasks) {
        const Task &task = view.state().tasks().at(id);
        if (!isRunningBatch(task))
            continue;
        const FamilyId family = m_harm.families().idOf(task.family);
        aggressors.push_back(
            {m_harm.expectedHarm(worker.id, family, task.speedPercent), family, &task});
    }
    std::sort(aggressors.begin(), aggressors.end(), [](const Aggressor &a, const Aggressor &b) {
        return a.harm != b.harm ? a.harm > b.harm : a.task->id < b.task->id;
    });
    return aggressors;
}

bool Relief::hasBetterPlace(const ThrottleThenEvict &policy, const ClusterView &view,
                            const Aggressor &aggressor) const
{
    for (const WorkerView &place : view.workers()) {
        if (place.worker->id == aggressor.task->worker
            || !view.isFeasible(place, *aggressor.task, aggressor.task->size))
            continue;
        if (!place.hasLatencyCritical())
            return true;
        const HarmEstimator::Forecast forecast =
            m_harm.forecast(place.worker->id, aggressor.family, false);
        if (forecast.addedHarm < policy.betterPlaceShare * aggressor.harm)
            return true;
    }
    return false;
}

void Relief::relieve(const ThrottleThenEvict &policy, const ClusterView &view, const Worker &worker,
                     double excess, WorkerState &state, std::vector<CommandBody> &commands)
{
    const PolicyConfig &config = view.state().configuration().document().policy;
    const double limit = config.slowdownLimitPercent / 100.0;
    double toRemove = excess - (limit - 1);
    for (const Aggressor &aggressor : batchByHarm(view, worker)) {
        // Slowing down a task that is hardly to blame costs work and helps nobody.
        const bool blamed =
            aggressor.harm >= std::max(policy.leastHarm, policy.leastBlame * excess);
        if (!blamed || toRemove <= 0)
            break;
        const Task &task = *aggressor.task;
        const bool throttled = task.speedPercent < fullSpeed;
        if (!throttled && policy.throttles) {
            commands.emplace_back(ThrottleAttempt{task.id, task.attempt, config.throttlePercent});
            toRemove -= aggressor.harm * (fullSpeed - config.throttlePercent) / fullSpeed;
        } else if (policy.evicts && task.evictions < config.maxEvictionsPerTask
                   && hasBetterPlace(policy, view, aggressor)) {
            commands.emplace_back(EvictAttempt{task.id, task.attempt});
            toRemove -= aggressor.harm;
        } else {
            continue;
        }
        state.actedAt = view.now();
        state.strikes = 0;
    }
}

void Relief::loosen(const ClusterView &view, const Worker &worker, double room, WorkerState &state,
                    std::vector<CommandBody> &commands)
{
    // The least harmful of the throttled ones runs at full speed again, one at a time.
    const std::vector<Aggressor> aggressors = batchByHarm(view, worker);
    for (auto aggressor = aggressors.rbegin(); aggressor != aggressors.rend(); ++aggressor) {
        const Task &task = *aggressor->task;
        if (task.speedPercent == fullSpeed)
            continue;
        // Only if what it will do at full speed is expected to stay within the limit.
        const double atFullSpeed = aggressor->harm * fullSpeed / task.speedPercent;
        if (atFullSpeed - aggressor->harm > room)
            continue;
        commands.emplace_back(ThrottleAttempt{task.id, task.attempt, fullSpeed});
        state.actedAt = view.now();
        state.calmSince = 0;
        return;
    }
}

} // namespace guavashift
