#include <Guavashift/Fleet/LeaseClock.h>

namespace guavashift {

namespace {

/// Lowest rate of a worker's clock.
constexpr double slowestClock = 0.98;

} // namespace

LeaseClock::LeaseClock(Duration longestLease, Instant now)
    : m_latestEnd(now
                  + std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(
                      static_cast<double>(longestLease.count()) / slowestClock)))
{
}

void LeaseClock::observe(std::int64_t clockMs, Instant, Instant received)
{
    // The worker read its clock before the answer arrived, so its clock is now at least at
    // `clockMs`.
    if (clockMs >= m_clockMs) {
        m_clockMs = clockMs;
        m_clockAt = received;
    }
}

void LeaseClock::workerChanged(Instant now)
{
    m_clockMs = 0;
    m_latestEnd = now;
}

std::int64_t LeaseClock::untilMs(Instant now)
{
    if (m_clockMs == 0 || now >= m_grantEnd)
        return 0;
    m_latestEnd = std::max(m_latestEnd, m_grantEnd);
    const auto left = static_cast<double>(toMs(m_grantEnd - m_clockAt));
    return m_clockMs + static_cast<std::int64_t>(left * slowestClock);
}

} // namespace guavashift
