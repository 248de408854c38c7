#pragma once

#include <Guavashift/Core/Core.h>

#include <span>

namespace guavashift {

/// How fast fillers beside serving tasks are slowed and let go again.
struct PacerSettings
{
    /// Part of its tail target at which a serving task asks fillers to slow down.
    double slowDownAt = 0.85;
    /// Part of the target below which fillers may go faster.
    double speedUpBelow = 0.6;
    /// Pace is multiplied by this on the way down.
    double slowDownBy = 0.5;
    /// Hundredths added on the way up, at most once in `speedUpEvery`.
    std::int32_t speedUpBy = 10;
    Duration speedUpEvery = std::chrono::milliseconds(400);
    /// Tails are figures of the last half second: a new pace shows only after this.
    Duration settle = std::chrono::milliseconds(500);
};

/// One serving task's tail against its target, in milliseconds.
struct TailReading
{
    double tailMs = 0;
    double targetMs = 0;
};

/// Chooses the pace of all fillers on one worker from the tails of the serving tasks beside them.
/// Pure.
class Pacer final
{
public:
    explicit Pacer(const PacerSettings &settings = {});

    /// The pace in hundredths that fits what was read at `now`.
    std::int32_t update(std::span<const TailReading> readings, Instant now);

    [[nodiscard]] std::int32_t pace() const { return m_pace; }

private:
    PacerSettings m_settings;
    std::int32_t m_pace = 100;
    Instant m_changedAt;
};

} // namespace guavashift
