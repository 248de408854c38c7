#include <Guavashift/Placement/Placer.h>

#include <algorithm>
#include <tuple>

namespace guavashift {

namespace {

/// Weights in the cost of a candidate, relative to the growth of the squared slowdowns.
constexpr double interferenceWeight = 0.2;
constexpr double loadWeight = 0.01;

/// Candidates for a replica of a service; all workers in a small cluster.
constexpr std::size_t spreadCandidates = 64;

double usedShare(const WorkerView &view)
{
    const auto capacity =
        static_cast<double>(std::max<std::int64_t>(1, view.worker->facts.capacity.milliCores));
    return 1 - static_cast<double>(view.free.milliCores) / capacity;
}

/// Share of the processors allocated to latency-critical tasks after one more of `size`.
double criticalShare(const WorkerView &view, const Resources &size)
{
    return static_cast<double>(view.criticalMilliCores + size.milliCores)
        / static_cast<double>(std::max<std::int64_t>(1, view.worker->facts.capacity.milliCores));
}

} // namespace

Placer::Placer(const PlacementPolicy &policy, bool spreadsServices,
               InterferenceEstimator &interference, std::mt19937_64 &random)
    : m_policy(policy)
    , m_spreadsServices(spreadsServices)
    , m_interference(interference)
    , m_random(random)
{
}

WorkerView *Placer::choose(ClusterView &view, const Task &task, const Resources &size, bool mayWait)
{
    if (task.kind == TaskKind::LatencyCritical && m_spreadsServices)
        return spread(view, task, size);
    return std::visit(
        [&](const auto &policy) { return chooseBy(policy, view, task, size, mayWait); }, m_policy);
}

WorkerView *Placer::chooseBy(const FirstFit &, ClusterView &view, const Task &task,
                             const Resources &size, bool)
{
    for (WorkerView &worker : view.workers()) {
        if (view.isFeasible(worker, task, size))
            return &worker;
    }
    return nullptr;
}

WorkerView *Placer::chooseBy(const LeastLoaded &, ClusterView &view, const Task &task,
                             const Resources &size, bool)
{
    WorkerView *best = nullptr;
    for (WorkerView &worker : view.workers()) {
        if (view.isFeasible(worker, task, size)
            && (best == nullptr || usedShare(worker) < usedShare(*best)))
            best = &worker;
    }
    return best;
}

WorkerView *Placer::chooseBy(const RandomFeasible &, ClusterView &view, const Task &task,
                             const Resources &size, bool)
{
    const std::vector<WorkerView *> candidates = sample(view, task, size, 1);
    return candidates.empty() ? nullptr : candidates[m_random() % candidates.size()];
}

WorkerView *Placer::chooseBy(const InterferenceAware &policy, ClusterView &view, const Task &task,
                             const Resources &size, bool mayWait)
{
    const FamilyId family = m_interference.families().idOf(task.family);
    const double limit =
        view.state().configuration().document().policy.slowdownLimitPercent / 100.0;
    WorkerView *best = nullptr;
    double bestCost = 0;
    double bestSlowdown = 0;
    for (WorkerView *worker : sample(view, task, size, policy.candidates)) {
        const InterferenceEstimator::Forecast forecast =
            m_interference.forecast(worker->worker->id, family, policy.usesBound);
        double cost = forecast.addedSquares + interferenceWeight * forecast.addedInterference
            + loadWeight * usedShare(*worker);
        // Workers without latency-critical tasks are kept for batch tasks that interfere.
        if (policy.reservesBatchOnlyWorkers && !worker->hasLatencyCritical())
            cost += interferenceWeight * policy.negligibleInterference;
        if (best == nullptr || cost < bestCost) {
            best = worker;
            bestCost = cost;
            bestSlowdown = forecast.worstSlowdown;
        }
    }
    const bool exceedsLimit = best != nullptr && bestSlowdown > limit;
    if (exceedsLimit && mayWait && policy.waitsForBetter)
        return nullptr;
    return best;
}

std::vector<WorkerView *> Placer::sample(ClusterView &view, const Task &task, const Resources &size,
                                         std::size_t count)
{
    std::vector<WorkerView *> found;
    std::vector<WorkerView> &workers = view.workers();
    if (workers.empty())
        return found;
    // A few random tries usually find a worker; a full scan is the exception.
    const std::size_t tries = std::min(workers.size(), 4 * count);
    if (workers.size() > 2 * count) {
        for (std::size_t i = 0; i < tries && found.size() < count; ++i) {
            WorkerView &worker = workers[m_random() % workers.size()];
            if (view.isFeasible(worker, task, size))
                found.push_back(&worker);
        }
        if (!found.empty())
            return found;
    }
    for (WorkerView &worker : workers) {
        if (view.isFeasible(worker, task, size))
            found.push_back(&worker);
    }
    return found;
}

WorkerView *Placer::spread(ClusterView &view, const Task &task, const Resources &size)
{
    SpreadCounts &counts = spreadCountsOf(view, task.service);
    // Fewest neighbours of the same service first. Then share workers with other services, but only
    // up to a density that leaves headroom for the daily peak. Other workers stay free for batch
    // tasks that interfere.
    const auto *aware = std::get_if<InterferenceAware>(&m_policy);
    const double densityLimit = aware == nullptr ? 0 : aware->densityLimit;
    WorkerView *best = nullptr;
    std::tuple<int, int, int, bool, double, double> bestCost;
    for (WorkerView *candidate : sample(view, task, size, spreadCandidates)) {
        WorkerView &worker = *candidate;
        const double share = criticalShare(worker, size);
        const bool dense = share > densityLimit;
        const std::tuple cost(counts.onWorker[worker.worker->id],
                              counts.inDomain[worker.worker->facts.failureDomain],
                              counts.inRack[worker.worker->facts.rack], dense,
                              dense ? share : -share, usedShare(worker));
        if (best == nullptr || cost < bestCost) {
            best = &worker;
            bestCost = cost;
        }
    }
    if (best != nullptr)
        counts.add(*best->worker);
    return best;
}

Placer::SpreadCounts &Placer::spreadCountsOf(ClusterView &view, const ServiceId &service)
{
    if (m_spreadRound != view.now()) {
        m_spreadCounts.clear();
        m_spreadRound = view.now();
    }
    const auto [position, added] = m_spreadCounts.try_emplace(service);
    if (!added)
        return position->second;
    const std::string prefix = "service/" + service.value + "/";
    const auto &tasks = view.state().tasks();
    for (auto at = tasks.lower_bound(TaskId{prefix});
         at != tasks.end() && at->first.value.starts_with(prefix); ++at) {
        if (const WorkerView *worker = view.find(at->second.worker))
            position->second.add(*worker->worker);
    }
    return position->second;
}

} // namespace guavashift
