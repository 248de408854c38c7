#pragma once

#include <Guavashift/Core/Core.h>

namespace guavashift {

/// Translates the agent's time into the worker's and bounds how long anything can run there. The
/// worker's clock may be up to 2 % slow. Pure.
class LeaseClock final
{
public:
    /// A worker of which nothing is known may have been granted the longest lease just now.
    LeaseClock(Duration longestLease, Instant now);

    /// The worker's clock read `clockMs` at some moment between `sent` and `received`.
    void observe(std::int64_t clockMs, Instant sent, Instant received);

    /// The leader lets the worker run until `end`.
    void granted(Instant end) { m_grantEnd = std::max(m_grantEnd, end); }
    /// Another lifetime begins, to which nothing has been granted yet.
    void workerChanged(Instant now);

    /// What to tell the worker so that nothing outlives the grant; 0 if there is none or its clock
    /// is not known. Remembers that it was told.
    [[nodiscard]] std::int64_t untilMs(Instant now);

    /// Nothing runs on the worker after this unless more is told.
    [[nodiscard]] Instant latestEnd() const { return m_latestEnd; }
    [[nodiscard]] bool isGranted(Instant now) const { return now < m_grantEnd; }

private:
    Instant m_grantEnd;
    Instant m_latestEnd;
    std::int64_t m_clockMs = 0;
    Instant m_clockAt;
};

} // namespace guavashift
