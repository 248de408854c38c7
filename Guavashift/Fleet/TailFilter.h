#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>

namespace guavashift {

/// Smoothing of the tail latencies that workers report (see docs/MEASUREMENTS.md).
struct TailFilterSettings
{
    /// Interval at which a reported tail latency changes.
    Duration tick = std::chrono::milliseconds(250);
    /// Weight of the previous value in the next one.
    double decay = 0.45;
    /// A value below this part of the previous one is mostly the remainder of a decaying spike,
    /// which masks the current tail.
    double maskedBelow = 0.6;
    /// Values up to this, in milliseconds, are never taken as masked.
    double neverMaskedMs = 100;
};

/// Undoes the exponential smoothing of the tail latency that a worker reports, to get the current
/// tail of a task instead of its average over the last second. Performs no I/O and reads no clock.
class TailFilter final
{
public:
    explicit TailFilter(const TailFilterSettings &settings = {});

    /// Takes a reported tail latency, in milliseconds. Ignores a value equal to the previous one,
    /// and zero.
    void update(double reportedMs, Instant now);

    /// Current tail latency in milliseconds; empty while a decaying spike masks it.
    [[nodiscard]] std::optional<double> tailMs() const { return m_tailMs; }

private:
    TailFilterSettings m_settings;
    std::optional<double> m_reportedMs;
    std::optional<double> m_tailMs;
    Instant m_changedAt;
};

} // namespace guavashift
