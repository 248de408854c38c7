#include <Guavashift/Stages/EarlyCancels.h>

namespace guavashift {

EarlyCancels::EarlyCancels(std::size_t most)
    : m_most(most)
{
}

void EarlyCancels::record(const std::string &job, WallMs time)
{
    take(job);
    m_times.emplace(job, time);
    m_byTime.emplace(time, job);
    if (m_times.size() > m_most)
        removeOldest();
}

bool EarlyCancels::take(std::string_view job)
{
    const auto found = m_times.find(job);
    if (found == m_times.end())
        return false;
    m_byTime.erase({found->second, found->first});
    m_times.erase(found);
    return true;
}

void EarlyCancels::removeBefore(WallMs time)
{
    while (!m_byTime.empty() && m_byTime.begin()->first < time)
        removeOldest();
}

void EarlyCancels::removeOldest()
{
    m_times.erase(m_byTime.begin()->second);
    m_byTime.erase(m_byTime.begin());
}

} // namespace guavashift
