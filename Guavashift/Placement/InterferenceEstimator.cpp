#include <Guavashift/Placement/InterferenceEstimator.h>

#include <algorithm>

namespace guavashift {

namespace {

/// Load assumed for a latency-critical task before its first measurement.
constexpr double assumedLoad = 0.6;
/// Factor by which the maximum of the load decays with each measurement.
constexpr double loadMemory = 0.995;

} // namespace

InterferenceEstimator::InterferenceEstimator(const InterferenceSettings &settings,
                                             bool attributesToPast)
    : m_model(settings)
    , m_attributesToPast(attributesToPast)
{
}

void InterferenceEstimator::track(const StateMachine &state, WallMs now)
{
    m_history.track(state, m_families, now);
    m_latencyCritical.clear();
    for (const auto &[id, worker] : state.workers()) {
        for (auto at = worker.tasks.lower_bound(TaskId{"service/"});
             at != worker.tasks.end() && at->value.starts_with("service/"); ++at) {
            const Task &task = state.tasks().at(*at);
            if (task.kind != TaskKind::LatencyCritical)
                continue;
            m_latencyCritical[id].push_back(*at);
            m_familyOf.try_emplace(*at, m_families.idOf(task.family));
        }
    }
}

void InterferenceEstimator::observe(const UsageReport &report, const StateMachine &state)
{
    const auto found = state.tasks().find(report.task);
    if (found == state.tasks().end() || found->second.attempt != report.attempt
        || report.slowdownPercent == 0)
        return;
    const Task &task = found->second;
    const double excess = std::max(0.0, report.slowdownPercent / 100.0 - 1);
    const bool critical = task.kind == TaskKind::LatencyCritical;
    const double load = critical ? std::min(1.0, report.loadPercent / 100.0) : 1.0;
    if (critical) {
        Measured &measured = m_measured[task.id];
        measured.load = std::max(load, measured.load * loadMemory);
        measured.slowdown = 1 + excess;
        measured.at = report.measuredAt;
    }
    // The slowdown is attributed to the neighbours at the time of the measurement.
    const std::vector<Resident> *residents = m_attributesToPast
        ? m_history.at(task.worker, report.measuredAt)
        : m_history.latest(task.worker);
    if (residents == nullptr || !critical)
        return;
    std::vector<Neighbour> neighbours;
    for (const Resident &resident : *residents) {
        if (resident.task != task.id)
            neighbours.push_back({resident.family, resident.speedPercent / 100.0});
    }
    m_model.observe(m_families.idOf(task.family), neighbours, load, excess);
}

double InterferenceEstimator::loadOf(const TaskId &task) const
{
    const auto found = m_measured.find(task);
    return found == m_measured.end() ? assumedLoad : found->second.load;
}

InterferenceEstimator::Forecast
InterferenceEstimator::forecast(const WorkerId &worker, FamilyId family, bool useBound) const
{
    Forecast forecast;
    const auto victims = m_latencyCritical.find(worker);
    if (victims == m_latencyCritical.end())
        return forecast;
    const std::vector<Resident> *residents = m_history.latest(worker);
    for (const TaskId &id : victims->second) {
        const FamilyId victim = m_familyOf.at(id);
        const double load = loadOf(id);
        double slowdown = 1;
        if (residents != nullptr) {
            for (const Resident &resident : *residents) {
                if (resident.task != id)
                    slowdown += load * m_model.mean(victim, resident.family) * resident.speedPercent
                        / 100.0;
            }
        }
        // The measured slowdown is used if it is worse than the predicted one.
        if (const auto measured = m_measured.find(id); measured != m_measured.end())
            slowdown = std::max(slowdown, measured->second.slowdown);
        const double added =
            load * (useBound ? m_model.bound(victim, family) : m_model.mean(victim, family));
        forecast.worstSlowdown = std::max(forecast.worstSlowdown, slowdown + added);
        forecast.addedInterference += added;
        forecast.addedSquares += added * (2 * (slowdown - 1) + added);
    }
    return forecast;
}

double InterferenceEstimator::expectedInterference(const WorkerId &worker, FamilyId aggressor,
                                                   std::uint32_t speedPercent) const
{
    const auto victims = m_latencyCritical.find(worker);
    if (victims == m_latencyCritical.end())
        return 0;
    double interference = 0;
    for (const TaskId &id : victims->second)
        interference +=
            loadOf(id) * m_model.mean(m_familyOf.at(id), aggressor) * speedPercent / 100.0;
    return interference;
}

InterferenceEstimator::MeasuredSlowdown
InterferenceEstimator::measuredSlowdownOf(const WorkerId &worker) const
{
    MeasuredSlowdown worst;
    const auto victims = m_latencyCritical.find(worker);
    if (victims == m_latencyCritical.end())
        return worst;
    for (const TaskId &id : victims->second) {
        const auto measured = m_measured.find(id);
        if (measured == m_measured.end())
            continue;
        if (measured->second.slowdown > worst.slowdown)
            worst = {measured->second.slowdown, measured->second.at};
    }
    return worst;
}

} // namespace guavashift
