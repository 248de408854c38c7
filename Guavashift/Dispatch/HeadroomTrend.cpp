#include <Guavashift/Dispatch/HeadroomTrend.h>

#include <algorithm>

namespace guavashift {

namespace {

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

HeadroomTrend::HeadroomTrend(const HeadroomTrendSettings &settings)
    : m_settings(settings)
{
}

void HeadroomTrend::update(double headroom, Instant now)
{
    if (!m_updatedAt || now - *m_updatedAt > m_settings.maxGap) {
        m_level = headroom;
        m_slopePerSecond = 0;
    } else {
        // Samples in quick succession are one sample as far as the slope is concerned.
        constexpr double minSeconds = 0.1;
        const double seconds = secondsOf(now - *m_updatedAt);
        const double expected = m_level + m_slopePerSecond * seconds;
        const double deviation = headroom - expected;
        m_level = expected + m_settings.levelWeight * deviation;
        m_slopePerSecond += m_settings.slopeWeight * deviation / std::max(seconds, minSeconds);
    }
    m_updatedAt = now;
}

double HeadroomTrend::lowest(Duration ahead) const
{
    return m_level + std::min(m_slopePerSecond, 0.0) * secondsOf(ahead);
}

} // namespace guavashift
