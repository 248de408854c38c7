#include <Guavashift/Http/RequestBudget.h>

#include <algorithm>

namespace guavashift {

namespace {

/// A request's own structures, besides its headers and body.
constexpr std::size_t requestOverheadBytes = 1024;
/// Time between two searches for bodies that take too long.
constexpr Duration slowCheckInterval = std::chrono::milliseconds(500);
/// By how much the expected answer shrinks with each smaller one.
constexpr std::size_t answerDecay = 16;

} // namespace

std::string_view nameOf(CutReason reason)
{
    switch (reason) {
    case CutReason::TooLarge:
        return "too-large";
    case CutReason::Memory:
        return "memory";
    case CutReason::Connections:
        return "connections";
    case CutReason::Slow:
        return "slow";
    }
    return "";
}

RequestBudget::RequestBudget(const RequestBudgetSettings &settings)
    : m_settings(settings)
{
}

void RequestBudget::opened(ConnectionId id, Instant now)
{
    Connection connection;
    connection.since = connection.lastProgress = now;
    m_connections[id] = connection;
}

void RequestBudget::closed(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return;
    hold(found->second, 0);
    if (found->second.cut)
        --m_cutConnections;
    m_connections.erase(found);
}

void RequestBudget::hold(Connection &connection, std::size_t bytes)
{
    std::size_t &sum = connection.cut ? m_cutBytes : m_heldBytes;
    sum = sum - connection.bytes + bytes;
    connection.bytes = bytes;
}

void RequestBudget::enter(Connection &connection, Phase phase, std::size_t bytes, Instant now)
{
    if (connection.phase != phase)
        connection.since = now;
    connection.phase = phase;
    connection.lastProgress = now;
    hold(connection, bytes);
}

void RequestBudget::received(ConnectionId id, std::size_t bytes, Instant now)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        enter(found->second, Phase::Receiving, bytes + requestOverheadBytes, now);
}

bool RequestBudget::handle(ConnectionId id, Instant now)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end())
        return false;
    Connection &own = found->second;
    if (own.cut)
        return false;
    const std::size_t wanted = own.bytes + m_expectedAnswerBytes;
    const std::size_t others = m_heldBytes - own.bytes + m_cutBytes;
    if (others > 0 && others + wanted > m_settings.bytes) {
        const std::size_t cuttable = cuttableBytes(id);
        if (others > cuttable && others - cuttable + wanted > m_settings.bytes)
            return false;
    }
    enter(own, Phase::Handling, wanted, now);
    return true;
}

std::size_t RequestBudget::cuttableBytes(ConnectionId except) const
{
    std::size_t bytes = 0;
    for (const auto &[id, connection] : m_connections) {
        if (id != except && isCuttable(connection))
            bytes += connection.bytes;
    }
    return bytes;
}

bool RequestBudget::isCuttable(const Connection &connection)
{
    return !connection.cut
        && (connection.phase == Phase::Receiving || connection.phase == Phase::Answering);
}

void RequestBudget::answered(ConnectionId id, std::size_t bytes, Instant now)
{
    m_expectedAnswerBytes =
        std::max(bytes, m_expectedAnswerBytes - m_expectedAnswerBytes / answerDecay);
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        enter(found->second, Phase::Answering, bytes + requestOverheadBytes, now);
}

void RequestBudget::finished(ConnectionId id, Instant now)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        enter(found->second, Phase::Idle, 0, now);
}

void RequestBudget::released(ConnectionId id)
{
    const auto found = m_connections.find(id);
    if (found != m_connections.end())
        hold(found->second, 0);
}

std::optional<RequestBudget::Cut> RequestBudget::cut(ConnectionId id, CutReason reason)
{
    Connection &connection = m_connections.at(id);
    const std::size_t bytes = connection.bytes;
    hold(connection, 0);
    connection.cut = true;
    hold(connection, bytes);
    ++m_cutConnections;
    return Cut{id, reason, connection.phase == Phase::Receiving};
}

std::optional<RequestBudget::ConnectionId> RequestBudget::slowest(Instant now) const
{
    for (const auto &[id, connection] : m_connections) {
        if (!connection.cut && connection.phase == Phase::Receiving
            && now - connection.since > m_settings.bodyTimeout)
            return id;
    }
    return std::nullopt;
}

std::optional<RequestBudget::ConnectionId> RequestBudget::stalledHolder(Instant now) const
{
    std::optional<ConnectionId> found;
    double highest = 0;
    for (const auto &[id, connection] : m_connections) {
        if (!isCuttable(connection))
            continue;
        // One millisecond more, so that among those that all make progress the largest goes.
        const Duration still = now - connection.lastProgress + std::chrono::milliseconds(1);
        const double weight =
            static_cast<double>(connection.bytes) * static_cast<double>(still.count());
        if (weight > highest) {
            highest = weight;
            found = id;
        }
    }
    return found;
}

std::optional<RequestBudget::ConnectionId> RequestBudget::longestStill(Instant now) const
{
    std::optional<ConnectionId> found;
    Duration longest = Duration::zero();
    for (const auto &[id, connection] : m_connections) {
        // A handled request may have run, so its caller must get the answer.
        if (!connection.cut && connection.phase != Phase::Handling
            && now - connection.lastProgress > longest) {
            longest = now - connection.lastProgress;
            found = id;
        }
    }
    return found;
}

std::optional<RequestBudget::Cut> RequestBudget::nextCut(Instant now)
{
    if (now >= m_nextSlowCheck) {
        if (const auto found = slowest(now))
            return cut(*found, CutReason::Slow);
        m_nextSlowCheck = now + slowCheckInterval;
    }
    if (m_heldBytes > m_settings.bytes) {
        // A request that is alone is served although it is larger.
        const auto found = stalledHolder(now);
        if (found && m_heldBytes > m_connections.at(*found).bytes)
            return cut(*found, CutReason::Memory);
    }
    if (m_connections.size() - m_cutConnections > m_settings.connections) {
        if (const auto found = longestStill(now))
            return cut(*found, CutReason::Connections);
    }
    return std::nullopt;
}

} // namespace guavashift
