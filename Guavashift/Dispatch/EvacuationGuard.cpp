#include <Guavashift/Dispatch/EvacuationGuard.h>

namespace guavashift {

EvacuationGuard::EvacuationGuard(const EvacuationGuardSettings &settings,
                                 const EvacuatedDomains &domains)
    : m_settings(settings)
    , m_domains(domains)
{
}

bool EvacuationGuard::excludes(const PoolWorker &worker) const
{
    return m_domains.contains(worker.facts.zone);
}

bool EvacuationGuard::mustStop(const PoolWorker &worker, const PlacedRun &run) const
{
    // The stop needs a session of the worker's agent. The next one begins with a list of all runs,
    // after which no start from before can arrive.
    if (!excludes(worker) || worker.node.empty() || worker.unreachable)
        return false;
    if (!run.committed || run.listed || run.stopRequested)
        return false;
    // Agents send lists also while their worker does not answer. Without one, no stop could reach
    // the agent either.
    return worker.activityAt - run.boundAt >= std::min(m_settings.listDelay, m_settings.limit / 4);
}

} // namespace guavashift
