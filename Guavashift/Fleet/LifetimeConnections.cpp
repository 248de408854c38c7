#include <Guavashift/Fleet/LifetimeConnections.h>

namespace guavashift {

namespace {

/// Connections that are remembered. Of more than these, the client keeps none open.
constexpr std::size_t maxConnections = 64;
/// Connections in a row that are closed right after an answer.
constexpr int maxClosedInARow = 10;

} // namespace

void LifetimeConnections::answered(WorkerConnection connection)
{
    m_isIdentified = true;
    if (connection == 0)
        return;
    if (std::find(m_answered.begin(), m_answered.end(), connection) != m_answered.end()) {
        m_staysOpen = true;
        m_isKnownToStayOpen = true;
        m_closedInARow = 0;
        return;
    }
    m_answered.push_back(connection);
    if (m_answered.size() > maxConnections)
        m_answered.pop_front();
}

void LifetimeConnections::callNotSent()
{
    if (std::exchange(m_isIdentified, false) && ++m_closedInARow >= maxClosedInARow)
        m_staysOpen = m_isKnownToStayOpen = false;
}

void LifetimeConnections::callSent()
{
    m_isIdentified = false;
    m_closedInARow = 0;
}

WorkerConnections LifetimeConnections::allowed() const
{
    if (!m_staysOpen)
        return std::nullopt;
    return std::vector<WorkerConnection>(m_answered.begin(), m_answered.end());
}

} // namespace guavashift
