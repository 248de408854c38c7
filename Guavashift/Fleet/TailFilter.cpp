#include <Guavashift/Fleet/TailFilter.h>

#include <cmath>

namespace guavashift {

TailFilter::TailFilter(const TailFilterSettings &settings)
    : m_settings(settings)
{
}

void TailFilter::read(double shownMs, Instant now)
{
    if (shownMs <= 0 || m_shownMs == shownMs)
        return;
    if (!m_shownMs) {
        m_tailMs = shownMs;
    } else {
        const double before = *m_shownMs;
        const double ticks = std::max(1.0,
                                      std::round(static_cast<double>((now - m_changedAt).count())
                                                 / static_cast<double>(m_settings.tick.count())));
        const double kept = std::pow(m_settings.kept, ticks);
        const bool hidden = shownMs < m_settings.drowned * before && shownMs > m_settings.clearMs;
        // Rounding may leave less than nothing.
        const double leastPart = 0.1;
        if (hidden)
            m_tailMs.reset();
        else
            m_tailMs = std::max((shownMs - kept * before) / (1 - kept), leastPart * shownMs);
    }
    m_shownMs = shownMs;
    m_changedAt = now;
}

} // namespace guavashift
