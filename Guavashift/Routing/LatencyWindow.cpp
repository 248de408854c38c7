#include <Guavashift/Routing/LatencyWindow.h>

#include <algorithm>

namespace guavashift {

void LatencyWindow::add(Duration latency)
{
    if (m_count == capacity)
        m_sum -= m_samples[m_next];
    else
        ++m_count;
    m_samples[m_next] = latency;
    m_sum += latency;
    m_next = (m_next + 1) % capacity;
    ++m_sinceSorted;
}

std::optional<Duration> LatencyWindow::quantile(unsigned percent) const
{
    if (m_count < minSamples)
        return std::nullopt;
    if (m_sorted.empty() || m_sinceSorted >= refreshInterval) {
        m_sorted.assign(m_samples.begin(),
                        m_samples.begin() + static_cast<std::ptrdiff_t>(m_count));
        std::sort(m_sorted.begin(), m_sorted.end());
        m_sinceSorted = 0;
    }
    const std::size_t rank = (m_sorted.size() * percent + 99) / 100;
    return m_sorted[std::clamp<std::size_t>(rank, 1, m_sorted.size()) - 1];
}

std::optional<Duration> LatencyWindow::mean() const
{
    if (m_count == 0)
        return std::nullopt;
    return m_sum / static_cast<std::int64_t>(m_count);
}

} // namespace guavashift
