#include <Guavashift/Scheduling/ReturningJobs.h>

namespace guavashift {

ReturningJobs::ReturningJobs(std::size_t most, Duration kept)
    : m_most(most)
    , m_kept(kept)
{
}

void ReturningJobs::refused(const std::string &job, Instant now)
{
    if (m_refused.try_emplace(job, now).second)
        m_order.emplace_back(now, job);
    while (!m_order.empty() && (m_order.size() > m_most || now - m_order.front().first > m_kept)) {
        // A job that was forgotten and refused again has a later entry of its own.
        const auto found = m_refused.find(m_order.front().second);
        if (found != m_refused.end() && found->second == m_order.front().first)
            m_refused.erase(found);
        m_order.pop_front();
    }
}

void ReturningJobs::forget(std::string_view job)
{
    if (const auto found = m_refused.find(job); found != m_refused.end())
        m_refused.erase(found);
}

void ReturningJobs::clear()
{
    m_refused.clear();
    m_order.clear();
}

} // namespace guavashift
