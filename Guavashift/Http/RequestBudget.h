#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>
#include <string_view>
#include <unordered_map>

namespace guavashift {

struct RequestBudgetSettings
{
    /// Memory for all requests that are not answered, and for answers that are not taken.
    std::size_t bytes = 0;
    std::size_t connections = 0;
    /// Longest time from a request's headers to the end of its body.
    Duration bodyTimeout = std::chrono::seconds(30);
};

/// Why a connection is closed or a request refused.
enum class CutReason {
    TooLarge,    ///< The body is longer than one may be.
    Memory,      ///< All requests together hold too much.
    Connections, ///< Too many are open.
    Slow,        ///< The body took too long.
};

/// Name of the reason in logs and metrics.
std::string_view nameOf(CutReason reason);

/// Account of what the connections of a server hold, and the decision which of them to cut. Time
/// and sizes are passed in. Connections are cut by how long they have made no progress and how much
/// they hold, so a new small request stays when those that wait for nothing go.
class RequestBudget final
{
public:
    using ConnectionId = std::uintptr_t;

    struct Cut
    {
        ConnectionId connection = 0;
        CutReason reason = CutReason::Memory;
        bool receiving = false; ///< Its request is not read completely, so nothing of it has run.
    };

    explicit RequestBudget(const RequestBudgetSettings &settings);

    void opened(ConnectionId id, Instant now);
    void closed(ConnectionId id);
    /// The request holds `bytes` now, and more of it has arrived.
    void received(ConnectionId id, std::size_t bytes, Instant now);
    /// The request is read and would be handled. It is counted with the answer that is to be
    /// expected. False if there is no room for that even without all that can be cut: then it must
    /// be refused. A request that is alone always has room.
    [[nodiscard]] bool handle(ConnectionId id, Instant now);
    /// The request has its answer, which takes `bytes` until the client has read it.
    void answered(ConnectionId id, std::size_t bytes, Instant now);
    /// The answer is written, or the request was refused: the connection holds nothing.
    void finished(ConnectionId id, Instant now);
    /// A cut connection has given back its memory, before it is closed.
    void released(ConnectionId id);

    /// The next connection that must be cut, and counts as cut from now on.
    [[nodiscard]] std::optional<Cut> nextCut(Instant now);

    [[nodiscard]] std::size_t heldBytes() const { return m_heldBytes; }
    [[nodiscard]] std::size_t openConnections() const { return m_connections.size(); }

private:
    enum class Phase { Idle, Receiving, Handling, Answering };

    struct Connection
    {
        Phase phase = Phase::Idle;
        std::size_t bytes = 0;
        Instant since;        ///< Begin of the phase.
        Instant lastProgress; ///< Something arrived, or the phase changed.
        bool cut = false;
    };

    void enter(Connection &connection, Phase phase, std::size_t bytes, Instant now);
    void hold(Connection &connection, std::size_t bytes);
    std::optional<Cut> cut(ConnectionId id, CutReason reason);
    /// A handled request may have run, so its caller must get the answer; an idle connection holds
    /// nothing.
    [[nodiscard]] static bool isCuttable(const Connection &connection);
    /// What all others than that connection would give back.
    [[nodiscard]] std::size_t cuttableBytes(ConnectionId except) const;
    [[nodiscard]] std::optional<ConnectionId> slowest(Instant now) const;
    [[nodiscard]] std::optional<ConnectionId> stalledHolder(Instant now) const;
    [[nodiscard]] std::optional<ConnectionId> longestStill(Instant now) const;

    RequestBudgetSettings m_settings;
    std::unordered_map<ConnectionId, Connection> m_connections;
    std::size_t m_heldBytes = 0; ///< Of connections that are not cut.
    std::size_t m_cutBytes = 0;  ///< Not given back yet.
    std::size_t m_cutConnections = 0;
    std::size_t m_expectedAnswerBytes = 0; ///< Follows the largest of the latest answers.
    Instant m_nextSlowCheck;
};

} // namespace guavashift
