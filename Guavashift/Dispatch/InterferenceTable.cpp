#include <Guavashift/Dispatch/InterferenceTable.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

/// Rounds of coordinate descent; far more than systems of this size need.
constexpr int descentRounds = 15;
/// Changes of activity below this are dominated by noise.
constexpr double minActivityChange = 0.004;
/// Least headroom by which observations are scaled; tail latencies below it are not exact.
constexpr double minHeadroom = 0.5;
/// A task with less headroom is saturated: its tail no longer grows with the disturbance.
constexpr double minComparedHeadroom = 0.33;

} // namespace

InterferenceTable::InterferenceTable(const InterferenceTableSettings &settings)
    : m_settings(settings)
{
}

std::size_t InterferenceTable::positionOf(Sums &sums, const std::string &bestEffortImage)
{
    const auto found =
        std::find(sums.bestEffortImages.begin(), sums.bestEffortImages.end(), bestEffortImage);
    if (found != sums.bestEffortImages.end())
        return static_cast<std::size_t>(found - sums.bestEffortImages.begin());
    sums.bestEffortImages.push_back(bestEffortImage);
    for (std::vector<double> &row : sums.products)
        row.push_back(0);
    sums.products.emplace_back(sums.bestEffortImages.size(), 0.0);
    sums.responses.push_back(0);
    return sums.bestEffortImages.size() - 1;
}

void InterferenceTable::observe(const std::string &latencyCriticalImage,
                                const BestEffortActivity &before, const BestEffortActivity &now,
                                double headroomBefore, double headroomNow)
{
    const double scale = std::max({headroomBefore, headroomNow, minHeadroom});
    const double loss = (headroomBefore - headroomNow) / scale;
    BestEffortActivity changes = now;
    for (const auto &[bestEffortImage, activity] : before)
        changes[bestEffortImage] -= activity;
    Sums &sums = m_byLatencyCriticalImage[latencyCriticalImage];
    ActivityDifferences changed;
    for (const auto &[bestEffortImage, difference] : changes) {
        if (std::abs(difference) >= minActivityChange)
            changed.emplace_back(positionOf(sums, bestEffortImage), difference / scale);
    }
    add(sums, changed, loss);
}

void InterferenceTable::compare(const std::string &latencyCriticalImage,
                                std::span<const HeadroomSample> samples)
{
    std::vector<HeadroomSample> usable;
    std::copy_if(samples.begin(), samples.end(), std::back_inserter(usable),
                 [](const HeadroomSample &each) { return each.headroom >= minComparedHeadroom; });
    if (usable.size() < 2)
        return;
    const auto count = static_cast<double>(usable.size());
    double meanHeadroom = 0;
    BestEffortActivity meanActivity;
    for (const HeadroomSample &sample : usable) {
        meanHeadroom += sample.headroom / count;
        for (const auto &[bestEffortImage, activity] : *sample.activity)
            meanActivity[bestEffortImage] += activity / count;
    }
    const double scale = std::max(meanHeadroom, minHeadroom);
    Sums &sums = m_byLatencyCriticalImage[latencyCriticalImage];
    for (const HeadroomSample &sample : usable) {
        ActivityDifferences differences;
        for (const auto &[bestEffortImage, mean] : meanActivity) {
            const auto found = sample.activity->find(bestEffortImage);
            const double activity = found == sample.activity->end() ? 0 : found->second;
            if (std::abs(activity - mean) >= minActivityChange)
                differences.emplace_back(positionOf(sums, bestEffortImage),
                                         (activity - mean) / scale);
        }
        add(sums, differences, (meanHeadroom - sample.headroom) / scale);
    }
}

void InterferenceTable::add(Sums &sums, const ActivityDifferences &differences, double loss)
{
    for (const auto &[i, left] : differences) {
        sums.responses[i] += left * loss;
        for (const auto &[j, right] : differences)
            sums.products[i][j] += left * right;
    }
    sums.changed = sums.changed || !differences.empty();
}

void InterferenceTable::adopt(const std::string &latencyCriticalImage,
                              const std::string &bestEffortImage, double interference)
{
    Sums &sums = m_byLatencyCriticalImage[latencyCriticalImage];
    sums.adopted[bestEffortImage] = interference;
    sums.estimates.try_emplace(bestEffortImage, interference);
    ++m_version;
}

std::pair<double, double> InterferenceTable::priorOf(const Sums &sums,
                                                     std::string_view bestEffortImage) const
{
    const auto adopted = sums.adopted.find(bestEffortImage);
    return adopted == sums.adopted.end() ? std::pair(m_settings.prior, m_settings.priorWeight)
                                         : std::pair(adopted->second, m_settings.adoptedWeight);
}

void InterferenceTable::solve()
{
    for (auto &[latencyCriticalImage, sums] : m_byLatencyCriticalImage) {
        if (!std::exchange(sums.changed, false))
            continue;
        solve(sums);
        ++m_version;
    }
}

void InterferenceTable::solve(Sums &sums) const
{
    const std::size_t count = sums.bestEffortImages.size();
    std::vector<double> estimates;
    std::vector<double> weights;
    for (const std::string &bestEffortImage : sums.bestEffortImages) {
        const auto [prior, weight] = priorOf(sums, bestEffortImage);
        estimates.push_back(prior);
        weights.push_back(weight);
    }
    const std::vector<double> priors = estimates;
    // Ridge regression towards the prior, limited to estimates that are not negative.
    for (int round = 0; round < descentRounds; ++round) {
        for (std::size_t i = 0; i < count; ++i) {
            double residual = sums.responses[i] + weights[i] * priors[i];
            for (std::size_t j = 0; j < count; ++j) {
                if (j != i)
                    residual -= sums.products[i][j] * estimates[j];
            }
            estimates[i] = std::clamp(residual / (sums.products[i][i] + weights[i]), 0.0,
                                      m_settings.maxInterference);
        }
    }
    for (std::size_t i = 0; i < count; ++i) {
        const double uncertainty =
            m_settings.observationSpread / std::sqrt(sums.products[i][i] + weights[i]);
        const double bound = estimates[i] + m_settings.marginSpreads * uncertainty;
        const bool isNegligible =
            estimates[i] < m_settings.negligible && bound < m_settings.negligibleBound;
        sums.estimates[sums.bestEffortImages[i]] = isNegligible ? 0 : bound;
        sums.responses[i] *= m_settings.retention;
        for (double &product : sums.products[i])
            product *= m_settings.retention;
    }
}

double InterferenceTable::interference(std::string_view latencyCriticalImage,
                                       std::string_view bestEffortImage) const
{
    const double unknown = m_settings.prior
        + m_settings.marginSpreads * m_settings.observationSpread
            / std::sqrt(m_settings.priorWeight);
    const auto sums = m_byLatencyCriticalImage.find(latencyCriticalImage);
    if (sums == m_byLatencyCriticalImage.end())
        return unknown;
    const auto found = sums->second.estimates.find(bestEffortImage);
    return found == sums->second.estimates.end() ? unknown : found->second;
}

const InterferenceTable::InterferenceByImage &
InterferenceTable::interferenceOn(std::string_view latencyCriticalImage) const
{
    static const InterferenceByImage none;
    const auto sums = m_byLatencyCriticalImage.find(latencyCriticalImage);
    return sums == m_byLatencyCriticalImage.end() ? none : sums->second.estimates;
}

bool InterferenceTable::isKnown(std::string_view latencyCriticalImage,
                                std::string_view bestEffortImage) const
{
    return interferenceOn(latencyCriticalImage).contains(bestEffortImage);
}

double InterferenceTable::total(std::string_view latencyCriticalImage,
                                const BestEffortActivity &activity) const
{
    double sum = 0;
    for (const auto &[bestEffortImage, share] : activity)
        sum += interference(latencyCriticalImage, bestEffortImage) * share;
    return sum;
}

} // namespace guavashift
