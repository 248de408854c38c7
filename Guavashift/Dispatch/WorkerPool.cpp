#include <Guavashift/Dispatch/WorkerPool.h>

#include <limits>

namespace guavashift {

namespace {

Resources reservation(Resources size, bool bestEffort)
{
    if (bestEffort)
        size.milliCores = 0;
    return size;
}

Resources reservationOf(const PlacedRun &run)
{
    return reservation(run.size, run.bestEffort);
}

} // namespace

Resources reservationOf(const StepPlan &step)
{
    return reservation(step.size, step.bestEffort);
}

double PoolWorker::shareOfProcessors(double milliCores) const
{
    const auto capacity = static_cast<double>(facts.capacity.milliCores);
    return capacity > 0 ? milliCores / capacity : 0;
}

BestEffortActivity PoolWorker::bestEffortDemand() const
{
    BestEffortActivity demand;
    for (const auto &[task, run] : runs) {
        if (run.bestEffort)
            demand[run.image] += shareOfProcessors(static_cast<double>(run.size.milliCores));
    }
    return demand;
}

PoolWorker *WorkerPool::find(const Lifetime &lifetime)
{
    const auto found = m_workers.find(lifetime);
    return found == m_workers.end() ? nullptr : &found->second;
}

PoolWorker &WorkerPool::add(const Lifetime &lifetime)
{
    PoolWorker &worker = m_workers[lifetime];
    worker.facts.lifetime = lifetime;
    return worker;
}

void WorkerPool::clear()
{
    m_workers.clear();
    m_byNode.clear();
}

void WorkerPool::setNode(PoolWorker &worker, const std::string &node)
{
    const Lifetime &lifetime = worker.facts.lifetime;
    if (const auto before = m_byNode.find(worker.node); before != m_byNode.end()) {
        before->second.erase(lifetime);
        if (before->second.empty())
            m_byNode.erase(before);
    }
    worker.node = node;
    if (!node.empty())
        m_byNode[node].insert(lifetime);
}

std::vector<Lifetime> WorkerPool::lifetimesReportedBy(const std::string &node) const
{
    const auto found = m_byNode.find(node);
    if (found == m_byNode.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

std::vector<Lifetime> WorkerPool::lifetimesOf(const std::string &worker) const
{
    std::vector<Lifetime> lifetimes;
    const Lifetime first{worker, std::numeric_limits<std::int64_t>::min()};
    for (auto at = m_workers.lower_bound(first);
         at != m_workers.end() && at->first.worker == worker; ++at)
        lifetimes.push_back(at->first);
    return lifetimes;
}

void WorkerPool::removeIfIdle(const Lifetime &lifetime)
{
    const auto found = m_workers.find(lifetime);
    if (found == m_workers.end() || !found->second.runs.empty())
        return;
    setNode(found->second, {});
    m_workers.erase(found);
}

void WorkerPool::place(const Lifetime &lifetime, PlacedRun run)
{
    PoolWorker &worker = add(lifetime);
    worker.spareVersion = 0;
    worker.reserved += reservationOf(run);
    if (run.bestEffort)
        worker.bestEffortMilliCores += run.size.milliCores;
    if (run.latencyCritical)
        worker.latencyCriticalMilliCores += run.size.milliCores;
    if (run.longRunning)
        worker.longRunning += reservationOf(run);
    const TaskRef task = run.task;
    const bool added = worker.runs.emplace(task, std::move(run)).second;
    GUAVASHIFT_CHECK(added);
}

void WorkerPool::release(const Lifetime &lifetime, const TaskRef &task)
{
    PoolWorker *worker = find(lifetime);
    if (worker == nullptr)
        return;
    const auto found = worker->runs.find(task);
    if (found == worker->runs.end())
        return;
    const PlacedRun &run = found->second;
    worker->spareVersion = 0;
    worker->reserved -= reservationOf(run);
    if (run.bestEffort)
        worker->bestEffortMilliCores -= run.size.milliCores;
    if (run.latencyCritical)
        worker->latencyCriticalMilliCores -= run.size.milliCores;
    if (run.longRunning)
        worker->longRunning -= reservationOf(run);
    worker->runs.erase(found);
}

} // namespace guavashift
