#include <Guavashift/Placement/Mitigator.h>

#include <algorithm>

namespace guavashift {

namespace {

constexpr std::uint32_t fullSpeed = 100;

bool isRunningBatch(const Task &task)
{
    return task.kind == TaskKind::Batch && task.phase == TaskPhase::Running;
}

} // namespace

Mitigator::Mitigator(const MitigationPolicy &policy, InterferenceEstimator &interference)
    : m_policy(policy)
    , m_interference(interference)
{
}

void Mitigator::decide(const ClusterView &view, std::vector<CommandBody> &commands)
{
    std::visit([&](const auto &policy) { decideBy(policy, view, commands); }, m_policy);
}

void Mitigator::decideBy(const NoMitigation &, const ClusterView &, std::vector<CommandBody> &) { }

void Mitigator::decideBy(const ThresholdEviction &, const ClusterView &view,
                         std::vector<CommandBody> &commands)
{
    const double limit =
        view.state().configuration().document().policy.slowdownLimitPercent / 100.0;
    for (const WorkerView &candidate : view.workers()) {
        if (!candidate.hasLatencyCritical())
            continue;
        const Worker &worker = *candidate.worker;
        const InterferenceEstimator::MeasuredSlowdown measured =
            m_interference.measuredSlowdownOf(worker.id);
        WorkerState &state = m_workers[worker.id];
        if (measured.slowdown <= limit || measured.measuredAt <= state.seenAt)
            continue;
        state.seenAt = measured.measuredAt;
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

void Mitigator::decideBy(const ThrottleThenEvict &policy, const ClusterView &view,
                         std::vector<CommandBody> &commands)
{
    const double limit =
        view.state().configuration().document().policy.slowdownLimitPercent / 100.0;
    const double recoveryLimit = 1 + (limit - 1) * policy.recoveryShare;
    for (const WorkerView &candidate : view.workers()) {
        if (!candidate.hasLatencyCritical())
            continue;
        const Worker &worker = *candidate.worker;
        WorkerState &state = m_workers[worker.id];
        const InterferenceEstimator::MeasuredSlowdown measured =
            m_interference.measuredSlowdownOf(worker.id);
        // Only new measurements count, and only those taken after the last action.
        const WallMs settled =
            policy.hysteresis ? state.actedAt + toMs(policy.settleTime) : state.seenAt;
        if (measured.measuredAt <= state.seenAt || measured.measuredAt < settled)
            continue;
        state.seenAt = measured.measuredAt;
        if (measured.slowdown > limit) {
            state.recoveredSince = 0;
            const bool severe = measured.slowdown - 1 > 2 * (limit - 1);
            const unsigned needed =
                policy.hysteresis && !severe ? policy.violationsBeforeAction : 1;
            if (++state.violations >= needed)
                mitigate(policy, view, worker, measured.slowdown - 1, state, commands);
            continue;
        }
        state.violations = 0;
        if (measured.slowdown > recoveryLimit) {
            state.recoveredSince = 0;
            continue;
        }
        if (state.recoveredSince == 0)
            state.recoveredSince = view.now();
        if (!policy.hysteresis || view.now() - state.recoveredSince >= toMs(policy.recoveryTime))
            unthrottle(view, worker, limit - measured.slowdown, state, commands);
    }
}

std::vector<Mitigator::Aggressor> Mitigator::batchByInterference(const ClusterView &view,
                                                                 const Worker &worker)
{
    std::vector<Aggressor> aggressors;
    for (const TaskId &id : worker.tasks) {
        const Task &task = view.state().tasks().at(id);
        if (!isRunningBatch(task))
            continue;
        const FamilyId family = m_interference.families().idOf(task.family);
        aggressors.push_back(
            {m_interference.expectedInterference(worker.id, family, task.speedPercent), family,
             &task});
    }
    std::sort(aggressors.begin(), aggressors.end(), [](const Aggressor &a, const Aggressor &b) {
        return a.interference != b.interference ? a.interference > b.interference
                                                : a.task->id < b.task->id;
    });
    return aggressors;
}

bool Mitigator::hasBetterWorker(const ThrottleThenEvict &policy, const ClusterView &view,
                                const Aggressor &aggressor) const
{
    for (const WorkerView &candidate : view.workers()) {
        if (candidate.worker->id == aggressor.task->worker
            || !view.isFeasible(candidate, *aggressor.task, aggressor.task->size))
            continue;
        if (!candidate.hasLatencyCritical())
            return true;
        const InterferenceEstimator::Forecast forecast =
            m_interference.forecast(candidate.worker->id, aggressor.family, false);
        if (forecast.addedInterference < policy.betterWorkerShare * aggressor.interference)
            return true;
    }
    return false;
}

void Mitigator::mitigate(const ThrottleThenEvict &policy, const ClusterView &view,
                         const Worker &worker, double excess, WorkerState &state,
                         std::vector<CommandBody> &commands)
{
    const PolicyConfig &config = view.state().configuration().document().policy;
    const double limit = config.slowdownLimitPercent / 100.0;
    double toRemove = excess - (limit - 1);
    for (const Aggressor &aggressor : batchByInterference(view, worker)) {
        // Throttling a task that causes little of the slowdown costs work without a benefit.
        const bool isSignificant = aggressor.interference
            >= std::max(policy.minInterference, policy.minShareOfExcess * excess);
        if (!isSignificant || toRemove <= 0)
            break;
        const Task &task = *aggressor.task;
        const bool throttled = task.speedPercent < fullSpeed;
        if (!throttled && policy.throttles) {
            commands.emplace_back(ThrottleAttempt{task.id, task.attempt, config.throttlePercent});
            toRemove -= aggressor.interference * (fullSpeed - config.throttlePercent) / fullSpeed;
        } else if (policy.evicts && task.evictions < config.maxEvictionsPerTask
                   && hasBetterWorker(policy, view, aggressor)) {
            commands.emplace_back(EvictAttempt{task.id, task.attempt});
            toRemove -= aggressor.interference;
        } else {
            continue;
        }
        state.actedAt = view.now();
        state.violations = 0;
    }
}

void Mitigator::unthrottle(const ClusterView &view, const Worker &worker, double headroom,
                           WorkerState &state, std::vector<CommandBody> &commands)
{
    // One throttled task at a time returns to full speed, the one with the least interference
    // first.
    const std::vector<Aggressor> aggressors = batchByInterference(view, worker);
    for (auto aggressor = aggressors.rbegin(); aggressor != aggressors.rend(); ++aggressor) {
        const Task &task = *aggressor->task;
        if (task.speedPercent == fullSpeed)
            continue;
        // Only if the interference at full speed is expected to stay within the limit.
        const double atFullSpeed = aggressor->interference * fullSpeed / task.speedPercent;
        if (atFullSpeed - aggressor->interference > headroom)
            continue;
        commands.emplace_back(ThrottleAttempt{task.id, task.attempt, fullSpeed});
        state.actedAt = view.now();
        state.recoveredSince = 0;
        return;
    }
}

} // namespace guavashift
