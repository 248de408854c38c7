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
    /// Records that a poll for this lifetime was not sent.
    void pollNotSent();
    /// Records the answer to a poll that was sent on a connection of this lifetime.
    void pollAnswered() { m_pollsNotSent = 0; }

    /// Whether calls for this lifetime can be sent.
    [[nodiscard]] bool isKnown() const { return !m_answered.empty() || !m_staysOpen; }
    /// What to send them on. Any connection if the worker closes its connections after each
    /// answer: without a lease, nothing could run on it.
    [[nodiscard]] WorkerConnections allowed() const;
    [[nodiscard]] bool staysOpen() const { return m_staysOpen; }

private:
    std::deque<WorkerConnection> m_answered; ///< The latest last.
    int m_pollsNotSent = 0;                  ///< Since the last poll that was answered.
    bool m_staysOpen = true;
};

} // namespace guavashift
