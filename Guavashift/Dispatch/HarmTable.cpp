#include <Guavashift/Dispatch/HarmTable.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

/// Rounds of coordinate descent; far more than such small systems need.
constexpr int descentRounds = 15;
/// Changes of activity below this carry more noise than news.
constexpr double leastChange = 0.004;
/// Below it tails say nothing exact any more.
constexpr double leastHeadroom = 0.5;

} // namespace

HarmTable::HarmTable(const HarmSettings &settings)
    : m_settings(settings)
{
}

std::size_t HarmTable::positionOf(Sums &sums, const std::string &filler)
{
    const auto found = std::find(sums.fillers.begin(), sums.fillers.end(), filler);
    if (found != sums.fillers.end())
        return static_cast<std::size_t>(found - sums.fillers.begin());
    sums.fillers.push_back(filler);
    for (std::vector<double> &row : sums.products)
        row.push_back(0);
    sums.products.emplace_back(sums.fillers.size(), 0.0);
    sums.responses.push_back(0);
    return sums.fillers.size() - 1;
}

void HarmTable::observe(const std::string &serving, const FillerActivity &before,
                        const FillerActivity &now, double headroomBefore, double headroomNow)
{
    const double scale = std::max({headroomBefore, headroomNow, leastHeadroom});
    const double loss = (headroomBefore - headroomNow) / scale;
    FillerActivity changes = now;
    for (const auto &[filler, activity] : before)
        changes[filler] -= activity;
    Sums &sums = m_byServing[serving];
    std::vector<std::pair<std::size_t, double>> changed;
    for (const auto &[filler, difference] : changes) {
        if (std::abs(difference) >= leastChange)
            changed.emplace_back(positionOf(sums, filler), difference / scale);
    }
    for (const auto &[i, left] : changed) {
        sums.responses[i] += left * loss;
        for (const auto &[j, right] : changed)
            sums.products[i][j] += left * right;
    }
    sums.changed = sums.changed || !changed.empty();
}

void HarmTable::adopt(const std::string &serving, const std::string &filler, double harm)
{
    Sums &sums = m_byServing[serving];
    sums.adopted[filler] = harm;
    sums.harms.try_emplace(filler, harm);
    ++m_version;
}

std::pair<double, double> HarmTable::priorOf(const Sums &sums, std::string_view filler) const
{
    const auto adopted = sums.adopted.find(filler);
    return adopted == sums.adopted.end() ? std::pair(m_settings.prior, m_settings.priorWeight)
                                         : std::pair(adopted->second, m_settings.adoptedWeight);
}

void HarmTable::solve()
{
    for (auto &[serving, sums] : m_byServing) {
        if (!std::exchange(sums.changed, false))
            continue;
        solve(sums);
        ++m_version;
    }
}

void HarmTable::solve(Sums &sums) const
{
    const std::size_t count = sums.fillers.size();
    std::vector<double> harms;
    std::vector<double> weights;
    for (const std::string &filler : sums.fillers) {
        const auto [prior, weight] = priorOf(sums, filler);
        harms.push_back(prior);
        weights.push_back(weight);
    }
    const std::vector<double> priors = harms;
    // Ridge regression towards the prior; harms are never negative.
    for (int round = 0; round < descentRounds; ++round) {
        for (std::size_t i = 0; i < count; ++i) {
            double rest = sums.responses[i] + weights[i] * priors[i];
            for (std::size_t j = 0; j < count; ++j) {
                if (j != i)
                    rest -= sums.products[i][j] * harms[j];
            }
            harms[i] = std::clamp(rest / (sums.products[i][i] + weights[i]), 0.0, m_settings.most);
        }
    }
    for (std::size_t i = 0; i < count; ++i) {
        const double uncertainty = m_settings.spread / std::sqrt(sums.products[i][i] + weights[i]);
        const double bound = harms[i] + m_settings.margin * uncertainty;
        sums.harms[sums.fillers[i]] = bound < m_settings.negligible ? 0 : bound;
        sums.responses[i] *= m_settings.kept;
        for (double &product : sums.products[i])
            product *= m_settings.kept;
    }
}

double HarmTable::harm(std::string_view serving, std::string_view filler) const
{
    const double unknown = m_settings.prior
        + m_settings.margin * m_settings.spread / std::sqrt(m_settings.priorWeight);
    const auto sums = m_byServing.find(serving);
    if (sums == m_byServing.end())
        return unknown;
    const auto found = sums->second.harms.find(filler);
    return found == sums->second.harms.end() ? unknown : found->second;
}

const HarmTable::Harms &HarmTable::harmsTo(std::string_view serving) const
{
    static const Harms none;
    const auto sums = m_byServing.find(serving);
    return sums == m_byServing.end() ? none : sums->second.harms;
}

bool HarmTable::isKnown(std::string_view serving, std::string_view filler) const
{
    return harmsTo(serving).contains(filler);
}

double HarmTable::total(std::string_view serving, const FillerActivity &activity) const
{
    double sum = 0;
    for (const auto &[filler, share] : activity)
        sum += harm(serving, filler) * share;
    return sum;
}

} // namespace guavashift
