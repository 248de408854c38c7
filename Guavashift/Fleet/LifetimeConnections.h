#pragma once

#include <Guavashift/Fleet/WorkerPort.h>

#include <deque>

namespace guavashift {

/// The connections on which the present lifetime of a worker has answered. Numbers of ends and
/// times on the worker's clock hold for one lifetime. A call that carries them must not reach the
/// next one, which may listen at the same address under the same name. Reads no clock.
class LifetimeConnections final
{
public:
    /// Records that another lifetime was found.
    void lifetimeChanged() { *this = {}; }
    /// Records that this lifetime has answered on a connection.
    void answered(WorkerConnection connection);
    /// Records that a call for this lifetime was not sent.
    void callNotSent();
    /// Records that a call was sent on a connection of this lifetime.
    void callSent();

    /// Whether calls for this lifetime can be sent.
    [[nodiscard]] bool isKnown() const { return !m_answered.empty() || !m_staysOpen; }
    /// What to send them on. Any connection if the worker closes its connections after each
    /// answer: without a lease, nothing could run on it.
    [[nodiscard]] WorkerConnections allowed() const;
    [[nodiscard]] bool staysOpen() const { return m_staysOpen; }
    /// Whether it has answered twice on one connection.
    [[nodiscard]] bool isKnownToStayOpen() const { return m_isKnownToStayOpen; }

private:
    std::deque<WorkerConnection> m_answered; ///< The latest last.
    bool m_isIdentified = false; ///< It has answered since the last call that was not sent.
    int m_closedInARow = 0;      ///< Connections that were closed right after an answer.
    bool m_staysOpen = true;
    bool m_isKnownToStayOpen = false;
};

} // namespace guavashift
