#include <Guavashift/Dispatch/Dispatcher.h>

namespace guavashift {

namespace {

/// The completion of a job has a value until this multiple of the time that its objective allows.
constexpr std::int64_t worthlessFactor = 3;

SettleReason settleReasonOf(LifetimeEnd end)
{
    switch (end) {
    case LifetimeEnd::Crashed:
        return SettleReason::LifetimeCrashed;
    case LifetimeEnd::Unreachable:
        return SettleReason::LifetimeUnreachable;
    case LifetimeEnd::Left:
        break;
    }
    return SettleReason::LifetimeLeft;
}

} // namespace

Dispatcher::Dispatcher(const DispatchSettings &settings, const JobTable &jobTable)
    : m_settings(settings)
    , m_jobTable(jobTable)
{
}

void Dispatcher::start(Instant now)
{
    stop();
    m_now = now;
    for (const auto &[id, job] : m_jobTable.jobs()) {
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
    m_progress.clear();
    m_schedules.clear();
    m_due.clear();
    m_comparedSteps.clear();
    m_failureRecords.clear();
    m_answered.clear();
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
    const auto allowed = queue.targetLatencyMs
        + static_cast<std::int64_t>(queue.stretch * static_cast<double>(chains.longest));
    ready.priority = queue.priority;
    ready.objective = std::max(job.acceptedAt, due) + allowed;
    ready.worthlessAt = ready.objective + (worthlessFactor - 1) * allowed;
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

void Dispatcher::lifetimeAnswered(const std::string &node, const Lifetime &lifetime)
{
    m_answered[node] = lifetime;
}

bool Dispatcher::follows(const PoolWorker &worker, const PoolWorker &other)
{
    if (worker.provenOrder != other.provenOrder)
        return worker.provenOrder > other.provenOrder;
    return worker.facts.lifetime.startedAt > other.facts.lifetime.startedAt;
}

bool Dispatcher::isProvenElsewhere(const std::string &node, const Lifetime &lifetime) const
{
    return std::any_of(m_answered.begin(), m_answered.end(), [&](const auto &each) {
        return each.first != node && each.second == lifetime;
    });
}

void Dispatcher::workerReported(const std::string &node, const WorkerFacts &facts, Instant now)
{
    const auto answered = m_answered.find(node);
    const bool isProven = answered != m_answered.end() && answered->second == facts.lifetime;
    if (!isProven && isProvenElsewhere(node, facts.lifetime))
        return;
    PoolWorker &worker = m_pool.add(facts.lifetime);
    if (isProven) {
        worker.provenOrder = ++m_lastProvenOrder;
        worker.provenNode = node;
    }
    for (const Lifetime &lifetime : m_pool.lifetimesLastReportedBy(node)) {
        if (lifetime.worker == facts.lifetime.worker)
            continue;
        PoolWorker &other = *m_pool.find(lifetime);
        if (isProven && other.provenNode == node) {
            // This worker refuses calls that name the other one.
            closeStarts(other);
            settleLifetime(lifetime, LifetimeEnd::Left, LifetimeProof::AnsweredByAnother, {});
        } else if (isProven || lifetime.startedAt <= facts.lifetime.startedAt) {
            doubt(other);
        }
    }
    bool followsAnother = false;
    for (const Lifetime &lifetime : m_pool.lifetimesOf(facts.lifetime.worker)) {
        PoolWorker &other = *m_pool.find(lifetime);
        if (!follows(worker, other))
            continue;
        followsAnother = true;
        assumeLongestLease(other, now);
        if (isProven)
            supersede(other);
        else
            doubt(other);
    }
    const bool drains = facts.draining && !worker.facts.draining;
    // The same use of processors is another share of another capacity, so no report from before
    // may be compared with a later one.
    if (facts.capacity.milliCores != worker.facts.capacity.milliCores)
        worker.activityAt = {};
    worker.facts = facts;
    worker.spareVersion = 0;
    m_pool.setNode(worker, node);
    worker.hasFacts = true;
    worker.sentInterference.clear();
    // A call for an earlier lifetime may have given this one a lease by another clock.
    worker.takesEarlierCalls = worker.takesEarlierCalls || followsAnother;
    const Duration lease = followsAnother ? m_settings.longestLease : m_settings.workerLease;
    worker.leaseEnd = std::max(worker.leaseEnd, now + lease + m_settings.leaseMargin);
    if (drains)
        evacuate(worker, now);
}

void Dispatcher::supersede(PoolWorker &worker)
{
    const Lifetime lifetime = worker.facts.lifetime;
    worker.clearUnbound();
    worker.hasFacts = false;
    m_pool.setNode(worker, {});
    m_pool.removeIfIdle(lifetime);
}

void Dispatcher::doubt(PoolWorker &worker)
{
    worker.hasFacts = false;
    m_pool.setNode(worker, {});
}

void Dispatcher::assumeLongestLease(PoolWorker &worker, Instant now) const
{
    worker.leaseEnd =
        std::max(worker.leaseEnd, now + m_settings.longestLease + m_settings.leaseMargin);
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

bool Dispatcher::leaseGranted(const std::string &node, Instant now)
{
    const std::vector<Lifetime> lifetimes = m_pool.lifetimesReportedBy(node);
    for (const Lifetime &lifetime : lifetimes) {
        Instant &leaseEnd = m_pool.find(lifetime)->leaseEnd;
        leaseEnd = std::max(leaseEnd, now + m_settings.workerLease + m_settings.leaseMargin);
    }
    return !lifetimes.empty();
}

void Dispatcher::nodeLost(const std::string &node)
{
    m_answered.erase(node);
    // The inventory of the node's next session settles the runs of these orders.
    std::erase_if(m_orders, [&](const auto &order) { return order.first == node; });
    for (const Lifetime &lifetime : m_pool.lifetimesReportedBy(node)) {
        PoolWorker &worker = *m_pool.find(lifetime);
        worker.lateStarts.reset();
        m_pool.setNode(worker, {});
    }
}

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
        const bool mayStart = late && (!late->namesAll || late->runs.contains({task, run.run}));
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

void Dispatcher::settleEarlierLifetimes(PoolWorker &worker,
                                        const std::map<TaskRef, std::uint32_t> &running)
{
    const Lifetime &lifetime = worker.facts.lifetime;
    for (const Lifetime &other : m_pool.lifetimesOf(lifetime.worker)) {
        PoolWorker &earlier = *m_pool.find(other);
        if (!follows(worker, earlier))
            continue;
        std::vector<TaskRef> runsHere;
        for (const auto &[task, run] : earlier.runs) {
            const auto found = running.find(task);
            if (found != running.end() && found->second == run.run)
                runsHere.push_back(task);
            else if (run.committed)
                queueEnd(run, RunEnd::Lapsed, SettleReason::EarlierLifetime, evidenceOf(run));
        }
        for (const TaskRef &task : runsHere)
            adopt(task, earlier, worker);
        m_pool.removeIfIdle(other);
    }
}

void Dispatcher::adopt(const TaskRef &task, PoolWorker &earlier, PoolWorker &worker)
{
    const Lifetime &lifetime = worker.facts.lifetime;
    logEvent(LogLevel::Info, "run-adopted",
             {{"task", task.text()},
              {"run", earlier.runs.at(task).run},
              {"worker", lifetime.worker},
              {"bound_to", earlier.facts.lifetime.startedAt},
              {"runs_on", lifetime.startedAt}});
    PlacedRun run = earlier.runs.at(task);
    run.stopRequested = false;
    run.startIsOpen = false;
    run.listed = true;
    m_pool.release(earlier.facts.lifetime, task);
    m_pool.place(lifetime, std::move(run));
    m_placed[task] = lifetime;
    const StageJob *job = m_jobTable.find(task.job);
    if (job == nullptr || job->plan.steps.empty())
        return;
    const std::string &label = job->plan.steps[task.step].requiredLabel;
    if (worker.facts.service != m_jobTable.queueSettingsOf(*job).service
        || (!label.empty() && !worker.facts.hasLabel(label)))
        orderStop(lifetime, worker, worker.runs.at(task));
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

void Dispatcher::startsOpen(const Lifetime &lifetime, std::span<const TaskRun> runs)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr)
        return;
    for (const TaskRun &open : runs) {
        const auto found = worker->runs.find(open.task);
        if (found != worker->runs.end() && found->second.run == open.run)
            found->second.startIsOpen = true;
    }
    assumeLongestLease(*worker, m_now);
}

void Dispatcher::startsMayArriveLate(const Lifetime &lifetime, std::span<const TaskRun> runs,
                                     bool namesAll)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr)
        return;
    worker->startsOnAnyConnection = true;
    LateStartsNotice &notice = worker->lateStarts.emplace();
    notice.namesAll = namesAll;
    for (const TaskRun &each : runs)
        notice.runs.emplace(each.task, each.run);
}

bool Dispatcher::mayStartLate(const PoolWorker &worker, const PlacedRun &run)
{
    return worker.startsOnAnyConnection && run.committed && !run.listed;
}

void Dispatcher::lifetimeDoubted(const Lifetime &lifetime)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr || !worker->hasFacts)
        return;
    logEvent(LogLevel::Warning, "end-unproven",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"node", worker->node},
              {"runs", worker->runs.size()},
              {"lease_left_ms", toMs(worker->leaseEnd - m_now)}});
    doubt(*worker);
}

void Dispatcher::lifetimeEnded(const Lifetime &lifetime, LifetimeEnd end, LifetimeProof proof,
                               std::span<const TaskRun> recentRuns)
{
    PoolWorker *worker = m_pool.find(lifetime);
    if (worker == nullptr)
        return;
    // The lease in a start that reaches a worker after it was unreachable has expired.
    if (end != LifetimeEnd::Unreachable)
        keepUnknownStarts(*worker);
    settleLifetime(lifetime, end, proof, recentRuns);
}

void Dispatcher::keepUnknownStarts(PoolWorker &worker) const
{
    // Reports that follow the end of the lifetime tell nothing more about its agent.
    if (worker.node.empty())
        return;
    bool keeps = false;
    for (auto &[task, run] : worker.runs) {
        if (!run.committed || run.ordered || run.listed)
            continue;
        run.startIsOpen = true;
        keeps = true;
    }
    if (keeps)
        assumeLongestLease(worker, m_now);
}

void Dispatcher::closeStarts(PoolWorker &worker)
{
    for (auto &[task, run] : worker.runs)
        run.startIsOpen = false;
}

void Dispatcher::settleLifetime(const Lifetime &lifetime, LifetimeEnd end, LifetimeProof proof,
                                std::span<const TaskRun> recentRuns)
{
    PoolWorker *worker = m_pool.find(lifetime);
    logEvent(LogLevel::Info, "lifetime-settled",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"node", worker->lastNode},
              {"end", nameOf(end)},
              {"proof", nameOf(proof)},
              {"runs", worker->runs.size()},
              {"lease_left_ms", toMs(worker->leaseEnd - m_now)}});
    // Only its agent knows that a worker crashed. A worker that is lost together with its agent may
    // have lost power.
    lapseAllRuns(lifetime, settleReasonOf(end),
                 end == LifetimeEnd::Crashed ? suspectedRuns(*worker, recentRuns)
                                             : std::set<TaskRef>());
    if (end == LifetimeEnd::Unreachable) {
        worker->clearUnbound();
        worker->unreachable = true;
    } else {
        supersede(*worker);
    }
}

void Dispatcher::lapseAllRuns(const Lifetime &lifetime, SettleReason reason,
                              const std::set<TaskRef> &suspected)
{
    for (const auto &[task, run] : m_pool.find(lifetime)->runs) {
        if (run.committed && !run.startIsOpen)
            queueEnd(run, RunEnd::Lapsed, reason,
                     suspected.contains(task) ? evidenceOfCrash(run) : evidenceOf(run));
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
        worker->suspectUntil = std::max(worker->suspectUntil, now + m_settings.refusalPause);
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

bool Dispatcher::lateStartsMayWork(const PoolWorker &worker, Instant now) const
{
    // The last start was sent before the lease ended. The next lifetime may carry it out by a clock
    // of its own.
    return now <= worker.leaseEnd + m_settings.longestCallDelay + m_settings.longestLease;
}

bool Dispatcher::holdsLateStartsOnly(const PoolWorker &worker, Instant now) const
{
    return !worker.runs.empty() && lateStartsMayWork(worker, now)
        && std::all_of(worker.runs.begin(), worker.runs.end(),
                       [&worker](const auto &each) { return mayStartLate(worker, each.second); });
}

void Dispatcher::expireLeases(Instant now)
{
    std::vector<Lifetime> expired;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (now > worker.leaseEnd && !holdsLateStartsOnly(worker, now))
            expired.push_back(lifetime);
    }
    for (const Lifetime &lifetime : expired) {
        PoolWorker &worker = *m_pool.find(lifetime);
        const bool keepsLate = lateStartsMayWork(worker, now);
        for (auto &[task, run] : worker.runs)
            run.startIsOpen = keepsLate && mayStartLate(worker, run);
        // While its agent's session lasts, the worker only lacks a lease: the next grant makes it
        // usable again. It would not be reported again if its lifetime were removed here.
        if (m_pool.find(lifetime)->node.empty())
            settleLifetime(lifetime, LifetimeEnd::Left, LifetimeProof::LeaseRanOut, {});
        else
            lapseAllRuns(lifetime, SettleReason::LeaseExpired, {});
    }
}

std::vector<StageCommand> Dispatcher::decide(Instant now, WallMs wallNow,
                                             const std::function<void()> &betweenTasks)
{
    m_now = now;
    expireLeases(now);
    beginDueOccurrences(wallNow);
    placeReady(now, wallNow, betweenTasks);
    moveThrottled(now, betweenTasks);
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
