#include <Guavashift/Dispatch/JobProgress.h>

namespace guavashift {

void JobProgress::bound(const std::string &job, const std::string &queue)
{
    if (m_jobs.try_emplace(job, Entry{queue}).second)
        ++m_onlyBound[queue];
}

void JobProgress::begun(const std::string &job)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end() || found->second.hasBegun)
        return;
    found->second.hasBegun = true;
    --m_onlyBound[found->second.queue];
}

void JobProgress::ended(const std::string &job)
{
    begun(job);
    m_jobs.erase(job);
}

void JobProgress::clear()
{
    m_jobs.clear();
    m_onlyBound.clear();
}

bool JobProgress::isOnlyBound(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found != m_jobs.end() && !found->second.hasBegun;
}

std::size_t JobProgress::onlyBoundIn(std::string_view queue) const
{
    const auto found = m_onlyBound.find(queue);
    return found == m_onlyBound.end() ? 0 : found->second;
}

} // namespace guavashift
