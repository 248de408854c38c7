#pragma once

#include <Guavashift/Dispatch/WorkerPool.h>

namespace guavashift {

struct EvacuationGuardSettings
{
    /// Time after the acknowledgement of an evacuation from which nothing may start in the failure
    /// domain; limit of the deployment.
    Duration limit = std::chrono::seconds(5);
    /// A list that came so long after the order of a start names its run, if that was carried out:
    /// longer than an agent waits for the answer to a start. At most a quarter of the limit counts.
    Duration listDelay = std::chrono::seconds(1);
};

/// Which workers may start nothing because their failure domain is evacuated, and which starts that
/// were ordered before must be stopped.
class EvacuationGuard final
{
public:
    EvacuationGuard(const EvacuationGuardSettings &settings, const EvacuatedDomains &domains);

    /// Whether any domain is evacuated.
    [[nodiscard]] bool isActive() const { return !m_domains.names().empty(); }
    [[nodiscard]] bool excludes(const PoolWorker &worker) const;
    /// Whether a run on the worker was ordered and has not begun, so that it must not any more. One
    /// that has begun goes on.
    [[nodiscard]] bool mustStop(const PoolWorker &worker, const PlacedRun &run) const;

private:
    EvacuationGuardSettings m_settings;
    const EvacuatedDomains &m_domains;
};

} // namespace guavashift
