#include <Guavashift/Stages/QueueTable.h>

#include <algorithm>
#include <set>

namespace guavashift {

QueueTable::QueueTable(std::uint64_t version, std::vector<QueueSettings> queues,
                       std::map<std::string, PoolSettings> pools, const CallerLimits &callerLimits)
    : m_version(version)
    , m_queues(std::move(queues))
    , m_pools(std::move(pools))
    , m_callerLimits(callerLimits)
{
    for (std::size_t i = 0; i < m_queues.size(); ++i) {
        m_byName.emplace(m_queues[i].name, i);
        m_byHost[m_queues[i].host].push_back(i);
    }
    for (auto &[host, positions] : m_byHost) {
        std::stable_sort(
            positions.begin(), positions.end(), [this](std::size_t left, std::size_t right) {
                return m_queues[left].pathPrefix.size() > m_queues[right].pathPrefix.size();
            });
    }
}

std::optional<QueueMatch> QueueTable::match(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(host);
    if (found == m_byHost.end())
        return std::nullopt;
    for (const std::size_t position : found->second) {
        const QueueSettings &queue = m_queues[position];
        if (path.starts_with(queue.pathPrefix))
            return QueueMatch{&queue, path.substr(queue.pathPrefix.size())};
    }
    return std::nullopt;
}

const QueueSettings *QueueTable::find(std::string_view name) const
{
    const auto found = m_byName.find(name);
    return found == m_byName.end() ? nullptr : &m_queues[found->second];
}

Findings QueueTable::check() const
{
    Findings findings;
    std::set<std::pair<std::string, std::string>> places;
    for (std::size_t i = 0; i < m_queues.size(); ++i) {
        const QueueSettings &queue = m_queues[i];
        const std::string place = fmt::format("/queues/{}", i);
        if (!m_pools.contains(queue.service))
            findings.push_back({place, "unknown service " + queue.service});
        if (!places.emplace(queue.host, queue.pathPrefix).second)
            findings.push_back({place, "host and prefix are taken by another queue"});
        if (queue.timeoutMs <= 0)
            findings.push_back({place, "the timeout must be above 0"});
    }
    return findings;
}

} // namespace guavashift
