#pragma once

#include <Guavashift/Placement/FamilyTable.h>

#include <span>
#include <unordered_map>

namespace guavashift {

/// Parameters of the interference model's learning and of its bound.
struct InterferenceSettings
{
    /// Expected slowdown by an unknown neighbour at full load, as a share.
    double priorMean = 0.05;
    double priorVariance = 0.02;
    /// Variance of one pair around the general effect of its aggressor.
    double pairVariance = 0.01;
    /// Variance of one measurement.
    double noiseVariance = 0.02;
    /// Growth of every variance with each observation, so that older observations lose weight.
    double drift = 0.0002;
    /// Standard deviations between the mean and the bound.
    double boundDeviations = 1.0;
    /// Factor by which a family's peak effect decays with each observation. Families that interfere
    /// in phases are placed by the effect of these phases.
    double peakMemory = 0.9998;
    bool remembersPeaks = true;
};

/// One task that shares a worker with the victim.
struct Neighbour
{
    FamilyId family = 0;
    double speed = 1; ///< Below 1 while throttled, which reduces its effect in proportion.
};

/// Learns how much tasks of one family slow down tasks of another family on the same VM. Models the
/// slowdown beyond 1 as the victim's load times the sum over its neighbours of an effect of the
/// neighbour's family and an effect of the pair. Estimates both by a Kalman filter with a diagonal
/// covariance, so that a new pair starts from the aggressor's effect on others.
class InterferenceModel final
{
public:
    explicit InterferenceModel(const InterferenceSettings &settings);

    /// Updates the estimates with one measurement.
    /// @param load of the victim, 0 to 1
    /// @param excess slowdown beyond 1, as a share
    void observe(FamilyId victim, std::span<const Neighbour> neighbours, double load,
                 double excess);

    /// Expected effect of one neighbour at full load.
    [[nodiscard]] double mean(FamilyId victim, FamilyId neighbour) const;

    /// The mean, or the decaying peak if that is higher and peaks are remembered, plus the
    /// configured number of standard deviations; never negative.
    [[nodiscard]] double bound(FamilyId victim, FamilyId neighbour) const;

private:
    struct Estimate
    {
        double mean = 0;
        double variance = 0;
        double peak = 0;
    };

    static std::uint64_t pairKey(FamilyId victim, FamilyId neighbour)
    {
        return (static_cast<std::uint64_t>(victim) << 32U) | neighbour;
    }

    [[nodiscard]] Estimate aggressor(FamilyId neighbour) const;
    [[nodiscard]] Estimate pair(FamilyId victim, FamilyId neighbour) const;

    InterferenceSettings m_settings;
    std::unordered_map<FamilyId, Estimate> m_aggressors;
    std::unordered_map<std::uint64_t, Estimate> m_pairs;
};

} // namespace guavashift
