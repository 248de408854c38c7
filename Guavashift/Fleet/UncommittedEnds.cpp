#include <Guavashift/Fleet/UncommittedEnds.h>

namespace guavashift {

namespace {

constexpr std::size_t maxEndsPerMessage = 500;
constexpr std::size_t maxLifetimes = 8;

} // namespace

void UncommittedEnds::add(const Lifetime &lifetime, const ListedEnd &end)
{
    const auto [position, added] = m_lifetimes.try_emplace(lifetime);
    if (added)
        position->second.order = ++m_lastOrder;
    position->second.ends.try_emplace(end.number, end);
    if (m_lifetimes.size() <= maxLifetimes)
        return;
    const auto earliest = std::min_element(
        m_lifetimes.begin(), m_lifetimes.end(),
        [](const auto &left, const auto &right) { return left.second.order < right.second.order; });
    logEvent(LogLevel::Warning, "ends-forgotten",
             {{"worker", earliest->first.worker},
              {"born", earliest->first.startedAt},
              {"ends", earliest->second.ends.size()}});
    m_lifetimes.erase(earliest);
}

void UncommittedEnds::committed(const Lifetime &lifetime, std::uint64_t upTo)
{
    const auto found = m_lifetimes.find(lifetime);
    if (found == m_lifetimes.end())
        return;
    auto &ends = found->second.ends;
    ends.erase(ends.begin(), ends.upper_bound(upTo));
    if (ends.empty())
        m_lifetimes.erase(found);
}

std::vector<RunsEnded> UncommittedEnds::messages() const
{
    std::vector<RunsEnded> messages;
    for (const auto &[lifetime, kept] : m_lifetimes) {
        messages.push_back({lifetime, {}});
        for (const auto &[number, end] : kept.ends) {
            if (messages.back().ends.size() == maxEndsPerMessage)
                messages.push_back({lifetime, {}});
            messages.back().ends.push_back(end);
        }
    }
    return messages;
}

} // namespace guavashift
