#pragma once

#include <Guavashift/Scheduling/VacancyRates.h>

namespace guavashift {

struct NearWaitSettings
{
    /// Factor by which a task takes longer on a far place; limit of the deployment.
    double remoteFactor = 1.5;
    /// Share of the time lost on a far place that a task may wait in all. Below 1, since estimates
    /// of the work may be far too high.
    double waitShare = 0.5;
    /// Longest wait of a task in all. Well below the three seconds for which a job may have nothing
    /// running while there is room for it.
    Duration longestWait = std::chrono::seconds(1);
};

/// What is known about a task, or a group that runs together, that could take a far place now.
struct NearQuestion
{
    Duration work = Duration::zero();   ///< Estimate of what is left of it, on a near place.
    Duration slack = Duration::zero();  ///< Until it must start nearby to be in time; may be less
                                        ///< than zero.
    Duration waited = Duration::zero(); ///< For a near place, so far.
    std::optional<Vacancy> near;        ///< Until there is one. Empty: not known.
};

enum class NearChoice : std::uint8_t { TakeFar, Wait };

/// Decides whether waiting for a near place pays.
class NearWait final
{
public:
    explicit NearWait(const NearWaitSettings &settings);

    [[nodiscard]] NearChoice choose(const NearQuestion &question) const;
    /// Longest time that a task with this work may wait in all.
    [[nodiscard]] Duration longestWait(Duration work) const;
    /// Time that a task with this work loses on a far place.
    [[nodiscard]] Duration lossOf(Duration work) const;

private:
    NearWaitSettings m_settings;
};

} // namespace guavashift
