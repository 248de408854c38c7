#include <Guavashift/Control/LeaseTable.h>

#include <algorithm>

namespace guavashift {

LeaseTable::LeaseTable(const LeaseSettings &settings)
    : m_settings(settings)
{
}

void LeaseTable::start(Instant now)
{
    m_leaderSince = now;
    m_granted.clear();
}

void LeaseTable::recordGrant(const WorkerId &worker, Instant now)
{
    m_granted[worker] = now;
}

bool LeaseTable::isExpired(const WorkerId &worker, Instant now) const
{
    // The old leader may have granted leases until its leader lease expired.
    Instant lastGrant = m_leaderSince + m_settings.leaderLease;
    if (const auto found = m_granted.find(worker); found != m_granted.end())
        lastGrant = std::max(lastGrant, found->second);
    return now >= lastGrant + m_settings.workerLease + m_settings.margin;
}

} // namespace guavashift
