#pragma once

#include <Guavashift/Core/Core.h>

namespace guavashift {

/// A lease on the holder's side. A grant starts when its request was sent, so the lease expires for
/// the holder before it does for the grantor. Not thread-safe.
class NodeLease final
{
public:
    /// Records a grant of `duration`. A delayed reply to an older request does not shorten the
    /// lease.
    void renew(Instant requestSent, Duration duration)
    {
        m_expiry = std::max(m_expiry, requestSent + duration);
    }

    [[nodiscard]] bool isHeld(Instant now) const { return now < m_expiry; }
    [[nodiscard]] Duration remaining(Instant now) const
    {
        return now < m_expiry ? m_expiry - now : Duration::zero();
    }

private:
    Instant m_expiry;
};

} // namespace guavashift
