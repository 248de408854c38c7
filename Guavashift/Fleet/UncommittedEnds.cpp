#include <Guavashift/Fleet/UncommittedEnds.h>

namespace guavashift {

namespace {

constexpr std::size_t maxEndsPerMessage = 500;
constexpr std::size_t maxLifetimes = 8;

} // namespace

void UncommittedEnds::add(const Lifetime &lifetime, const ListedEnd &end)
{
    m_ends[lifetime].try_emplace(end.number, end);
    if (m_ends.size() <= maxLifetimes)
        return;
    const auto earliest =
        std::min_element(m_ends.begin(), m_ends.end(), [](const auto &left, const auto &right) {
            return left.first.startedAt < right.first.startedAt;
        });
    logEvent(LogLevel::Warning, "ends-forgotten",
             {{"worker", earliest->first.worker},
              {"born", earliest->first.startedAt},
              {"ends", earliest->second.size()}});
    m_ends.erase(earliest);
}

void UncommittedEnds::committed(const Lifetime &lifetime, std::uint64_t upTo)
{
    const auto found = m_ends.find(lifetime);
    if (found == m_ends.end())
        return;
    found->second.erase(found->second.begin(), found->second.upper_bound(upTo));
    if (found->second.empty())
        m_ends.erase(found);
}

std::vector<RunsEnded> UncommittedEnds::messages() const
{
    std::vector<RunsEnded> messages;
    for (const auto &[lifetime, ends] : m_ends) {
        messages.push_back({lifetime, {}});
        for (const auto &[number, end] : ends) {
            if (messages.back().ends.size() == maxEndsPerMessage)
                messages.push_back({lifetime, {}});
            messages.back().ends.push_back(end);
        }
    }
    return messages;
}

} // namespace guavashift
