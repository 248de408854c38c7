#include <Guavashift/Dispatch/Dispatcher.h>

#include <cmath>

// The part of Dispatcher that learns the interference of best-effort tasks.

namespace guavashift {

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
            // Between workers the variation of the load has no part in the difference, over time
            // it has.
            const bool isCompared =
                m_comparedSteps.contains({row.task.job, row.task.occurrence, row.task.step});
            if (!isCompared && isConsecutive && run.lastStatusAt != Instant()
                && run.lastStatus.measurement > 0)
                m_interference.observe(run.image, worker.activity, activity,
                                       headroom(run.tailTargetMs, run.lastStatus.measurement),
                                       currentHeadroom);
            run.ownHeadroom.update(currentHeadroom + m_interference.total(run.image, activity),
                                   now);
        }
        if (run.lastStatusAt == Instant())
            m_progress.begun(row.task.job);
        run.lastStatus = row;
        run.lastStatusAt = now;
    }
    worker.activity = std::move(activity);
    worker.activityAt = now;
    worker.spareVersion = 0;
}

void Dispatcher::compareWorkers(Instant now)
{
    struct Comparison
    {
        std::string image;
        std::vector<HeadroomSample> samples;
    };
    std::map<StepRef, Comparison> comparisons;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (worker.activityAt == Instant()
            || now - worker.activityAt > m_settings.interferenceInterval)
            continue;
        // The tasks of one step on a worker are disturbed alike, so together they are one sample.
        std::map<StepRef, std::pair<double, int>> sums;
        for (const auto &[task, run] : worker.runs) {
            if (!run.latencyCritical || run.lastStatusAt != worker.activityAt
                || run.lastStatus.measurement <= 0)
                continue;
            const StepRef step{task.job, task.occurrence, task.step};
            auto &[sum, count] = sums[step];
            sum += headroom(run.tailTargetMs, run.lastStatus.measurement);
            ++count;
            comparisons[step].image = run.image;
        }
        for (const auto &[step, sum] : sums)
            comparisons[step].samples.push_back({sum.first / sum.second, &worker.activity});
    }
    m_comparedSteps.clear();
    for (const auto &[step, comparison] : comparisons) {
        if (comparison.samples.size() < 2)
            continue;
        m_comparedSteps.insert(step);
        m_interference.compare(comparison.image, comparison.samples);
    }
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
    compareWorkers(now);
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
