#pragma once

#include <Guavashift/Core/Core.h>

#include <optional>

namespace guavashift {

/// Parameters of HeadroomTrend. The weights are those of the newest sample.
struct HeadroomTrendSettings
{
    double levelWeight = 0.5; ///< Of its deviation from the forecast, in the level.
    double slopeWeight = 0.2; ///< The same in the slope.
    /// After a longer gap the next sample starts a new trend.
    Duration maxGap = std::chrono::seconds(2);
};

/// Level and slope of a varying headroom by double exponential smoothing. The load of
/// latency-critical tasks comes in waves, which plain smoothing would follow with a lag. Performs
/// no I/O and reads no clock.
class HeadroomTrend final
{
public:
    explicit HeadroomTrend(const HeadroomTrendSettings &settings = {});

    /// Takes the headroom measured at `now`, which must not be before the last sample.
    void update(double headroom, Instant now);

    /// Lowest headroom expected from the last sample until `ahead` after it; 0 without a sample.
    [[nodiscard]] double lowest(Duration ahead) const;

private:
    HeadroomTrendSettings m_settings;
    std::optional<Instant> m_updatedAt;
    double m_level = 0;
    double m_slopePerSecond = 0;
};

} // namespace guavashift
