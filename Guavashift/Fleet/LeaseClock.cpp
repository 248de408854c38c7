#include <Guavashift/Fleet/LeaseClock.h>

namespace guavashift {

namespace {

/// Lowest rate of a worker's clock.
constexpr double slowestClock = 0.98;
/// Highest rate of a worker's clock.
constexpr double fastestClock = 1.02;
/// Longest delay of an answer on its way from the worker.
constexpr Duration clockTolerance = std::chrono::seconds(1);

} // namespace

LeaseClock::LeaseClock(Duration longestLease, Instant now)
    : m_longestLease(std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::nano>(
        static_cast<double>(longestLease.count()) / slowestClock)))
    , m_latestEnd(now + m_longestLease)
{
}

void LeaseClock::observe(std::int64_t clockMs, Instant, Instant received, Duration suspended)
{
    // The worker read its clock before the answer arrived, so its clock is now at least at
    // `clockMs`.
    if (clockMs >= m_clockMs) {
        m_clockMs = clockMs;
        m_clockAt = received;
        m_suspended = suspended;
    }
}

bool LeaseClock::isClockOfWorker(std::int64_t clockMs, Instant now) const
{
    const auto passed = static_cast<double>(toMs(now - m_clockAt));
    const auto latest =
        m_clockMs + static_cast<std::int64_t>(passed * fastestClock) + toMs(clockTolerance);
    // Answers may overtake each other, so an earlier value may arrive later.
    return m_clockMs == 0 || (clockMs >= m_clockMs - toMs(clockTolerance) && clockMs <= latest);
}

void LeaseClock::workerChanged(Instant now)
{
    m_clockMs = 0;
    m_grantEnd = {};
    // A call for the lifetime before carries a lease end by another clock.
    m_latestEnd = now + m_longestLease;
}

std::int64_t LeaseClock::untilMs(Instant now, Duration suspended, Duration longest)
{
    if (m_clockMs == 0 || now >= m_grantEnd)
        return 0;
    const Instant end = m_grantEnd - now > longest ? now + longest : m_grantEnd;
    m_latestEnd = std::max(m_latestEnd, end);
    const Duration stoodStill = std::max(suspended - m_suspended, Duration::zero());
    const auto left = static_cast<double>(toMs(end - m_clockAt - stoodStill));
    return m_clockMs + static_cast<std::int64_t>(left * slowestClock);
}

} // namespace guavashift
