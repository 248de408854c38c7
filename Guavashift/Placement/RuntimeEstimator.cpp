#include <Guavashift/Placement/RuntimeEstimator.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

/// Least weight of the newest task in the mean.
constexpr double minWeight = 0.1;

} // namespace

void RuntimeEstimator::completed(FamilyId family, std::int64_t declaredMs, std::int64_t actualMs)
{
    if (actualMs <= 0)
        return;
    History &history = m_families[family];
    ++history.count;
    const double weight = std::max(minWeight, 1.0 / history.count);
    const double logActual = std::log(static_cast<double>(actualMs));
    const double logRatio =
        declaredMs > 0 ? logActual - std::log(static_cast<double>(declaredMs)) : 0;
    history.logActual += weight * (logActual - history.logActual);
    history.logRatio += weight * (logRatio - history.logRatio);
}

void RuntimeEstimator::used(FamilyId family, const Resources &used)
{
    Resources &peak = m_families[family].peak;
    peak.milliCores = std::max(peak.milliCores, used.milliCores);
    peak.memoryMb = std::max(peak.memoryMb, used.memoryMb);
    peak.accelerators = std::max(peak.accelerators, used.accelerators);
}

std::int64_t RuntimeEstimator::runtimeMs(FamilyId family, std::int64_t declaredMs) const
{
    const auto found = m_families.find(family);
    if (found == m_families.end() || found->second.count == 0)
        return declaredMs;
    const History &history = found->second;
    const double estimate = declaredMs > 0
        ? static_cast<double>(declaredMs) * std::exp(history.logRatio)
        : std::exp(history.logActual);
    return static_cast<std::int64_t>(estimate);
}

Resources RuntimeEstimator::size(FamilyId family, const Resources &declared) const
{
    const auto found = m_families.find(family);
    if (found == m_families.end())
        return declared;
    const Resources &peak = found->second.peak;
    // Processors can be shared temporarily, memory cannot.
    return {declared.milliCores, std::max(declared.memoryMb, peak.memoryMb), declared.accelerators};
}

} // namespace guavashift
