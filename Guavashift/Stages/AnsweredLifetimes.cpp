#include <Guavashift/Stages/AnsweredLifetimes.h>

namespace guavashift {

void AnsweredLifetimes::bound(const Lifetime &lifetime, const StartPath &path)
{
    const auto [position, added] = m_entries.try_emplace(lifetime);
    Entry &entry = position->second;
    ++entry.boundRuns;
    if (added)
        entry.node = path.node;
    else if (entry.node != path.node)
        entry.node.clear();
    // Until the agent has listed what runs there, its starts may reach other lifetimes as well.
    if (!path.hasAnswered)
        entry.order = 0;
    else if (entry.order == 0)
        entry.order = ++m_lastOrder;
}

void AnsweredLifetimes::released(const Lifetime &lifetime)
{
    const auto found = m_entries.find(lifetime);
    if (found != m_entries.end() && --found->second.boundRuns == 0)
        m_entries.erase(found);
}

void AnsweredLifetimes::restore(const Lifetime &lifetime, std::string node, std::uint64_t order)
{
    const auto found = m_entries.find(lifetime);
    if (found == m_entries.end())
        return;
    found->second.node = std::move(node);
    found->second.order = order;
}

} // namespace guavashift
