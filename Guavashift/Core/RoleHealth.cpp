#include <Guavashift/Core/RoleHealth.h>

namespace guavashift {

void RoleHealth::add(const std::string &role, Probe probe)
{
    const std::lock_guard lock(m_mutex);
    m_probes[role] = std::move(probe);
}

void RoleHealth::remove(const std::string &role)
{
    const std::lock_guard lock(m_mutex);
    m_probes.erase(role);
}

Findings RoleHealth::problems() const
{
    const std::lock_guard lock(m_mutex);
    Findings findings;
    for (const auto &[role, probe] : m_probes) {
        if (std::optional<std::string> problem = probe())
            findings.push_back({role, std::move(*problem)});
    }
    return findings;
}

} // namespace guavashift
