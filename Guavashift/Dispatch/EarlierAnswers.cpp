#include <Guavashift/Dispatch/EarlierAnswers.h>

#include <limits>

namespace guavashift {

std::vector<Lifetime> EarlierAnswers::endedBy(const std::string &node,
                                              const Lifetime &present) const
{
    // One without bound runs, as a worker that has just begun, answered after this leader began.
    std::uint64_t before = std::numeric_limits<std::uint64_t>::max();
    if (const auto own = m_entries.find(present); own != m_entries.end()) {
        if (!own->second.isUsable() || own->second.node != node)
            return {};
        before = own->second.order;
    }
    std::vector<Lifetime> ended;
    for (const auto &[lifetime, entry] : m_entries) {
        if (lifetime.worker != present.worker && entry.isUsable() && entry.node == node
            && entry.order < before)
            ended.push_back(lifetime);
    }
    return ended;
}

} // namespace guavashift
