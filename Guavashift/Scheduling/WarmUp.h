#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>

namespace guavashift {

/// Limits for workers that are slow for some time after their start. Without any of the two there
/// is no limit.
struct WarmUpSettings
{
    /// Factor by which a worker may exceed its share while it warms up; 0: not limited so.
    double overshoot = 0;
    /// Runs that any worker may have besides that.
    double slack = 0;
    /// Time over which a worker returns after the evacuation of its failure domain, whatever it
    /// reports: it may have become cold just before, and its report may follow.
    Duration returnTime = std::chrono::seconds(2);
    /// Deduction from the score of a worker that has just started, for latency-critical and
    /// long-running tasks, in shares of an empty worker.
    double penalty = 1;
};

/// What is known of how warm a worker is.
struct WarmUpState
{
    Duration coldLeft = Duration::zero();  ///< Zero if it is warm.
    Duration coldInAll = Duration::zero(); ///< The longest that was reported as left.
    std::optional<Duration> sinceReturn;   ///< Since the end of an evacuation.
};

/// How much a worker gets to do while it is cold, or has just returned from an evacuation.
class WarmUp final
{
public:
    explicit WarmUp(const WarmUpSettings &settings);

    [[nodiscard]] bool isEnabled() const;
    /// From 0 (has just started or returned) to 1 (warm).
    [[nodiscard]] double warmth(const WarmUpState &state) const;
    /// Whether a worker with `runs` runs may get another one now. `warmAverage`: mean number of
    /// runs on the warm workers of its service; empty if there is none. Then nothing is gained by
    /// waiting, and all may start.
    [[nodiscard]] bool mayStart(double warmth, std::size_t runs,
                                std::optional<double> warmAverage) const;

private:
    WarmUpSettings m_settings;
};

} // namespace guavashift
