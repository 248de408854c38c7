#include <Guavashift/Fleet/Throttler.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

/// Interference of a pair of images of which nothing was learned yet.
const double unknownInterference = InterferenceTable().interference({}, {});
/// Time after its last reading after which a task is no longer tracked.
constexpr Duration forgetAfter = std::chrono::seconds(5);

} // namespace

Throttler::Throttler(const ThrottlerSettings &settings)
    : m_settings(settings)
{
}

void Throttler::learn(std::span<const InterferenceRow> rows)
{
    for (const InterferenceRow &row : rows)
        m_interference[{row.latencyCriticalImage, row.bestEffortImage}] = row.interference;
}

std::vector<InterferenceRow> Throttler::learned() const
{
    std::vector<InterferenceRow> rows;
    for (const auto &[images, interference] : m_interference)
        rows.push_back({images.first, images.second, interference});
    return rows;
}

double Throttler::interferenceOf(const std::string &latencyCriticalImage,
                                 const std::string &bestEffortImage) const
{
    const auto found = m_interference.find({latencyCriticalImage, bestEffortImage});
    return found == m_interference.end() ? unknownInterference : found->second;
}

Throttler::Shares Throttler::update(std::span<const TailReading> latencyCritical,
                                    std::span<const BestEffortUsage> bestEffort, Instant now)
{
    BestEffortActivity wanted;
    BestEffortActivity used;
    Shares shares;
    for (const BestEffortUsage &usage : bestEffort) {
        wanted[usage.image] += usage.wanted;
        used[usage.image] += usage.used;
        shares[usage.image] = 1;
    }
    for (const TailReading &reading : latencyCritical)
        track(reading, used, now);
    std::erase_if(m_tracked,
                  [&](const auto &each) { return now - each.second.readAt > forgetAfter; });
    // Throttling for one task may already be enough for the next.
    for (const TailReading &reading : latencyCritical)
        throttleFor(reading, wanted, shares);
    limitRise(latencyCritical, wanted, shares, now);
    pauseOnViolation(latencyCritical, shares, now);
    trackActivity(wanted, shares, now);
    return shares;
}

bool Throttler::mayInterfere(const std::string &latencyCriticalImage,
                             const std::string &bestEffortImage) const
{
    return interferenceOf(latencyCriticalImage, bestEffortImage)
        >= m_settings.minPausedInterference;
}

void Throttler::limitRise(std::span<const TailReading> latencyCritical,
                          const BestEffortActivity &wanted, Shares &shares, Instant now)
{
    const bool isAnyViolating =
        std::any_of(m_tracked.begin(), m_tracked.end(),
                    [](const auto &each) { return each.second.isViolating; });
    for (auto &[bestEffortImage, share] : shares) {
        std::optional<double> spare;
        for (const TailReading &reading : latencyCritical) {
            if (interferenceOf(reading.image, bestEffortImage)
                < m_settings.minThrottledInterference)
                continue;
            const double left =
                reading.tailMs ? headroom(reading.targetMs, *reading.tailMs) - 1 : 0.0;
            spare = std::min(spare.value_or(left), left);
        }
        TrackedActivity &activity = m_activity[bestEffortImage];
        if (!isAnyViolating && now - activity.risenAt >= m_settings.confirmationTime)
            activity.confirmed = std::max(activity.confirmed, activity.allowed);
        const double demand = wanted.at(bestEffortImage);
        if (!spare || demand <= 0)
            continue;
        const double rise =
            std::max(*spare / m_settings.unconfirmedInterference, m_settings.minRise);
        share = std::min(share, (activity.confirmed + rise) / demand);
    }
}

void Throttler::trackActivity(const BestEffortActivity &wanted, const Shares &shares, Instant now)
{
    // Smaller changes need no confirmation of their own.
    constexpr double sameActivity = 0.01;
    for (const auto &[bestEffortImage, share] : shares) {
        TrackedActivity &activity = m_activity[bestEffortImage];
        const double allowed = share * wanted.at(bestEffortImage);
        if (allowed > activity.allowed + sameActivity)
            activity.risenAt = now;
        activity.allowed = allowed;
        activity.readAt = now;
        // Activity that only ended with its runs stays confirmed.
        if (share < 1)
            activity.confirmed = std::min(activity.confirmed, allowed);
    }
    std::erase_if(m_activity,
                  [&](const auto &each) { return now - each.second.readAt > forgetAfter; });
}

void Throttler::track(const TailReading &reading, const BestEffortActivity &used, Instant now)
{
    TrackedTask &tracked = m_tracked[reading.task];
    tracked.readAt = now;
    tracked.isMasked = !reading.tailMs;
    if (reading.tailMs) {
        double baseHeadroom = headroom(reading.targetMs, *reading.tailMs);
        for (const auto &[bestEffortImage, activity] : used)
            baseHeadroom += interferenceOf(reading.image, bestEffortImage) * activity;
        tracked.baseHeadroom.update(baseHeadroom, now);
    }
    const bool isViolating = tracked.isMasked || *reading.tailMs > reading.targetMs;
    if (isViolating && !tracked.isViolating)
        tracked.violatingSince = now;
    tracked.isViolating = isViolating;
}

void Throttler::throttleFor(const TailReading &reading, const BestEffortActivity &wanted,
                            Shares &shares) const
{
    const TrackedTask &tracked = m_tracked.at(reading.task);
    const double baseHeadroom = tracked.baseHeadroom.lowest(m_settings.headroomForecast);
    if (reading.targetMs <= 0 || baseHeadroom < 1 / m_settings.unattainable)
        return;
    double excess = 1 / m_settings.targetFraction - baseHeadroom;
    std::vector<std::pair<double, std::string>> byInterference;
    for (const auto &[bestEffortImage, activity] : wanted) {
        const double interference = interferenceOf(reading.image, bestEffortImage);
        excess += interference * activity * shares[bestEffortImage];
        if (interference >= m_settings.minThrottledInterference)
            byInterference.emplace_back(interference, bestEffortImage);
    }
    std::sort(byInterference.rbegin(), byInterference.rend());
    for (const auto &[interference, bestEffortImage] : byInterference) {
        if (excess <= 0)
            return;
        const double fullInterference = interference * wanted.at(bestEffortImage);
        if (fullInterference <= 0)
            continue;
        const double cut = std::min(shares[bestEffortImage], excess / fullInterference);
        shares[bestEffortImage] -= cut;
        excess -= cut * fullInterference;
    }
}

void Throttler::pauseOnViolation(std::span<const TailReading> latencyCritical, Shares &shares,
                                 Instant now)
{
    if (m_paused)
        endPause(now);
    startPause(latencyCritical, now);
    if (!m_paused)
        return;
    for (auto &[bestEffortImage, share] : shares) {
        const std::string &paused = bestEffortImage;
        const bool interferes =
            std::any_of(m_pausedFor.begin(), m_pausedFor.end(),
                        [&](const std::string &image) { return mayInterfere(image, paused); });
        if (m_allPaused || interferes)
            share = 0;
    }
}

void Throttler::startPause(std::span<const TailReading> latencyCritical, Instant now)
{
    for (const TailReading &reading : latencyCritical) {
        const TrackedTask &tracked = m_tracked.at(reading.task);
        const Duration over = now - tracked.violatingSince;
        if (!tracked.isViolating || now < tracked.exemptUntil || over < m_settings.pauseAfter)
            continue;
        if (!m_paused) {
            m_paused = true;
            m_pausedSince = now;
        }
        m_pausedFor.insert(reading.image);
        // The learned interference may be wrong.
        if (over >= m_settings.pauseAllAfter && !m_allPaused) {
            m_allPaused = true;
            m_pausedSince = now;
        }
    }
}

void Throttler::endPause(Instant now)
{
    const Duration pausedFor = now - m_pausedSince;
    const bool isAnyMasked = std::any_of(m_tracked.begin(), m_tracked.end(), [&](const auto &each) {
        return each.second.isMasked && now >= each.second.exemptUntil;
    });
    if (pausedFor < m_settings.minPause || (isAnyMasked && pausedFor < m_settings.maxPause))
        return;
    m_paused = false;
    m_pausedFor.clear();
    if (!std::exchange(m_allPaused, false))
        return;
    for (auto &[task, tracked] : m_tracked) {
        // The pause did not help this task, so best-effort tasks are not what slows it.
        if (tracked.isViolating)
            tracked.exemptUntil = now + m_settings.exemption;
    }
}

} // namespace guavashift
