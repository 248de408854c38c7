#include <Guavashift/Placement/Preemptor.h>

#include <algorithm>

namespace guavashift {

namespace {

constexpr std::size_t workerCandidates = 32;
/// Time for evictions to free capacity before more are ordered for the same task.
constexpr WallMs preemptionRetryMs = 10'000;
/// Cost of each further eviction of a task, in milliseconds of work.
constexpr double evictionCostMs = 5'000;

/// Estimated cost of an eviction in milliseconds of work. Grows with the task's earlier evictions
/// and with the time since its start, part of which is lost since the last checkpoint.
double lostWorkMs(const Task &task, WallMs now)
{
    return evictionCostMs * (1 + task.evictions)
        + static_cast<double>(std::max<WallMs>(0, now - task.startedAt)) / 10;
}

} // namespace

Preemptor::Preemptor(std::mt19937_64 &random)
    : m_random(random)
{
}

std::optional<Preemptor::Plan> Preemptor::planFor(const ClusterView &view, const WorkerView &worker,
                                                  const Task &task, const Resources &size) const
{
    if (!size.fitsWithin(worker.worker->facts.capacity)
        || (task.kind == TaskKind::Batch && worker.worker->quarantinedUntil > view.now()))
        return std::nullopt;
    std::vector<const Task *> candidates;
    Resources free = worker.free;
    for (const TaskId &id : worker.worker->tasks) {
        const Task &other = view.state().tasks().at(id);
        // Capacity that is being freed counts as free.
        if (other.phase == TaskPhase::Stopping)
            free += other.size;
        else if (other.kind == TaskKind::Batch && !other.urgent)
            candidates.push_back(&other);
    }
    std::sort(candidates.begin(), candidates.end(), [&](const Task *a, const Task *b) {
        const double costA = lostWorkMs(*a, view.now());
        const double costB = lostWorkMs(*b, view.now());
        return costA != costB ? costA < costB : a->id < b->id;
    });
    Plan plan;
    for (const Task *victim : candidates) {
        if (size.fitsWithin(free))
            break;
        free += victim->size;
        plan.cost += lostWorkMs(*victim, view.now());
        plan.victims.push_back(victim);
    }
    if (!size.fitsWithin(free))
        return std::nullopt;
    return plan;
}

void Preemptor::preemptFor(ClusterView &view, const Task &task, const Resources &size,
                           std::vector<CommandBody> &commands)
{
    const auto asked = m_preemptedAt.find(task.id);
    if (asked != m_preemptedAt.end() && view.now() - asked->second < preemptionRetryMs)
        return;
    std::optional<Plan> best;
    const std::vector<WorkerView> &workers = view.workers();
    const bool all = workers.size() <= workerCandidates;
    const std::size_t tries = all ? workers.size() : workerCandidates;
    for (std::size_t i = 0; i < tries; ++i) {
        const WorkerView &worker = workers[all ? i : m_random() % workers.size()];
        std::optional<Plan> plan = planFor(view, worker, task, size);
        if (plan && (!best || plan->cost < best->cost))
            best = std::move(plan);
    }
    if (!best)
        return;
    for (const Task *victim : best->victims)
        commands.emplace_back(EvictAttempt{victim->id, victim->attempt});
    m_preemptedAt[task.id] = view.now();
    // Entries of tasks that have started since are removed by age.
    std::erase_if(m_preemptedAt, [&](const auto &item) {
        return view.now() - item.second > 2 * preemptionRetryMs;
    });
}

void Preemptor::evictFromDraining(const StateMachine &state, std::vector<CommandBody> &commands)
{
    std::set<ServiceId> movingServices;
    for (const auto &[id, task] : state.tasks()) {
        if (task.kind != TaskKind::LatencyCritical)
            continue;
        if (task.phase != TaskPhase::Running)
            movingServices.insert(task.service);
    }
    for (const auto &[id, worker] : state.workers()) {
        if (worker.status != WorkerStatus::Draining)
            continue;
        for (const TaskId &taskId : worker.tasks) {
            const Task &task = state.tasks().at(taskId);
            if (task.phase == TaskPhase::Stopping)
                continue;
            // One replica of a service moves at a time, so that the others serve its requests.
            if (task.kind == TaskKind::LatencyCritical
                && !movingServices.insert(task.service).second)
                continue;
            commands.emplace_back(EvictAttempt{taskId, task.attempt});
        }
    }
}

} // namespace guavashift
