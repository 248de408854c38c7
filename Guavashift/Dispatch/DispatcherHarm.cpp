#include <Guavashift/Dispatch/Dispatcher.h>

#include <cmath>

// The part of Dispatcher that learns what fillers do to serving tasks.

namespace guavashift {

namespace {

/// Weight of the newest reading of a task's own part.
constexpr double newest = 0.4;

} // namespace

void Dispatcher::learnHarm(PoolWorker &worker, std::span<const RunRow> rows, Instant now)
{
    const double capacity =
        static_cast<double>(std::max<std::int64_t>(worker.facts.capacity.milliCores, 1));
    FillerActivity activity;
    for (const RunRow &row : rows) {
        const auto run = worker.runs.find(row.task);
        if (run != worker.runs.end() && run->second.run == row.run && run->second.fillsLeftover)
            activity[run->second.image] += row.figure / capacity;
    }
    const bool follows =
        worker.activityAt != Instant() && now - worker.activityAt < m_settings.harmWindow;
    for (const RunRow &row : rows) {
        const auto found = worker.runs.find(row.task);
        if (found == worker.runs.end() || found->second.run != row.run)
            continue;
        PlacedRun &run = found->second;
        if (run.serves && row.figure > 0) {
            const double room = headroom(run.tailTargetMs, row.figure);
            if (follows && run.rowAt != Instant() && run.row.figure > 0)
                m_harms.observe(run.image, worker.activity, activity,
                                headroom(run.tailTargetMs, run.row.figure), room);
            const double own = room + m_harms.total(run.image, activity);
            run.own = run.rowAt == Instant() ? own : run.own + newest * (own - run.own);
        }
        run.row = row;
        run.rowAt = now;
    }
    worker.activity = std::move(activity);
    worker.activityAt = now;
    worker.spareVersion = 0;
}

void Dispatcher::harmsReported(std::span<const HarmRow> rows)
{
    for (const HarmRow &row : rows) {
        if (!m_harms.isKnown(row.serving, row.filler))
            m_harms.adopt(row.serving, row.filler, row.harm);
    }
}

std::vector<std::pair<std::string, std::vector<HarmRow>>> Dispatcher::takeHarms(Instant now)
{
    std::vector<std::pair<std::string, std::vector<HarmRow>>> told;
    if (now < m_nextHarms)
        return told;
    m_nextHarms = now + m_settings.harmInterval;
    m_harms.solve();
    for (const auto &[lifetime, known] : m_pool.workers()) {
        if (known.node.empty())
            continue;
        std::set<std::string> serving;
        for (const auto &[task, run] : known.runs) {
            if (run.serves)
                serving.insert(run.image);
        }
        // Also of fillers that are not there yet: they start at full speed.
        std::vector<HarmRow> rows;
        for (const std::string &each : serving) {
            for (const auto &[filler, harm] : m_harms.harmsTo(each))
                rows.push_back({each, filler, harm});
        }
        PoolWorker &worker = *m_pool.find(lifetime);
        const bool isKnown = std::all_of(rows.begin(), rows.end(), [&](const HarmRow &row) {
            return std::any_of(
                worker.harmsTold.begin(), worker.harmsTold.end(), [&](const HarmRow &before) {
                    return before.serving == row.serving && before.filler == row.filler
                        && std::abs(before.harm - row.harm) < m_settings.harmStep;
                });
        });
        if (isKnown)
            continue;
        for (const HarmRow &row : rows)
            logEvent(LogLevel::Debug, "harm-told",
                     {{"worker", lifetime.worker},
                      {"serving", row.serving},
                      {"filler", row.filler},
                      {"harm", row.harm}});
        worker.harmsTold = rows;
        told.emplace_back(worker.node, std::move(rows));
    }
    return told;
}

} // namespace guavashift
