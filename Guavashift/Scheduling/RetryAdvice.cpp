#include <Guavashift/Scheduling/RetryAdvice.h>

#include <algorithm>

namespace guavashift {

namespace {

/// `duration` in whole seconds, rounded up.
std::int64_t toSeconds(Duration duration)
{
    return std::chrono::ceil<std::chrono::seconds>(duration).count();
}

} // namespace

RetryAdvice::RetryAdvice(const RetryAdviceSettings &settings)
    : m_settings(settings)
{
}

std::int64_t RetryAdvice::seconds(std::string_view key, Duration expected,
                                  Duration callerTime) const
{
    const Duration earliest = std::clamp(expected, m_settings.shortest, m_settings.longest);
    const auto spread = Duration(
        static_cast<Duration::rep>(static_cast<double>(earliest.count()) * m_settings.spread));
    const std::int64_t first = toSeconds(earliest);
    std::int64_t last = first + std::max<std::int64_t>(1, toSeconds(spread));
    last = std::min(last, toSeconds(m_settings.longest));
    if (callerTime > Duration::zero()) {
        const std::int64_t patience = std::chrono::floor<std::chrono::seconds>(callerTime).count();
        last = std::min(last, patience);
    }
    if (last <= first)
        return first;
    const auto choices = static_cast<std::uint64_t>(last - first + 1);
    return first + static_cast<std::int64_t>(hashBytes(key) % choices);
}

} // namespace guavashift
