#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <optional>
#include <string>

namespace guavashift {

/// Expected time until room comes free.
struct Vacancy
{
    Duration expected = Duration::zero();
    Duration deviation = Duration::zero(); ///< Standard deviation of the estimate.
};

struct VacancyRatesSettings
{
    /// Ends count less the older they are, with this time constant.
    Duration memory = std::chrono::seconds(3);
    /// Fewer ends than this, weighted by their age, say nothing.
    double minEnds = 2;
};

/// Learns how fast room comes free on each rack from the runs that end there.
class VacancyRates final
{
public:
    explicit VacancyRates(const VacancyRatesSettings &settings);

    /// Records the end of a run that had reserved `freed`.
    void ended(const std::string &rack, const Resources &freed, Instant now);
    /// Time until the ends on the rack have freed `needed`. Nothing if too few ends are known, or
    /// if they free none of a resource that is needed.
    [[nodiscard]] std::optional<Vacancy> timeUntil(const std::string &rack, const Resources &needed,
                                                   Instant now) const;

private:
    /// Sums over the ends, weighted by their age.
    struct Ends
    {
        double count = 0;
        double milliCores = 0;
        double memoryMb = 0;
        double accelerators = 0;
        Instant at; ///< Time to which the weights refer.
    };

    [[nodiscard]] Ends endsAt(const Ends &ends, Instant now) const;

    VacancyRatesSettings m_settings;
    std::map<std::string, Ends> m_ends; ///< By rack.
};

} // namespace guavashift
