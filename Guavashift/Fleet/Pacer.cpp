#include <Guavashift/Fleet/Pacer.h>

namespace guavashift {

Pacer::Pacer(const PacerSettings &settings)
    : m_settings(settings)
{
}

std::int32_t Pacer::update(std::span<const TailReading> readings, Instant now)
{
    double worst = 0;
    for (const TailReading &reading : readings) {
        if (reading.targetMs > 0)
            worst = std::max(worst, reading.tailMs / reading.targetMs);
    }
    const Duration since = now - m_changedAt;
    if (worst >= m_settings.slowDownAt && m_pace > 0 && since >= m_settings.settle) {
        constexpr std::int32_t leastPace = 5;
        const auto slower = static_cast<std::int32_t>(m_pace * m_settings.slowDownBy);
        m_pace = slower < leastPace ? 0 : slower;
        m_changedAt = now;
    } else if (worst < m_settings.speedUpBelow && m_pace < 100
               && since >= m_settings.speedUpEvery) {
        m_pace = std::min(m_pace + m_settings.speedUpBy, 100);
        m_changedAt = now;
    }
    return m_pace;
}

} // namespace guavashift
