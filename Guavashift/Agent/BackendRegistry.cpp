#include <Guavashift/Agent/BackendRegistry.h>

namespace guavashift {

BackendRegistry::BackendRegistry(Duration lease)
    : m_lease(lease)
{
}

bool BackendRegistry::announce(const BackendAnnouncement &announcement, Instant now)
{
    const auto [position, added] = m_registrations.try_emplace(announcement.task);
    Registration &known = position->second;
    const BackendAnnouncement &old = known.announcement;
    const bool changed = added || old.service != announcement.service
        || old.address != announcement.address || old.slots != announcement.slots
        || old.leaving != announcement.leaving;
    known = {announcement, now + m_lease};
    return changed;
}

bool BackendRegistry::expire(Instant now)
{
    return std::erase_if(m_registrations,
                         [&](const auto &item) { return now >= item.second.expiry; })
        > 0;
}

std::vector<BackendServer> BackendRegistry::servers(bool allLeaving) const
{
    std::vector<BackendServer> servers;
    for (const auto &[task, known] : m_registrations) {
        const BackendAnnouncement &announcement = known.announcement;
        servers.push_back(
            {announcement.service, task, announcement.slots, allLeaving || announcement.leaving});
    }
    return servers;
}

std::optional<std::string> BackendRegistry::addressOf(const TaskId &task) const
{
    const auto found = m_registrations.find(task);
    if (found == m_registrations.end())
        return std::nullopt;
    return found->second.announcement.address;
}

} // namespace guavashift
