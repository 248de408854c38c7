#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that handles committed commands.

namespace guavashift {

void Dispatcher::recordEnd(const EndRun &end, const Lifetime &lifetime, Instant now)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr || worker->node.empty())
        return;
    FailureRecord &record = m_failureRecords[worker->node];
    if (end.end == RunEnd::Done) {
        record = {};
        worker->suspectUntil = {};
        return;
    }
    if (end.end != RunEnd::Failed)
        return;
    record.failedJobs.insert(end.task.job);
    if (record.failedJobs.size() < m_settings.failuresToSuspect)
        return;
    // Runs that end during a pause mostly began before it, and tell nothing new. The next lifetime
    // has not been paused yet.
    if (now < record.pausedUntil && worker->suspectUntil >= record.pausedUntil)
        return;
    constexpr int maxDoublings = 3;
    record.pause = record.pause == Duration::zero()
        ? m_settings.failurePause
        : std::min(record.pause * 2, m_settings.failurePause * (1 << maxDoublings));
    record.pausedUntil = now + record.pause;
    worker->suspectUntil = record.pausedUntil;
}

void Dispatcher::applied(const StageCommand &command, const StageOutcome &outcome, Instant now)
{
    m_now = now;
    std::visit(Overloaded{[](const ReplaceConfiguration &) {},
                          [&](const AcceptJob &accept) {
                              if (outcome.applied)
                                  jobAccepted(accept.job);
                          },
                          [&](const CancelJob &cancel) { withdraw(cancel.job); },
                          [&](const StartRun &start) {
                              if (outcome.applied)
                                  runBound(start, now);
                              else
                                  startNotApplied(start);
                          },
                          [&](const EndRun &end) {
                              forgetProposedEnd(end);
                              if (outcome.applied)
                                  runEnded(end, now);
                              else
                                  releaseSettled(end);
                          },
                          [&](const EvacuateDomain &) { withholdEvacuated(); },
                          [](const TakeBackDomain &) {}},
               command);
}

std::optional<BindingTimes> Dispatcher::timesOf(const StartRun &start) const
{
    const auto worker = m_pool.workers().find(start.lifetime);
    if (worker == m_pool.workers().end())
        return std::nullopt;
    const auto run = worker->second.runs.find(start.task);
    if (run == worker->second.runs.end() || run->second.run != start.run
        || run->second.decidedAt == Instant())
        return std::nullopt;
    return BindingTimes{run->second.readyAt, run->second.decidedAt};
}

void Dispatcher::jobAccepted(const std::string &id)
{
    const StageJob &job = *m_jobTable.find(id);
    accountJob(id, job);
    enqueueReadySteps(id, job);
    scheduleOccurrences(id, job);
}

void Dispatcher::runBound(const StartRun &start, Instant now)
{
    m_progress.bound(start.task.job, m_jobTable.find(start.task.job)->queue);
    if (!m_placed.contains(start.task))
        return;
    PoolWorker &worker = *m_pool.find(start.lifetime);
    PlacedRun &run = worker.runs.at(start.task);
    run.committed = true;
    run.boundAt = now;
    run.reachesOnlyItsLifetime = run.reachesOnlyItsLifetime && worker.startsReachOnlyIt;
    m_overload.account().runBound(start.task.job, start.task.step, now);
    // The order is sent at the commit or never: no later session of an agent receives it.
    if (worker.node.empty())
        return queueEnd(run, RunEnd::NotStarted, SettleReason::NoSession);
    const StageJob &job = *m_jobTable.find(start.task.job);
    if (isBoundIntoEvacuated(job, start.task))
        return withholdStart(run, worker);
    // Members of a gang are ordered all the same: the others would wait for one that is missing.
    if (worker.isOverCapacity() && !job.plan.steps[start.task.step].gang) {
        logEvent(LogLevel::Info, "start-withheld",
                 {{"task", start.task.text()},
                  {"run", start.run},
                  {"worker", start.lifetime.worker},
                  {"reason", "over its capacity"}});
        return queueEnd(run, RunEnd::NotStarted, SettleReason::OverCapacity);
    }
    run.ordered = true;
    m_orders.emplace_back(worker.node,
                          StartOrder{start.lifetime,
                                     traitsOf(start.task, start.run),
                                     job.plan.payload,
                                     checkpointFor(job, start.task),
                                     {}});
}

std::string Dispatcher::checkpointFor(const StageJob &job, const TaskRef &ref) const
{
    if (!job.plan.steps[ref.step].gang)
        return m_jobTable.find(ref)->checkpoint;
    // Any member's checkpoint is valid for the gang, and no end of a member comes between the
    // bindings of one run of it: the greatest is the same for all.
    std::string greatest;
    for (const StageTask &member : job.occurrences.at(ref.occurrence).steps[ref.step].tasks)
        greatest = std::max(greatest, member.checkpoint);
    return greatest;
}

void Dispatcher::startNotApplied(const StartRun &start)
{
    proposalLost(start);
    const StageJob *job = m_jobTable.find(start.task.job);
    if (job == nullptr || !job->isActive())
        withdraw(start.task.job);
}

void Dispatcher::releaseSettled(const EndRun &end)
{
    const auto placed = m_placed.find(end.task);
    if (placed == m_placed.end())
        return;
    const Lifetime lifetime = placed->second;
    if (m_pool.find(lifetime)->runs.at(end.task).run != end.run)
        return;
    const StageTask *task = m_jobTable.find(end.task);
    if (task != nullptr && task->stage == TaskStage::Bound)
        return;
    release(placed);
}

void Dispatcher::release(std::map<TaskRef, Lifetime>::iterator placed)
{
    const Lifetime lifetime = placed->second;
    PoolWorker &worker = *m_pool.find(lifetime);
    const PlacedRun &run = worker.runs.at(placed->first);
    if (run.committed)
        m_overload.account().runReleased(run.task.job, run.task.step, run.boundAt);
    if (run.listedSinceEnd && worker.hasFacts && !worker.unreachable) {
        // Its worker goes on with it. The next list tells when it has ended.
        worker.unboundRuns.try_emplace({run.task, run.run}, false);
        worker.unboundReserved += reservationOf(run);
    }
    m_pool.release(lifetime, placed->first);
    m_placed.erase(placed);
    if (!worker.hasFacts)
        m_pool.removeIfIdle(lifetime);
}

void Dispatcher::runEnded(const EndRun &end, Instant now)
{
    const auto placed = m_placed.find(end.task);
    std::optional<Instant> readySince;
    bool hasRun = end.end != RunEnd::NotStarted;
    if (placed != m_placed.end()) {
        // After a late end, the run placed is the next one, proposed on another worker perhaps.
        const PlacedRun &run = m_pool.find(placed->second)->runs.at(end.task);
        if (run.run == end.run) {
            updateLastListed(run);
            // A lapsed run that no list named may never have begun.
            hasRun = hasRun && (run.listed || end.end != RunEnd::Lapsed);
            if (end.end == RunEnd::NotStarted && run.readyAt != Instant())
                readySince = run.readyAt;
            recordEnd(end, placed->second, now);
            learnRunTime(run, end, now);
            m_nearPlaces.ended(std::string(m_pool.find(placed->second)->facts.rack()),
                               reservationOf(run), now);
            if (end.end == RunEnd::Done)
                learnSpeed(run, placed->second, now);
        }
        release(placed);
    }
    const StageJob *job = m_jobTable.find(end.task.job);
    if (job == nullptr)
        return;
    if (!job->isActive())
        return withdraw(end.task.job);
    noteTasksLeft(*job, end.task);
    if (hasRun)
        m_lastRunning[end.task.job] = now;
    if (job->occurrencesDone.contains(end.task.occurrence))
        occurrenceEnded(end.task.job, *job);
    const StageTask *task = m_jobTable.find(end.task);
    if (task != nullptr && task->stage == TaskStage::Waiting)
        return enqueue(end.task, readySince);
    withdrawDone(*job, end.task);
    enqueueFollowers(*job, end.task);
}

void Dispatcher::withdrawDone(const StageJob &job, const TaskRef &ref)
{
    const StepPlan &step = job.plan.steps[ref.step];
    const std::uint32_t first = step.gang ? 0 : ref.task;
    const std::uint32_t end = step.gang ? step.tasks : ref.task + 1;
    for (TaskRef member{ref.job, ref.occurrence, ref.step, first}; member.task < end;
         ++member.task) {
        if (const auto ready = m_readyByTask.find(member); ready != m_readyByTask.end()) {
            m_ready.erase(ready->second);
            m_readyByTask.erase(ready);
        }
        const auto placed = m_placed.find(member);
        if (placed != m_placed.end() && !m_pool.find(placed->second)->runs.at(member).committed)
            release(placed);
    }
}

void Dispatcher::proposalLost(const StageCommand &command)
{
    std::visit(Overloaded{[&](const StartRun &start) {
                              const auto placed = m_placed.find(start.task);
                              if (placed == m_placed.end())
                                  return;
                              const std::optional<BindingTimes> times = timesOf(start);
                              m_pool.release(placed->second, start.task);
                              m_placed.erase(placed);
                              const StageTask *task = m_jobTable.find(start.task);
                              if (task == nullptr || task->stage == TaskStage::Waiting)
                                  enqueue(start.task,
                                          times ? std::optional(times->readyAt) : std::nullopt);
                          },
                          [&](const EndRun &end) { forgetProposedEnd(end); }, [](const auto &) {}},
               command);
}

} // namespace guavashift
