#include <Guavashift/Scheduling/VacancyRates.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

VacancyRates::VacancyRates(const VacancyRatesSettings &settings)
    : m_settings(settings)
{
}

void VacancyRates::ended(const std::string &rack, const Resources &freed, Instant now)
{
    Ends &ends = m_ends[rack];
    ends = endsAt(ends, now);
    ends.count += 1;
    ends.milliCores += static_cast<double>(freed.milliCores);
    ends.memoryMb += static_cast<double>(freed.memoryMb);
    ends.accelerators += static_cast<double>(freed.accelerators);
}

std::optional<Vacancy> VacancyRates::timeUntil(const std::string &rack, const Resources &needed,
                                               Instant now) const
{
    const auto found = m_ends.find(rack);
    if (found == m_ends.end())
        return std::nullopt;
    const Ends ends = endsAt(found->second, now);
    if (ends.count < m_settings.minEnds)
        return std::nullopt;
    // Until the memory is filled the sums are too low, which makes the time too long.
    const double memory = seconds(m_settings.memory);
    double longest = 0;
    for (const auto &[amount, freed] :
         {std::pair(static_cast<double>(needed.milliCores), ends.milliCores),
          std::pair(static_cast<double>(needed.memoryMb), ends.memoryMb),
          std::pair(static_cast<double>(needed.accelerators), ends.accelerators)}) {
        if (amount <= 0)
            continue;
        if (freed <= 0)
            return std::nullopt;
        longest = std::max(longest, amount * memory / freed);
    }
    // Longer than any wait; also keeps the conversion within the range of Duration.
    constexpr double tooLong = 3600;
    longest = std::min(longest, tooLong);
    return Vacancy{fromSeconds(longest), fromSeconds(longest / std::sqrt(ends.count))};
}

VacancyRates::Ends VacancyRates::endsAt(const Ends &ends, Instant now) const
{
    const double age = std::max(seconds(now - ends.at), 0.0);
    const double weight = std::exp(-age / seconds(m_settings.memory));
    return {ends.count * weight, ends.milliCores * weight, ends.memoryMb * weight,
            ends.accelerators * weight, now};
}

} // namespace guavashift
