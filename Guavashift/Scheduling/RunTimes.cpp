#include <Guavashift/Scheduling/RunTimes.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

RunTimes::RunTimes(const RunTimesSettings &settings)
    : m_settings(settings)
    , m_decay(std::pow(0.5, 1 / settings.halfLifeRuns))
{
}

void RunTimes::add(Sums &sums, double declaredMs, double actualMs) const
{
    sums.actualMs = sums.actualMs * m_decay + actualMs;
    sums.declaredMs = sums.declaredMs * m_decay + declaredMs;
}

void RunTimes::ended(std::string_view queue, std::string_view image, std::int64_t estimateMs,
                     std::int64_t actualMs)
{
    const double declared = static_cast<double>(std::max<std::int64_t>(estimateMs, 1));
    const double actual =
        std::clamp(static_cast<double>(actualMs), declared * m_settings.leastFactor,
                   declared * m_settings.greatestFactor);
    add(m_queues[std::string(queue)], declared, actual);
    const Key key(queue, image);
    auto found = m_kinds.find(key);
    if (found == m_kinds.end()) {
        if (m_kinds.size() >= m_settings.maxKinds)
            return;
        found = m_kinds.emplace(key, Sums()).first;
    }
    add(found->second, declared, actual);
}

double RunTimes::expectedMs(std::string_view queue, std::string_view image,
                            std::int64_t estimateMs) const
{
    const double declared = static_cast<double>(std::max<std::int64_t>(estimateMs, 1));
    double factor = 1;
    // What is known of the queue is the prior of its kinds.
    const auto refine = [&](const Sums &sums) {
        factor =
            (sums.actualMs + factor * m_settings.priorMs) / (sums.declaredMs + m_settings.priorMs);
    };
    if (const auto found = m_queues.find(queue); found != m_queues.end())
        refine(found->second);
    if (const auto found = m_kinds.find(Key(queue, image)); found != m_kinds.end())
        refine(found->second);
    return std::max(declared * factor, 1.0);
}

void RunTimes::clear()
{
    m_queues.clear();
    m_kinds.clear();
}

} // namespace guavashift
