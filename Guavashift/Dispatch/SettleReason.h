#pragma once

#include <cstdint>
#include <string_view>

namespace guavashift {

/// Why the leader settled a run whose end its worker had not listed.
enum class SettleReason : std::uint8_t {
    StartRefused,        ///< The agent sent no start, or its start cannot be carried out any more.
    NotInInventory,      ///< The worker did not list it in the first list of the agent's session.
    EarlierLifetime,     ///< The next lifetime of its worker does not list it.
    LifetimeLeft,        ///< Its lifetime ended as planned or was replaced by another worker's.
    LifetimeCrashed,     ///< Its lifetime ended without notice.
    LifetimeUnreachable, ///< The lease ran out without an answer to the agent.
    LeaseExpired,        ///< The last lease that the leader recorded has expired.
    NoSession,           ///< No agent reported for its worker when the binding was committed.
    OverCapacity,        ///< Its worker's capacity had shrunk when the binding was committed.
    Evacuated            ///< Its worker's failure domain was evacuated before the order was sent.
};
std::string_view nameOf(SettleReason reason);

} // namespace guavashift
