#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>

namespace guavashift {

/// How workers work out the tail latencies that they show, as measured (docs/MEASUREMENTS.md).
struct TailFilterSettings
{
    /// How often a worker's figure changes.
    Duration tick = std::chrono::milliseconds(250);
    /// Part of a figure that is decay by the next.
    double decay = 0.45;
    /// Where a figure falls below this part of the one before, what is new drowns in what is left.
    double maskedBelow = 0.6;
    /// Smaller figures than this, in milliseconds, are clear whatever was before.
    double neverMaskedMs = 100;
};

/// Takes the memory out of the tail latency that a worker shows: what a task's tail is now, not on
/// average over the last second. Pure.
class TailFilter final
{
public:
    explicit TailFilter(const TailFilterSettings &settings = {});

    /// The worker showed this figure, in milliseconds; the same as before is no news.
    void update(double reportedMs, Instant now);

    /// In milliseconds; nothing while what is left of an outburst hides it.
    [[nodiscard]] std::optional<double> tailMs() const { return m_tailMs; }

private:
    TailFilterSettings m_settings;
    std::optional<double> m_reportedMs;
    std::optional<double> m_tailMs;
    Instant m_changedAt;
};

} // namespace guavashift
