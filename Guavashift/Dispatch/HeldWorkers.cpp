#include <Guavashift/Dispatch/HeldWorkers.h>

namespace guavashift {

HeldWorkers::HeldWorkers(const WorkerPool::Workers &workers, double maxShare)
    : m_workers(workers)
    , m_maxShare(maxShare)
{
}

bool HeldWorkers::mayHold(const std::string &service)
{
    const auto [left, added] = m_left.try_emplace(service);
    if (added) {
        const auto count = std::count_if(m_workers.begin(), m_workers.end(), [&](const auto &each) {
            const PoolWorker &worker = each.second;
            return worker.hasFacts && !worker.node.empty() && worker.facts.service == service;
        });
        left->second = std::max(static_cast<std::size_t>(m_maxShare * static_cast<double>(count)),
                                std::size_t{1});
    }
    return left->second > 0;
}

void HeldWorkers::hold(const PoolWorker &worker, const Resources &size)
{
    GUAVASHIFT_CHECK(mayHold(worker.facts.service));
    --m_left.at(worker.facts.service);
    m_sizes.emplace(&worker, size);
}

bool HeldWorkers::contains(const PoolWorker &worker) const
{
    return m_sizes.contains(&worker);
}

bool HeldWorkers::allows(const PoolWorker &worker, const StepPlan &step) const
{
    const auto held = m_sizes.find(&worker);
    if (held == m_sizes.end())
        return true;
    if (!step.bestEffort)
        return false;
    const Resources left = worker.available() - step.size;
    const Resources &needed = held->second;
    // A best-effort task reserves no processors.
    return (step.size.memoryMb == 0 || left.memoryMb >= needed.memoryMb)
        && (step.size.accelerators == 0 || left.accelerators >= needed.accelerators);
}

} // namespace guavashift
