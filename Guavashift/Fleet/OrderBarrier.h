#pragma once

#include <Guavashift/Dispatch/WorkerFacts.h>

#include <optional>

namespace guavashift {

/// Tells an agent which orders it must not carry out, because the leader may have settled their
/// runs. The leader settles all runs of a lifetime that the agent reports as ended, also those that
/// it ordered before the report arrived. If that lifetime turns out to go on, orders for it are
/// refused until the leader has answered an inventory that was sent after the report: messages of a
/// session are handled in the order in which they were sent. Reads no clock.
class OrderBarrier final
{
public:
    /// Orders of earlier sessions do not arrive any more.
    void sessionOpened();
    /// The leader is told that the lifetime has ended.
    void lifetimeEnded(const Lifetime &lifetime);
    void inventorySent(const Lifetime &lifetime);
    /// The leader answers each inventory once.
    void inventoryAnswered();

    /// Whether the leader had handled the last report of an end when it sent an order for this
    /// lifetime that has just arrived.
    [[nodiscard]] bool mayCarryOut(const Lifetime &lifetime) const;

private:
    std::optional<Lifetime> m_ended;
    std::size_t m_unanswered = 0; ///< Inventories.
    /// Answers until that to the first inventory of `m_ended` after its end; nothing before that
    /// inventory is sent.
    std::optional<std::size_t> m_answersLeft;
};

} // namespace guavashift
