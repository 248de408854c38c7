#pragma once

#include <Guavashift/Core/Core.h>

namespace guavashift {

/// A lease as its holder sees it. A grant counts from when its request was sent, so the holder's
/// view ends before the grantor's. Not thread-safe.
class NodeLease final
{
public:
    /// Records a grant of `duration`. An answer to an older request than the newest one granted
    /// does not shorten the lease.
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
