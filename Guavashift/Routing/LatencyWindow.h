#pragma once

#include <Guavashift/Core/Core.h>

#include <array>

namespace guavashift {

/// Sliding window of the most recent latencies, for quantiles and the mean.
class LatencyWindow final
{
public:
    void add(Duration latency);

    /// The latency that `percent` of the recent samples do not exceed, or nothing while there are
    /// too few samples.
    [[nodiscard]] std::optional<Duration> quantile(unsigned percent) const;
    [[nodiscard]] std::optional<Duration> mean() const;

private:
    static constexpr std::size_t capacity = 256;
    static constexpr std::size_t minSamples = 20;
    /// Samples after which the sorted copy is refreshed.
    static constexpr std::size_t refreshInterval = 32;

    std::array<Duration, capacity> m_samples{};
    std::size_t m_count = 0;
    std::size_t m_next = 0;
    Duration m_sum{};
    mutable std::vector<Duration> m_sorted;
    mutable std::size_t m_sinceSorted = 0;
};

} // namespace guavashift
