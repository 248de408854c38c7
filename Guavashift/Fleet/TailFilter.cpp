#include <Guavashift/Fleet/TailFilter.h>

#include <cmath>

namespace guavashift {

TailFilter::TailFilter(const TailFilterSettings &settings)
    : m_settings(settings)
{
}

void TailFilter::update(double reportedMs, Instant now)
{
    if (reportedMs <= 0 || m_reportedMs == reportedMs)
        return;
    if (!m_reportedMs) {
        m_tailMs = reportedMs;
    } else {
        const double before = *m_reportedMs;
        const double ticks = std::max(1.0,
                                      std::round(static_cast<double>((now - m_changedAt).count())
                                                 / static_cast<double>(m_settings.tick.count())));
        const double decay = std::pow(m_settings.decay, ticks);
        const bool masked =
            reportedMs < m_settings.maskedBelow * before && reportedMs > m_settings.neverMaskedMs;
        // Rounding in the reported values may make the difference negative.
        const double minPart = 0.1;
        if (masked)
            m_tailMs.reset();
        else
            m_tailMs = std::max((reportedMs - decay * before) / (1 - decay), minPart * reportedMs);
    }
    m_reportedMs = reportedMs;
    m_changedAt = now;
}

} // namespace guavashift
