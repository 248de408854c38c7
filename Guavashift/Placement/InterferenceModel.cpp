#include <Guavashift/Placement/InterferenceModel.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

/// Measurements below this load do not show the effect of neighbours.
constexpr double minLoad = 0.05;

} // namespace

InterferenceModel::InterferenceModel(const InterferenceSettings &settings)
    : m_settings(settings)
{
}

InterferenceModel::Estimate InterferenceModel::aggressor(FamilyId neighbour) const
{
    const auto found = m_aggressors.find(neighbour);
    return found == m_aggressors.end() ? Estimate{m_settings.priorMean, m_settings.priorVariance, 0}
                                       : found->second;
}

InterferenceModel::Estimate InterferenceModel::pair(FamilyId victim, FamilyId neighbour) const
{
    const auto found = m_pairs.find(pairKey(victim, neighbour));
    return found == m_pairs.end() ? Estimate{0, m_settings.pairVariance, 0} : found->second;
}

void InterferenceModel::observe(FamilyId victim, std::span<const Neighbour> neighbours, double load,
                                double excess)
{
    if (neighbours.empty() || load < minLoad)
        return;
    // Predict, then distribute the innovation in proportion to the variance of each estimate.
    double predicted = 0;
    double variance = m_settings.noiseVariance;
    for (const Neighbour &neighbour : neighbours) {
        const Estimate single = aggressor(neighbour.family);
        const Estimate both = pair(victim, neighbour.family);
        const double weight = load * neighbour.speed;
        predicted += weight * (single.mean + both.mean);
        variance += weight * weight * (single.variance + both.variance);
    }
    const double innovation = excess - predicted;
    for (const Neighbour &neighbour : neighbours) {
        const double weight = load * neighbour.speed;
        const auto correct = [&](Estimate &estimate) {
            const double gain = estimate.variance * weight / variance;
            estimate.mean += gain * innovation;
            estimate.variance = estimate.variance * (1 - gain * weight) + m_settings.drift;
            estimate.peak = std::max(estimate.mean, estimate.peak * m_settings.peakMemory);
        };
        const FamilyId family = neighbour.family;
        correct(m_aggressors.try_emplace(family, aggressor(family)).first->second);
        correct(m_pairs.try_emplace(pairKey(victim, family), pair(victim, family)).first->second);
    }
}

double InterferenceModel::mean(FamilyId victim, FamilyId neighbour) const
{
    return std::max(0.0, aggressor(neighbour).mean + pair(victim, neighbour).mean);
}

double InterferenceModel::bound(FamilyId victim, FamilyId neighbour) const
{
    const Estimate single = aggressor(neighbour);
    const Estimate both = pair(victim, neighbour);
    const double level = m_settings.remembersPeaks
        ? std::max(single.mean, single.peak) + std::max(both.mean, both.peak)
        : single.mean + both.mean;
    return std::max(
        0.0, level + m_settings.boundDeviations * std::sqrt(single.variance + both.variance));
}

} // namespace guavashift
