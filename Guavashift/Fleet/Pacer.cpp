#include <Guavashift/Fleet/Pacer.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

/// Of a pair of which nothing was learned yet.
const double unknownHarm = InterferenceTable().interference({}, {});
constexpr Duration forgetAfter = std::chrono::seconds(5);

} // namespace

Pacer::Pacer(const PacerSettings &settings)
    : m_settings(settings)
{
}

void Pacer::learn(std::span<const InterferenceRow> rows)
{
    for (const InterferenceRow &row : rows)
        m_harms[{row.latencyCriticalImage, row.bestEffortImage}] = row.interference;
}

std::vector<InterferenceRow> Pacer::learned() const
{
    std::vector<InterferenceRow> rows;
    for (const auto &[images, harm] : m_harms)
        rows.push_back({images.first, images.second, harm});
    return rows;
}

double Pacer::harmOf(const std::string &serving, const std::string &filler) const
{
    const auto found = m_harms.find({serving, filler});
    return found == m_harms.end() ? unknownHarm : found->second;
}

Pacer::Paces Pacer::update(std::span<const ServingReading> serving,
                           std::span<const FillerReading> fillers, Instant now)
{
    BestEffortActivity wanted;
    BestEffortActivity used;
    Paces paces;
    for (const FillerReading &filler : fillers) {
        wanted[filler.image] += filler.wanted;
        used[filler.image] += filler.used;
        paces[filler.image] = 1;
    }
    for (const ServingReading &reading : serving)
        watch(reading, used, now);
    std::erase_if(m_watched,
                  [&](const auto &each) { return now - each.second.readAt > forgetAfter; });
    // Slowing down for one task may already be enough for the next.
    for (const ServingReading &reading : serving)
        slowDownFor(reading, wanted, paces);
    restIfOver(serving, paces, now);
    return paces;
}

void Pacer::watch(const ServingReading &reading, const BestEffortActivity &used, Instant now)
{
    Watched &watched = m_watched[reading.task];
    const bool added = watched.readAt == Instant();
    watched.readAt = now;
    watched.isHidden = !reading.tailMs;
    if (reading.tailMs) {
        double own = headroom(reading.targetMs, *reading.tailMs);
        for (const auto &[filler, activity] : used)
            own += harmOf(reading.image, filler) * activity;
        watched.own = added ? own : watched.own + m_settings.newest * (own - watched.own);
    }
    const bool isOver = watched.isHidden || *reading.tailMs > reading.targetMs;
    if (isOver && !watched.isOver)
        watched.overSince = now;
    watched.isOver = isOver;
}

void Pacer::slowDownFor(const ServingReading &reading, const BestEffortActivity &wanted,
                        Paces &paces) const
{
    const Watched &watched = m_watched.at(reading.task);
    if (reading.targetMs <= 0 || watched.own < 1 / m_settings.hopeless)
        return;
    double excess = 1 / m_settings.limit - watched.own;
    std::vector<std::pair<double, std::string>> byHarm;
    for (const auto &[filler, activity] : wanted) {
        const double harm = harmOf(reading.image, filler);
        excess += harm * activity * paces[filler];
        if (harm > 0)
            byHarm.emplace_back(harm, filler);
    }
    std::sort(byHarm.rbegin(), byHarm.rend());
    for (const auto &[harm, filler] : byHarm) {
        if (excess <= 0)
            return;
        const double whole = harm * wanted.at(filler);
        if (whole <= 0)
            continue;
        const double cut = std::min(paces[filler], excess / whole);
        paces[filler] -= cut;
        excess -= cut * whole;
    }
}

void Pacer::restIfOver(std::span<const ServingReading> serving, Paces &paces, Instant now)
{
    if (m_resting)
        endRest(now);
    beginRest(serving, now);
    if (!m_resting)
        return;
    const auto mayHarm = [this](const std::string &filler) {
        return std::any_of(m_restFor.begin(), m_restFor.end(),
                           [&](const std::string &image) { return harmOf(image, filler) > 0; });
    };
    for (auto &[filler, pace] : paces) {
        if (m_allRest || mayHarm(filler))
            pace = 0;
    }
}

void Pacer::beginRest(std::span<const ServingReading> serving, Instant now)
{
    for (const ServingReading &reading : serving) {
        const Watched &watched = m_watched.at(reading.task);
        const Duration over = now - watched.overSince;
        if (!watched.isOver || now < watched.excusedUntil || over < m_settings.overLimit)
            continue;
        if (!m_resting) {
            m_resting = true;
            m_restSince = now;
        }
        m_restFor.insert(reading.image);
        // What was learned may be wrong.
        if (over >= m_settings.longOver && !m_allRest) {
            m_allRest = true;
            m_restSince = now;
        }
    }
}

void Pacer::endRest(Instant now)
{
    const Duration rested = now - m_restSince;
    const bool isAnyHidden = std::any_of(m_watched.begin(), m_watched.end(), [&](const auto &each) {
        return each.second.isHidden && now >= each.second.excusedUntil;
    });
    if (rested < m_settings.rest || (isAnyHidden && rested < m_settings.longestRest))
        return;
    m_resting = false;
    m_restFor.clear();
    if (!std::exchange(m_allRest, false))
        return;
    for (auto &[task, watched] : m_watched) {
        // Rest did not help it: it is over by its own doing.
        if (watched.isOver)
            watched.excusedUntil = now + m_settings.excuse;
    }
}

} // namespace guavashift
