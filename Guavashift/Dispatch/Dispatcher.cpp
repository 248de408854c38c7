#include <Guavashift/Dispatch/Dispatcher.h>

namespace guavashift {

namespace {

NearPlacesSettings nearPlacesSettings(const DispatchSettings &dispatch)
{
    NearPlacesSettings settings;
    settings.wait.remoteFactor = dispatch.remoteFactor;
    return settings;
}

} // namespace

Dispatcher::Dispatcher(const DispatchSettings &settings, const JobTable &jobTable)
    : m_settings(settings)
    , m_jobTable(jobTable)
    , m_evacuation(settings.evacuation, jobTable.evacuations())
    , m_coldWorkers(settings.warmUp)
    , m_nearPlaces(nearPlacesSettings(settings))
    , m_speeds(settings.workerSpeed)
{
}

void Dispatcher::start(Instant now)
{
    m_now = now;
    stop();
    m_earlierAnswers = EarlierAnswers(m_jobTable.answeredLifetimes());
    for (const auto &[id, job] : m_jobTable.jobs()) {
        if (job.isActive())
            accountJob(id, job);
        if (job.isActive() && job.started)
            m_progress.bound(id, job.queue);
        if (job.occurrencesDone.size() > 0)
            m_progress.begun(id);
        for (const auto &[number, occurrence] : job.occurrences) {
            for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
                for (std::uint32_t t = 0; t < occurrence.steps[s].tasks.size(); ++t) {
                    const StageTask &task = occurrence.steps[s].tasks[t];
                    if (task.stage == TaskStage::Done || task.failures > 0
                        || !task.checkpoint.empty())
                        m_progress.begun(id);
                    if (task.stage != TaskStage::Bound)
                        continue;
                    const TaskRef ref{id, number, s, t};
                    PlacedRun run = placedRun(ref, task.run);
                    run.committed = true;
                    run.boundAt = now;
                    m_pool.place(task.lifetime, std::move(run));
                    m_placed.emplace(ref, task.lifetime);
                    m_overload.account().runBound(id, s, now);
                    if (job.isActive() && job.plan.steps[s].longRunning)
                        m_lastListed.emplace(ref, now);
                }
            }
        }
        if (job.isActive()) {
            enqueueReadySteps(id, job);
            scheduleOccurrences(id, job);
        }
    }
    // It is not known which lifetimes have had their inventory, nor when. Until then, each of them,
    // or the next one under its name, may have taken calls for an earlier one just now.
    for (const auto &[lifetime, known] : m_pool.workers()) {
        PoolWorker &worker = *m_pool.find(lifetime);
        worker.takesEarlierCalls = true;
        assumeLongestLease(worker, now);
    }
}

void Dispatcher::stop()
{
    m_pool.clear();
    m_ready.clear();
    m_readyByTask.clear();
    m_placed.clear();
    m_lastListed.clear();
    m_lastRunning.clear();
    m_nextIdleStarts.clear();
    m_progress.clear();
    m_overload.reset(m_now);
    m_schedules.clear();
    m_due.clear();
    m_comparedSteps.clear();
    m_speeds.clear();
    m_slowWorkers.clear();
    m_failureRecords.clear();
    m_answered.clear();
    m_earlierAnswers = {};
    m_endedWorkers.clear();
    m_lastTrials.clear();
    m_commands.clear();
    m_orders.clear();
    m_endsProposed.clear();
}

PlacedRun Dispatcher::placedRun(const TaskRef &ref, std::uint32_t run) const
{
    const StepPlan &step = m_jobTable.find(ref.job)->plan.steps[ref.step];
    PlacedRun placed;
    placed.task = ref;
    placed.run = run;
    placed.size = step.size;
    placed.bestEffort = step.bestEffort;
    placed.latencyCritical = step.tailTargetMs > 0;
    placed.longRunning = step.longRunning;
    placed.image = step.image;
    placed.suspected = crashesOf(ref) > 0;
    placed.tailTargetMs = static_cast<double>(step.tailTargetMs);
    return placed;
}

Dispatcher::Chains Dispatcher::chainsOf(const JobPlan &plan)
{
    Chains chains;
    std::vector<std::int64_t> &remaining = chains.remaining;
    remaining.resize(plan.steps.size(), 0);
    for (std::size_t i = plan.steps.size(); i > 0; --i) {
        const std::size_t at = i - 1;
        remaining[at] += plan.steps[at].estimateMs;
        for (const std::uint32_t earlier : plan.steps[at].after)
            remaining[earlier] = std::max(remaining[earlier], remaining[at]);
        chains.longest = std::max(chains.longest, remaining[at]);
    }
    return chains;
}

ReadyTask Dispatcher::readyTask(const StageJob &job, const TaskRef &ref, const Chains &chains) const
{
    ReadyTask ready;
    ready.task = ref;
    const QueueSettings &queue = m_jobTable.queueSettingsOf(job);
    const WallMs due = job.plan.occurrences == 0 ? 0 : job.plan.dueAt(ref.occurrence);
    const JobWorth worth = worthOf(queue, chains.longest, std::max(job.acceptedAt, due));
    ready.priority = queue.priority;
    ready.objective = worth.objective;
    ready.worthlessAt = worth.worthlessAt;
    ready.remainingMs = chains.remaining[ref.step];
    ready.longRunning = job.plan.steps[ref.step].longRunning;
    ready.suspected = crashesOf(ref) > 0;
    return ready;
}

void Dispatcher::enqueue(const TaskRef &ref, std::optional<Instant> since)
{
    const StageJob *job = m_jobTable.find(ref.job);
    if (mayEnqueue(job, ref))
        enqueue(*job, ref, chainsOf(job->plan), since.value_or(m_now));
}

bool Dispatcher::mayEnqueue(const StageJob *job, const TaskRef &ref) const
{
    return job != nullptr && job->isActive() && !m_placed.contains(ref)
        && !m_readyByTask.contains(ref);
}

void Dispatcher::enqueue(const StageJob &job, const TaskRef &ref, const Chains &chains,
                         Instant since)
{
    ReadyTask ready = readyTask(job, ref, chains);
    ready.readyAt = since;
    m_ready.insert(ready);
    m_readyByTask.emplace(ref, ready);
    if (ready.longRunning)
        m_lastListed.emplace(ref, ready.readyAt);
}

void Dispatcher::enqueueStep(const std::string &id, const StageJob &job, std::uint32_t occurrence,
                             std::uint32_t step, const Chains &chains)
{
    for (std::uint32_t t = 0; t < job.plan.steps[step].tasks; ++t) {
        const TaskRef ref{id, occurrence, step, t};
        const StageTask *task = m_jobTable.find(ref);
        if ((task == nullptr || task->stage == TaskStage::Waiting) && mayEnqueue(&job, ref))
            enqueue(job, ref, chains, m_now);
    }
}

void Dispatcher::enqueueReadySteps(const std::string &id, const StageJob &job)
{
    const Chains chains = chainsOf(job.plan);
    for (const auto &[number, occurrence] : job.occurrences) {
        for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
            if (!occurrence.steps[s].isDone() && JobTable::isReady(job, number, s))
                enqueueStep(id, job, number, s, chains);
        }
    }
}

void Dispatcher::enqueueFollowers(const StageJob &job, const TaskRef &ref)
{
    const auto found = job.occurrences.find(ref.occurrence);
    if (found == job.occurrences.end() || !found->second.steps[ref.step].isDone())
        return;
    const Chains chains = chainsOf(job.plan);
    for (std::uint32_t s = ref.step + 1; s < job.plan.steps.size(); ++s) {
        const std::vector<std::uint32_t> &after = job.plan.steps[s].after;
        if (std::find(after.begin(), after.end(), ref.step) != after.end()
            && JobTable::isReady(job, ref.occurrence, s))
            enqueueStep(ref.job, job, ref.occurrence, s, chains);
    }
}

void Dispatcher::scheduleOccurrences(const std::string &id, const StageJob &job)
{
    if (job.plan.occurrences == 0)
        return;
    Schedule &schedule = m_schedules[id];
    schedule.next = job.occurrencesDone.firstMissing();
    schedule.open = static_cast<std::uint32_t>(job.occurrences.size());
    scheduleNext(id, job, schedule);
}

void Dispatcher::scheduleNext(const std::string &id, const StageJob &job, Schedule &schedule)
{
    // Occurrences of which an earlier leader has bound a task are open already.
    while (
        schedule.next < job.plan.occurrences
        && (job.occurrencesDone.contains(schedule.next) || job.occurrences.contains(schedule.next)))
        ++schedule.next;
    const std::uint32_t most =
        std::max(m_settings.maxOpenTasks / std::max(job.plan.taskCount(), 1U), 1U);
    if (schedule.next >= job.plan.occurrences || schedule.open >= most)
        return;
    schedule.due = job.plan.dueAt(schedule.next);
    m_due.emplace(*schedule.due, id);
}

void Dispatcher::beginDueOccurrences(WallMs wallNow)
{
    std::uint32_t tasks = 0;
    while (!m_due.empty() && m_due.begin()->first <= wallNow && tasks < m_settings.maxOpenTasks) {
        const std::string id = m_due.begin()->second;
        m_due.erase(m_due.begin());
        Schedule &schedule = m_schedules.at(id);
        const StageJob &job = *m_jobTable.find(id);
        const std::uint32_t occurrence = schedule.next++;
        ++schedule.open;
        schedule.due.reset();
        const Chains chains = chainsOf(job.plan);
        for (std::uint32_t s = 0; s < job.plan.steps.size(); ++s) {
            if (job.plan.steps[s].after.empty())
                enqueueStep(id, job, occurrence, s, chains);
        }
        tasks += job.plan.taskCount();
        scheduleNext(id, job, schedule);
    }
}

void Dispatcher::occurrenceEnded(const std::string &id, const StageJob &job)
{
    const auto found = m_schedules.find(id);
    if (found == m_schedules.end())
        return;
    Schedule &schedule = found->second;
    --schedule.open;
    if (!schedule.due)
        scheduleNext(id, job, schedule);
}

void Dispatcher::removeSchedule(const std::string &id)
{
    const auto found = m_schedules.find(id);
    if (found == m_schedules.end())
        return;
    if (found->second.due)
        m_due.erase({*found->second.due, id});
    m_schedules.erase(found);
}

void Dispatcher::withdraw(const std::string &id)
{
    m_progress.ended(id);
    m_lastRunning.erase(id);
    m_overload.ended(id);
    removeSchedule(id);
    for (auto at = m_lastTrials.lower_bound({id, 0, 0});
         at != m_lastTrials.end() && std::get<0>(at->first) == id;)
        at = m_lastTrials.erase(at);
    const TaskRef first{id, 0, 0, 0};
    for (auto at = m_readyByTask.lower_bound(first);
         at != m_readyByTask.end() && at->first.job == id;) {
        m_ready.erase(at->second);
        at = m_readyByTask.erase(at);
    }
    for (auto at = m_placed.lower_bound(first); at != m_placed.end() && at->first.job == id; ++at) {
        PoolWorker *worker = m_pool.find(at->second);
        if (worker == nullptr)
            continue;
        const auto run = worker->runs.find(at->first);
        if (run != worker->runs.end())
            orderStop(at->second, *worker, run->second);
    }
}

void Dispatcher::orderStop(const Lifetime &lifetime, PoolWorker &worker, PlacedRun &run)
{
    if (!run.committed || run.stopRequested)
        return;
    run.stopRequested = true;
    if (!worker.node.empty())
        m_orders.emplace_back(worker.node, StopOrder{lifetime, run.task, run.run});
}

void Dispatcher::evacuate(PoolWorker &worker, Instant)
{
    for (auto &[task, run] : worker.runs) {
        const StageJob *job = m_jobTable.find(task.job);
        if (job == nullptr || job->plan.steps.empty())
            continue;
        // Tasks that can resume elsewhere from a checkpoint move at once; the others may still end
        // before the worker leaves.
        if (job->plan.steps[task.step].checkpoints)
            orderStop(worker.facts.lifetime, worker, run);
    }
}

void Dispatcher::queueEnd(const PlacedRun &run, RunEnd end, SettleReason reason,
                          CrashEvidence evidence)
{
    if (!recordProposedEnd(run.task, run.run, end))
        return;
    logSettled(run, end, reason);
    withdrawStart(run);
    m_commands.emplace_back(EndRun{run.task, run.run, end, run.lastStatus.checkpoint, evidence});
}

void Dispatcher::withdrawStart(const PlacedRun &run)
{
    std::erase_if(m_orders, [&](const auto &each) {
        const auto *start = std::get_if<StartOrder>(&each.second);
        return start != nullptr && start->traits.run == run.run && start->traits.task == run.task;
    });
}

void Dispatcher::logSettled(const PlacedRun &run, RunEnd end, SettleReason reason) const
{
    const Lifetime &lifetime = m_placed.at(run.task);
    const std::string listedMs =
        run.lastStatusAt == Instant() ? "never" : std::to_string(toMs(m_now - run.lastStatusAt));
    logEvent(LogLevel::Info, "run-settled",
             {{"task", run.task.text()},
              {"run", run.run},
              {"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"end", nameOf(end)},
              {"reason", nameOf(reason)},
              {"bound_ms", toMs(m_now - run.boundAt)},
              {"listed_ms", listedMs}});
}

bool Dispatcher::recordProposedEnd(const TaskRef &task, std::uint32_t run, RunEnd end)
{
    const auto [position, added] = m_endsProposed.try_emplace({task, run}, end);
    if (!added && (end != RunEnd::Done || position->second == RunEnd::Done))
        return false;
    position->second = end;
    return true;
}

void Dispatcher::forgetProposedEnd(const EndRun &end)
{
    const auto found = m_endsProposed.find({end.task, end.run});
    if (found != m_endsProposed.end() && found->second == end.end)
        m_endsProposed.erase(found);
}

void Dispatcher::startRefused(const Lifetime &lifetime, const TaskRef &task, std::uint32_t run,
                              Instant now)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr)
        return;
    worker->unboundRuns.erase({task, run});
    const auto found = worker->runs.find(task);
    // The refusal of a run that was settled before answers its stop, and tells nothing about the
    // worker.
    if (found == worker->runs.end() || found->second.run != run || !found->second.committed)
        return;
    // A stop found no run that was listed before: that is no refusal of its start.
    if (!found->second.listed)
        worker->refusesUntil = now + m_settings.refusalPause;
    settleAbsent(lifetime, found->second, SettleReason::StartRefused);
}

const PlacedRun *Dispatcher::committedRun(const TaskRef &ref, std::uint32_t run)
{
    const auto placed = m_placed.find(ref);
    if (placed == m_placed.end())
        return nullptr;
    const PoolWorker *worker = m_pool.find(placed->second);
    const auto found = worker->runs.find(ref);
    if (found == worker->runs.end() || found->second.run != run || !found->second.committed)
        return nullptr;
    return &found->second;
}

bool Dispatcher::isLateDone(const EndRun &end) const
{
    const StageJob *job = m_jobTable.find(end.task.job);
    const StageTask *task = m_jobTable.find(end.task);
    return end.end == RunEnd::Done && task != nullptr && job->isActive()
        && !job->plan.steps[end.task.step].longRunning && task->stage == TaskStage::Waiting
        && task->run == end.run;
}

void Dispatcher::endReported(const EndRun &end)
{
    if (end.end != RunEnd::NotStarted)
        m_progress.begun(end.task.job);
    const PlacedRun *run = committedRun(end.task, end.run);
    if (run == nullptr)
        forgetUnbound(end.task, end.run);
    // This leader or an earlier one may have settled the run before it read the report.
    if (run == nullptr && !isLateDone(end))
        return;
    if (!recordProposedEnd(end.task, end.run, end.end))
        return;
    EndRun command = end;
    if (run != nullptr)
        command.evidence = evidenceOf(*run);
    // The end of a lapsed run carries no checkpoint, but earlier reports of the worker did.
    if (run != nullptr && command.checkpoint.empty())
        command.checkpoint = run->lastStatus.checkpoint;
    m_commands.emplace_back(std::move(command));
}

std::vector<StageCommand> Dispatcher::decide(Instant now, WallMs wallNow,
                                             const std::function<void()> &betweenTasks)
{
    m_now = now;
    expireLeases(now);
    stopEvacuated();
    beginDueOccurrences(wallNow);
    m_coldWorkers.update(m_pool.workers(), m_jobTable.evacuations(), now, wallNow);
    planOverload(now, wallNow);
    placeReady(now, wallNow, betweenTasks);
    moveThrottled(now, betweenTasks);
    updateSlowWorkers(now);
    return takeCommands();
}

std::vector<std::pair<std::string, AgentOrder>> Dispatcher::takeOrders()
{
    return std::exchange(m_orders, {});
}

RunTraits Dispatcher::traitsOf(const TaskRef &task, std::uint32_t run) const
{
    const StepPlan &step = m_jobTable.find(task.job)->plan.steps[task.step];
    return {task, run, step.image, step.tailTargetMs, step.bestEffort, step.size.milliCores};
}

std::size_t Dispatcher::waitingIn(std::string_view queue) const
{
    return m_jobTable.pendingIn(queue) + m_progress.onlyBoundIn(queue);
}

bool Dispatcher::hasBegun(std::string_view id, const StageJob &job) const
{
    return job.started && !m_progress.isOnlyBound(id);
}

std::size_t Dispatcher::runsOn(const Lifetime &lifetime) const
{
    const auto found = m_pool.workers().find(lifetime);
    return found == m_pool.workers().end() ? 0 : found->second.runs.size();
}

std::vector<RunTraits> Dispatcher::traitsOf(const Lifetime &lifetime) const
{
    std::vector<RunTraits> traits;
    const auto found = m_pool.workers().find(lifetime);
    if (found == m_pool.workers().end())
        return traits;
    for (const auto &[task, run] : found->second.runs) {
        const StageJob *job = m_jobTable.find(task.job);
        if (job != nullptr && !job->plan.steps.empty())
            traits.push_back(traitsOf(task, run.run));
    }
    return traits;
}

} // namespace guavashift
