#include <Guavashift/Dispatch/ColdWorkers.h>

namespace guavashift {

ColdWorkers::ColdWorkers(const WarmUpSettings &settings)
    : m_warmUp(settings)
    , m_penalty(settings.penalty)
{
}

void ColdWorkers::update(const WorkerPool::Workers &workers, const EvacuatedDomains &domains,
                         Instant now, WallMs wallNow)
{
    if (!m_warmUp.isEnabled())
        return;
    m_warmth.clear();
    m_averageRuns.clear();
    std::map<std::string, std::pair<std::size_t, std::size_t>> warm; // Workers and their runs.
    for (const auto &[lifetime, worker] : workers) {
        if (!worker.hasFacts || worker.node.empty() || domains.contains(worker.facts.zone))
            continue;
        WarmUpState state;
        state.coldLeft = worker.coldUntil - now;
        state.coldInAll = worker.coldInAll;
        if (const auto returned = domains.returnedAt(worker.facts.zone))
            state.sinceReturn = std::chrono::milliseconds(wallNow - *returned);
        const double warmth = m_warmUp.warmth(state);
        if (warmth < 1) {
            m_warmth.emplace(lifetime, warmth);
        } else {
            auto &[count, runs] = warm[worker.facts.service];
            ++count;
            runs += worker.runs.size();
        }
    }
    for (const auto &[service, counts] : warm)
        m_averageRuns.emplace(
            service, static_cast<double>(counts.second) / static_cast<double>(counts.first));
}

bool ColdWorkers::mayStart(const PoolWorker &worker) const
{
    const auto found = m_warmth.find(worker.facts.lifetime);
    if (found == m_warmth.end())
        return true;
    const auto average = m_averageRuns.find(worker.facts.service);
    return m_warmUp.mayStart(found->second, worker.runs.size(),
                             average == m_averageRuns.end() ? std::nullopt
                                                            : std::optional(average->second));
}

double ColdWorkers::penaltyOf(const PoolWorker &worker) const
{
    const auto found = m_warmth.find(worker.facts.lifetime);
    return found == m_warmth.end() ? 0 : m_penalty * (1 - found->second);
}

} // namespace guavashift
