#include <Guavashift/Dispatch/Dispatcher.h>

namespace guavashift {

void Dispatcher::runsReported(const Lifetime &lifetime, std::span<const RunStatus> rows,
                              Instant now)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr)
        return;
    worker->unreachable = false;
    noteListed(*worker, rows, now);
    checkMissing(*worker, now);
    // The end of a run that the inventory listed may have been proposed before.
    stopUnbound(*worker, rows);
    reserveUnbound(*worker, rows);
    learnInterference(*worker, rows, now);
    learnFromLongRuns(*worker, now);
}

void Dispatcher::noteListed(PoolWorker &worker, std::span<const RunStatus> rows, Instant now) const
{
    for (auto &[task, run] : worker.runs)
        run.listedSinceEnd = false;
    for (const RunStatus &row : rows) {
        const auto found = worker.runs.find(row.task);
        if (found == worker.runs.end() || found->second.run != row.run)
            continue;
        found->second.listed = true;
        found->second.listedAt = now;
        found->second.missing = false;
        found->second.listedSinceEnd = m_endsProposed.contains({row.task, row.run});
    }
}

void Dispatcher::checkMissing(PoolWorker &worker, Instant now) const
{
    for (auto &[task, run] : worker.runs) {
        if (run.committed && run.listedAt != Instant()
            && now - run.listedAt > m_settings.longestLease + m_settings.leaseMargin)
            logMissing(worker.facts.lifetime, run, now);
    }
}

void Dispatcher::logMissing(const Lifetime &lifetime, PlacedRun &run, Instant now) const
{
    // Nothing can be concluded from it: the run may have ended as done, and its worker counts the
    // end as acknowledged.
    if (m_endsProposed.contains({run.task, run.run}) || std::exchange(run.missing, true))
        return;
    logEvent(LogLevel::Warning, "run-missing",
             {{"task", run.task.text()},
              {"run", run.run},
              {"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"listed_ms", toMs(now - run.listedAt)},
              {"stop_requested", run.stopRequested}});
}

void Dispatcher::settleAbsent(const Lifetime &lifetime, PlacedRun &run, SettleReason reason)
{
    if (!run.listed)
        return queueEnd(run, RunEnd::NotStarted, reason);
    const StageJob *job = m_jobTable.find(run.task.job);
    // Its end may be hidden, and be `done`. A task without an end cannot be done, and one of a job
    // that has ended is not started again.
    if (job != nullptr && job->isActive() && !run.longRunning)
        return logMissing(lifetime, run, m_now);
    queueEnd(run, RunEnd::Lapsed, reason, evidenceOf(run));
}

void Dispatcher::inventoryReported(const Lifetime &lifetime, std::span<const RunStatus> rows,
                                   Instant boundBefore)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr)
        return;
    worker->unreachable = false;
    // It refuses such calls from now on, but may have carried one out just before.
    if (std::exchange(worker->takesEarlierCalls, false))
        assumeLongestLease(*worker, m_now);
    std::map<TaskRef, std::uint32_t> running;
    for (const RunStatus &row : rows) {
        running[row.task] = std::max(running[row.task], row.run);
        m_progress.begun(row.task.job);
    }
    const std::optional<LateStartsNotice> late = std::exchange(worker->lateStarts, std::nullopt);
    worker->startsOnAnyConnection = late.has_value();
    worker->startsReachOnlyIt = !late && !worker->node.empty();
    settleEarlierLifetimes(*worker, running);
    noteListed(*worker, rows, m_now);
    for (auto &[task, run] : worker->runs) {
        const auto found = running.find(task);
        if (found != running.end() && found->second == run.run) {
            run.startIsOpen = false;
            // A stop sent to the previous session is ordered again.
            const StageJob *job = m_jobTable.find(task.job);
            run.stopRequested = false;
            if (job == nullptr || !job->isActive())
                orderStop(lifetime, *worker, run);
            continue;
        }
        const bool mayStart = late && !run.reachesOnlyItsLifetime
            && (!late->namesAll || late->runs.contains({task, run.run}));
        if (run.committed && run.boundAt <= boundBefore && !mayStart)
            settleAbsent(lifetime, run, SettleReason::NotInInventory);
    }
    // The agent may have forgotten the stops that were ordered before.
    worker->unboundRuns.clear();
    stopUnbound(*worker, rows);
    reserveUnbound(*worker, rows);
    if (worker->facts.draining)
        evacuate(*worker, boundBefore);
}

void Dispatcher::reserveUnbound(PoolWorker &worker, std::span<const RunStatus> rows) const
{
    worker.unboundReserved = {};
    worker.runsUnknown = false;
    for (const RunStatus &row : rows) {
        const auto found = worker.runs.find(row.task);
        if (found != worker.runs.end() && found->second.run == row.run)
            continue;
        // The plan of a job that has ended is discarded.
        const StageJob *job = m_jobTable.find(row.task.job);
        if (job == nullptr || row.task.step >= job->plan.steps.size())
            worker.runsUnknown = true;
        else
            worker.unboundReserved += reservationOf(job->plan.steps[row.task.step]);
    }
}

void Dispatcher::stopUnbound(PoolWorker &worker, std::span<const RunStatus> rows)
{
    if (worker.node.empty())
        return;
    std::map<PoolWorker::RunKey, bool> unbound;
    for (const RunStatus &row : rows) {
        const auto found = worker.runs.find(row.task);
        if ((found != worker.runs.end() && found->second.run == row.run)
            || isBoundToEarlier(worker.facts.lifetime, row))
            continue;
        const PoolWorker::RunKey key{row.task, row.run};
        const auto known = worker.unboundRuns.find(key);
        // Its agent repeats the stop until it is answered.
        if (known == worker.unboundRuns.end() || !known->second)
            orderStopOfUnbound(worker, row);
        unbound.emplace(key, true);
    }
    worker.unboundRuns = std::move(unbound);
}

void Dispatcher::orderStopOfUnbound(const PoolWorker &worker, const RunStatus &row)
{
    const Lifetime &lifetime = worker.facts.lifetime;
    const StageTask *task = m_jobTable.find(row.task);
    logEvent(LogLevel::Info, "unbound-run-stopped",
             {{"task", row.task.text()},
              {"run", row.run},
              {"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"current_run", task == nullptr ? 0 : task->run}});
    m_orders.emplace_back(worker.node, StopOrder{lifetime, row.task, row.run});
}

bool Dispatcher::isBoundToEarlier(const Lifetime &lifetime, const RunStatus &row) const
{
    const auto placed = m_placed.find(row.task);
    if (placed == m_placed.end() || placed->second.worker != lifetime.worker)
        return false;
    const PoolWorker &other = m_pool.workers().at(placed->second);
    return follows(m_pool.workers().at(lifetime), other) && other.runs.at(row.task).run == row.run;
}

void Dispatcher::forgetUnbound(const TaskRef &task, std::uint32_t run)
{
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (!worker.unboundRuns.empty())
            m_pool.find(lifetime)->unboundRuns.erase({task, run});
    }
}

} // namespace guavashift
