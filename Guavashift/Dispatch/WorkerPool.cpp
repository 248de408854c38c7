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

} // namespace

Resources reservationOf(const PlacedRun &run)
{
    return reservation(run.size, run.bestEffort);
}

Resources reservationOf(const StepPlan &step)
{
    return reservation(step.size, step.bestEffort);
}

std::uint32_t countThatFit(const Resources &room, const Resources &size, std::uint32_t most)
{
    std::int64_t count = most;
    for (const auto part : {&Resources::milliCores, &Resources::memoryMb, &Resources::accelerators})
        if (size.*part > 0)
            count = std::min(count, room.*part / size.*part);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(count, 0));
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

bool PoolWorker::takesRunsOf(std::string_view service) const
{
    return hasFacts && !node.empty() && !unreachable && !facts.draining && facts.service == service;
}

void PoolWorker::clearUnbound()
{
    unboundRuns.clear();
    unboundReserved = {};
    runsUnknown = false;
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
    m_byLastNode.clear();
}

void WorkerPool::move(NodeIndex &index, const Lifetime &lifetime, const std::string &from,
                      const std::string &to)
{
    if (const auto before = index.find(from); before != index.end()) {
        before->second.erase(lifetime);
        if (before->second.empty())
            index.erase(before);
    }
    if (!to.empty())
        index[to].insert(lifetime);
}

void WorkerPool::setNode(PoolWorker &worker, const std::string &node)
{
    if (worker.node == node)
        return;
    for (auto &[task, run] : worker.runs)
        run.ordered = false;
    worker.startsReachOnlyIt = false;
    move(m_byNode, worker.facts.lifetime, worker.node, node);
    worker.node = node;
    if (node.empty())
        return;
    move(m_byLastNode, worker.facts.lifetime, worker.lastNode, node);
    worker.lastNode = node;
}

std::vector<Lifetime> WorkerPool::lifetimesIn(const NodeIndex &index, const std::string &node)
{
    const auto found = index.find(node);
    if (found == index.end())
        return {};
    return {found->second.begin(), found->second.end()};
}

std::vector<Lifetime> WorkerPool::lifetimesReportedBy(const std::string &node) const
{
    return lifetimesIn(m_byNode, node);
}

std::vector<Lifetime> WorkerPool::lifetimesLastReportedBy(const std::string &node) const
{
    return lifetimesIn(m_byLastNode, node);
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

ServiceUse WorkerPool::useOf(std::string_view service) const
{
    ServiceUse use;
    for (const auto &[lifetime, worker] : m_workers) {
        if (!worker.takesRunsOf(service))
            continue;
        use.capacity += worker.facts.capacity.milliCores;
        use.reserved += worker.reserved.milliCores;
        use.bestEffort += worker.bestEffortMilliCores;
    }
    return use;
}

void WorkerPool::removeIfIdle(const Lifetime &lifetime)
{
    const auto found = m_workers.find(lifetime);
    if (found == m_workers.end() || !found->second.runs.empty())
        return;
    setNode(found->second, {});
    move(m_byLastNode, lifetime, found->second.lastNode, {});
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
