#include <Guavashift/Fleet/LifetimeConnections.h>

namespace guavashift {

namespace {

/// Connections that are remembered. Of more than these, the client keeps none open.
constexpr std::size_t maxConnections = 64;
/// Polls in a row that find no open connection although the worker answers others.
constexpr int maxPollsNotSent = 10;

} // namespace

void LifetimeConnections::answered(WorkerConnection connection)
{
    if (connection == 0
        || std::find(m_answered.begin(), m_answered.end(), connection) != m_answered.end())
        return;
    m_answered.push_back(connection);
    if (m_answered.size() > maxConnections)
        m_answered.pop_front();
}

void LifetimeConnections::pollNotSent()
{
    if (++m_pollsNotSent >= maxPollsNotSent)
        m_staysOpen = false;
}

WorkerConnections LifetimeConnections::allowed() const
{
    if (!m_staysOpen)
        return std::nullopt;
    return std::vector<WorkerConnection>(m_answered.begin(), m_answered.end());
}

} // namespace guavashift
