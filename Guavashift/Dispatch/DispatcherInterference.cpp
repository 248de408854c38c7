#include <Guavashift/Dispatch/Dispatcher.h>

#include <cmath>

// The part of Dispatcher that learns the interference of best-effort tasks.

namespace guavashift {

namespace {

/// Weight of the newest sample in the smoothed headroom of a task without best-effort tasks.
constexpr double newest = 0.4;

} // namespace

void Dispatcher::learnInterference(PoolWorker &worker, std::span<const RunStatus> rows, Instant now)
{
    BestEffortActivity activity;
    for (const RunStatus &row : rows) {
        const auto run = worker.runs.find(row.task);
        if (run != worker.runs.end() && run->second.run == row.run && run->second.bestEffort)
            activity[run->second.image] += worker.shareOfProcessors(row.measurement);
    }
    const bool isConsecutive =
        worker.activityAt != Instant() && now - worker.activityAt < m_settings.maxReportGap;
    for (const RunStatus &row : rows) {
        const auto found = worker.runs.find(row.task);
        if (found == worker.runs.end() || found->second.run != row.run)
            continue;
        PlacedRun &run = found->second;
        if (run.latencyCritical && row.measurement > 0) {
            const double currentHeadroom = headroom(run.tailTargetMs, row.measurement);
            if (isConsecutive && run.lastStatusAt != Instant() && run.lastStatus.measurement > 0)
                m_interference.observe(run.image, worker.activity, activity,
                                       headroom(run.tailTargetMs, run.lastStatus.measurement),
                                       currentHeadroom);
            const double own = currentHeadroom + m_interference.total(run.image, activity);
            run.ownHeadroom = run.lastStatusAt == Instant()
                ? own
                : run.ownHeadroom + newest * (own - run.ownHeadroom);
        }
        run.lastStatus = row;
        run.lastStatusAt = now;
    }
    worker.activity = std::move(activity);
    worker.activityAt = now;
    worker.spareVersion = 0;
}

void Dispatcher::interferenceReported(std::span<const InterferenceRow> rows)
{
    for (const InterferenceRow &row : rows) {
        if (!m_interference.isKnown(row.latencyCriticalImage, row.bestEffortImage))
            m_interference.adopt(row.latencyCriticalImage, row.bestEffortImage, row.interference);
    }
}

std::vector<std::pair<std::string, std::vector<InterferenceRow>>>
Dispatcher::takeInterference(Instant now)
{
    std::vector<std::pair<std::string, std::vector<InterferenceRow>>> updates;
    if (now < m_nextInterference)
        return updates;
    m_nextInterference = now + m_settings.interferenceInterval;
    m_interference.solve();
    for (const auto &[lifetime, known] : m_pool.workers()) {
        if (known.node.empty())
            continue;
        std::set<std::string> latencyCriticalImages;
        for (const auto &[task, run] : known.runs) {
            if (run.latencyCritical)
                latencyCriticalImages.insert(run.image);
        }
        // Includes images that are not placed there yet: their tasks start at full speed.
        std::vector<InterferenceRow> rows;
        for (const std::string &each : latencyCriticalImages) {
            for (const auto &[bestEffortImage, interference] : m_interference.interferenceOn(each))
                rows.push_back({each, bestEffortImage, interference});
        }
        PoolWorker &worker = *m_pool.find(lifetime);
        const bool isKnown = std::all_of(rows.begin(), rows.end(), [&](const InterferenceRow &row) {
            return std::any_of(worker.sentInterference.begin(), worker.sentInterference.end(),
                               [&](const InterferenceRow &before) {
                                   return before.latencyCriticalImage == row.latencyCriticalImage
                                       && before.bestEffortImage == row.bestEffortImage
                                       && std::abs(before.interference - row.interference)
                                       < m_settings.minInterferenceChange;
                               });
        });
        if (isKnown)
            continue;
        for (const InterferenceRow &row : rows)
            logEvent(LogLevel::Debug, "interference-sent",
                     {{"worker", lifetime.worker},
                      {"serving", row.latencyCriticalImage},
                      {"filler", row.bestEffortImage},
                      {"harm", row.interference}});
        worker.sentInterference = rows;
        updates.emplace_back(worker.node, std::move(rows));
    }
    return updates;
}

} // namespace guavashift
