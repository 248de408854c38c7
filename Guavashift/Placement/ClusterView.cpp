#include <Guavashift/Placement/ClusterView.h>

#include <algorithm>

namespace guavashift {

namespace {

Resources positivePart(const Resources &resources)
{
    return {std::max<std::int64_t>(0, resources.milliCores),
            std::max<std::int64_t>(0, resources.memoryMb),
            std::max<std::int64_t>(0, resources.accelerators)};
}

} // namespace

ClusterView::ClusterView(const StateMachine &state, WallMs now)
    : m_state(state)
    , m_now(now)
{
    m_workers.reserve(state.workers().size());
    for (const auto &[id, worker] : state.workers()) {
        if (worker.status != WorkerStatus::Up)
            continue;
        WorkerView view;
        view.worker = &worker;
        view.free = worker.facts.capacity - worker.reserved;
        // The ids of latency-critical tasks begin with their service.
        for (auto at = worker.tasks.lower_bound(TaskId{"service/"});
             at != worker.tasks.end() && at->value.starts_with("service/"); ++at)
            view.criticalMilliCores += state.tasks().at(*at).size.milliCores;
        m_totalFree += positivePart(view.free);
        m_workers.push_back(view);
    }
    for (const auto &[team, usage] : state.teamUsage())
        m_usage.emplace(team, usage);
    for (const auto &[team, config] : state.configuration().document().teams) {
        const auto used = m_usage.find(team);
        m_reservedForTeams +=
            positivePart(config.reserved - (used == m_usage.end() ? Resources() : used->second));
    }
}

bool ClusterView::isFeasible(const WorkerView &view, const Task &task, const Resources &size) const
{
    if (!size.fitsWithin(view.free))
        return false;
    if (task.kind != TaskKind::Batch)
        return true;
    const Worker &worker = *view.worker;
    // After a quarantine, one task at a time probes whether the worker has recovered.
    const bool probes = worker.probation && (!worker.tasks.empty() || view.startedOnProbation);
    return worker.quarantinedUntil <= m_now && !probes && !task.failedOn.contains(worker.id);
}

bool ClusterView::hasQuota(const Task &task, const Resources &size) const
{
    const auto &teams = m_state.configuration().document().teams;
    const auto team = teams.find(task.team);
    if (team == teams.end())
        return false;
    const auto used = m_usage.find(task.team);
    const Resources usage = used == m_usage.end() ? Resources() : used->second;
    if (!(usage + size).fitsWithin(team->second.quota))
        return false;
    if (task.kind != TaskKind::Batch)
        return true;
    // The unused part of other teams' reserved shares is not available to this team's batch tasks.
    const Resources own = positivePart(team->second.reserved - usage);
    return (m_reservedForTeams - own + size).fitsWithin(m_totalFree);
}

void ClusterView::allocate(WorkerView &view, const Task &task, const Resources &size)
{
    view.free -= size;
    if (task.kind == TaskKind::LatencyCritical)
        view.criticalMilliCores += size.milliCores;
    view.startedOnProbation = view.startedOnProbation || view.worker->probation;
    m_totalFree -= size;
    m_usage[task.team] += size;
}

WorkerView *ClusterView::find(const WorkerId &id)
{
    const auto found = std::lower_bound(
        m_workers.begin(), m_workers.end(), id,
        [](const WorkerView &view, const WorkerId &wanted) { return view.worker->id < wanted; });
    return found == m_workers.end() || found->worker->id != id ? nullptr : &*found;
}

} // namespace guavashift
