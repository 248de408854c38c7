#pragma once

#include <Guavashift/Fleet/StateRecovery.h>

#include <functional>

namespace guavashift {

/// Answers other replicas' requests for this one's state. Keeps the copy between the parts. Not
/// thread-safe.
class StateSupply final
{
public:
    /// The part that answers the request. `makeCopy` is called if there is no copy that can be
    /// used.
    [[nodiscard]] StatePart answer(Instant now, const StateRequest &request,
                                   const std::function<StateCopy()> &makeCopy);
    /// Frees the copy if it was not used lately.
    void removeUnused(Instant now);
    void clear() { m_copy.reset(); }

private:
    std::optional<StateCopy> m_copy;
    Instant m_madeAt;
    Instant m_usedAt;
};

} // namespace guavashift
