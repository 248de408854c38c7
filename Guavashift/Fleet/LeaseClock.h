#pragma once

#include <Guavashift/Core/Core.h>

namespace guavashift {

/// Converts lease ends from the agent's clock to the worker's and bounds how long anything can run
/// on the worker. The worker's clock may be up to 2 % slow, and it stands still while the machine
/// is suspended. Performs no I/O and reads no clock.
class LeaseClock final
{
public:
    /// Assumes that an earlier agent has just granted the worker the longest lease.
    LeaseClock(Duration longestLease, Instant now);

    /// Records that the worker's clock was at `clockMs` at a time between `sent` and `received`.
    /// `suspended`: for how long the machine has been suspended, see suspendedTime().
    void observe(std::int64_t clockMs, Instant sent, Instant received, Duration suspended);

    /// Whether `clockMs`, from an answer that arrived at `now`, fits what was observed of the
    /// worker's clock. The clock of another lifetime starts anew.
    [[nodiscard]] bool isClockOfWorker(std::int64_t clockMs, Instant now) const;

    /// Records that the leader has granted this lifetime a lease until `end`.
    void granted(Instant end) { m_grantEnd = std::max(m_grantEnd, end); }
    /// Records the start of another lifetime of the worker. Calls for the one before may still
    /// give it a lease.
    void workerChanged(Instant now);
    /// Records that a call for another lifetime of the worker may have given this one the longest
    /// lease until `now`.
    void assumeLongestLease(Instant now)
    {
        m_latestEnd = std::max(m_latestEnd, now + m_longestLease);
    }

    /// Returns the end of the granted lease on the worker's clock, so early that nothing outlives
    /// the grant unless the machine is suspended later; 0 if there is no grant or the worker's
    /// clock is not known. At most `longest` from `now`. Extends latestEnd(), since the value is
    /// sent to the worker.
    [[nodiscard]] std::int64_t untilMs(Instant now, Duration suspended,
                                       Duration longest = Duration::max());

    /// Time after which nothing runs on the worker, unless a later lease end is sent to it.
    [[nodiscard]] Instant latestEnd() const { return m_latestEnd; }
    [[nodiscard]] bool isGranted(Instant now) const { return now < m_grantEnd; }

private:
    Duration m_longestLease; ///< On the agent's clock, while the worker's is slow.
    Instant m_grantEnd;
    Instant m_latestEnd;
    std::int64_t m_clockMs = 0;
    Instant m_clockAt;
    Duration m_suspended = Duration::zero(); ///< Until the clock was observed.
};

} // namespace guavashift
