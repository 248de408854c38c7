#include <Guavashift/Scheduling/WorkerSpeeds.h>

#include <algorithm>

namespace guavashift {

namespace {

/// The middle value, or the lower of the two in the middle. `values` must not be empty.
template <typename Value> Value medianOf(std::vector<Value> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

} // namespace

WorkerSpeeds::WorkerSpeeds(const WorkerSpeedSettings &settings)
    : m_settings(settings)
{
}

void WorkerSpeeds::observe(const SpeedObservation &observation, Instant now)
{
    if (observation.duration <= Duration::zero())
        return;
    Kind &kind = m_kinds[observation.kind];
    kind.latest[observation.worker] = observation.duration;
    kind.usedAt = now;
    const std::optional<Duration> typical = typicalOf(kind);
    if (!typical)
        return;
    std::vector<Observed> &observed = m_observed[observation.worker];
    std::erase_if(observed, [&](const Observed &each) { return each.run == observation.run; });
    const double relative =
        static_cast<double>(typical->count()) / static_cast<double>(observation.duration.count());
    observed.push_back({observation.run, observation.duration, relative, now});
    if (observed.size() > m_settings.observations)
        observed.erase(observed.begin());
    updateSpeed(observation.worker);
}

std::optional<Duration> WorkerSpeeds::typicalOf(const Kind &kind) const
{
    if (kind.latest.size() < m_settings.minWorkers)
        return std::nullopt;
    std::vector<Duration> durations;
    durations.reserve(kind.latest.size());
    for (const auto &[worker, duration] : kind.latest)
        durations.push_back(duration);
    return medianOf(std::move(durations));
}

void WorkerSpeeds::updateSpeed(const std::string &worker)
{
    const std::vector<Observed> &observed = m_observed.at(worker);
    std::vector<double> speeds(m_settings.assumedObservations, 1.0);
    for (const Observed &each : observed)
        speeds.push_back(each.relativeSpeed);
    const double speed = medianOf(std::move(speeds));
    if (speed == 1)
        m_speeds.erase(worker);
    else
        m_speeds[worker] = speed;
}

double WorkerSpeeds::speed(std::string_view worker) const
{
    const auto found = m_speeds.find(worker);
    return found == m_speeds.end() ? 1 : found->second;
}

std::optional<Duration> WorkerSpeeds::typicalDuration(std::string_view kind) const
{
    const auto found = m_kinds.find(kind);
    return found == m_kinds.end() ? std::nullopt : typicalOf(found->second);
}

std::vector<std::string> WorkerSpeeds::slowerThan(double limit) const
{
    std::vector<std::pair<double, std::string>> slow;
    for (const auto &[worker, speed] : m_speeds) {
        if (speed < limit)
            slow.emplace_back(speed, worker);
    }
    std::sort(slow.begin(), slow.end());
    std::vector<std::string> workers;
    workers.reserve(slow.size());
    for (auto &[speed, worker] : slow)
        workers.push_back(std::move(worker));
    return workers;
}

void WorkerSpeeds::expire(Instant now)
{
    std::erase_if(m_kinds,
                  [&](const auto &each) { return now - each.second.usedAt > m_settings.memory; });
    for (auto at = m_observed.begin(); at != m_observed.end();) {
        const std::size_t dropped = std::erase_if(
            at->second, [&](const Observed &each) { return now - each.at > m_settings.memory; });
        if (dropped > 0)
            updateSpeed(at->first);
        at = at->second.empty() ? m_observed.erase(at) : std::next(at);
    }
}

void WorkerSpeeds::forget(std::string_view worker)
{
    if (const auto found = m_observed.find(worker); found != m_observed.end())
        m_observed.erase(found);
    if (const auto found = m_speeds.find(worker); found != m_speeds.end())
        m_speeds.erase(found);
}

void WorkerSpeeds::clear()
{
    m_kinds.clear();
    m_observed.clear();
    m_speeds.clear();
}

} // namespace guavashift
