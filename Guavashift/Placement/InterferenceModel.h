#pragma once

#include <Guavashift/Placement/FamilyTable.h>

#include <span>
#include <unordered_map>

namespace guavashift {

/// How quickly the model learns and how cautious it is.
struct InterferenceSettings
{
    /// Slowdown that an unknown neighbour is expected to cause at full load, as a share.
    double priorMean = 0.05;
    double priorVariance = 0.02;
    /// Spread of one pair around what its aggressor does to all.
    double pairVariance = 0.01;
    /// Variance of one measurement.
    double noiseVariance = 0.02;
    /// Growth of every variance with each observation, so that old knowledge fades.
    double drift = 0.0002;
    /// Standard deviations between the mean and the bound.
    double boundDeviations = 1.0;
    /// Share of a family's highest effect that is kept from one observation to the next. Families
    /// that are noisy in waves are placed for their waves.
    double peakMemory = 0.9998;
    bool remembersPeaks = true;
};

/// One task beside a victim.
struct Neighbour
{
    FamilyId family = 0;
    double speed = 1; ///< Below 1 while throttled; its effect shrinks along.
};

/// Learns how much tasks of one family slow down tasks of another that share their VM. The slowdown
/// beyond 1 is taken as the victim's load times the sum over its neighbours of an effect of the
/// neighbour's family and an effect of the pair; both are estimated by a Kalman filter with a
/// diagonal covariance, so that a new pair starts from what its aggressor did to others.
class InterferenceModel final
{
public:
    explicit InterferenceModel(const InterferenceSettings &settings);

    /// Takes in one measurement.
    /// @param load of the victim, 0 to 1
    /// @param excess slowdown beyond 1, as a share
    void observe(FamilyId victim, std::span<const Neighbour> neighbours, double load,
                 double excess);

    /// Expected effect at full load of one neighbour.
    [[nodiscard]] double mean(FamilyId victim, FamilyId neighbour) const;

    /// The mean, or the remembered peak if it is higher, plus the set number of standard
    /// deviations; never negative.
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
