#include <Guavashift/Dispatch/Dispatcher.h>

namespace guavashift {

namespace {

/// Longer cold times are taken for this one. Keeps times from overflowing.
constexpr std::int64_t longestColdMs = 3'600'000;

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
    if (isProven && !isProvenElsewhere(node, facts.lifetime))
        settleEarlierAnswers(node, facts.lifetime);
    // An ended lifetime without runs is not in the pool any more.
    const auto ended = m_endedWorkers.find(facts.lifetime.worker);
    bool followsAnother = worker.lastNode.empty() && ended != m_endedWorkers.end()
        && now - ended->second <= m_settings.longestCallDelay + m_settings.longestLease;
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
    const Duration coldLeft =
        std::chrono::milliseconds(std::clamp<std::int64_t>(facts.coldLeftMs, 0, longestColdMs));
    worker.coldUntil = now + coldLeft;
    worker.coldInAll = std::max(worker.coldInAll, coldLeft);
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

void Dispatcher::settleEarlierAnswers(const std::string &node, const Lifetime &present)
{
    for (const Lifetime &lifetime : m_earlierAnswers.endedBy(node, present)) {
        const PoolWorker *other = m_pool.find(lifetime);
        if (other == nullptr || !other->lastNode.empty() || !hasUnsettledRuns(*other))
            continue;
        ++m_settledFromState;
        settleLifetime(lifetime, LifetimeEnd::Left, LifetimeProof::AnsweredByAnother, {}, node);
    }
}

bool Dispatcher::hasUnsettledRuns(const PoolWorker &worker) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [this](const auto &each) {
        const PlacedRun &run = each.second;
        return run.committed && !run.startIsOpen && !m_endsProposed.contains({run.task, run.run});
    });
}

StartPath Dispatcher::startPathTo(const PoolWorker &worker) const
{
    const auto answered = m_answered.find(worker.node);
    const bool isPresent =
        answered != m_answered.end() && answered->second == worker.facts.lifetime;
    return {worker.node, isPresent && worker.provenNode == worker.node && worker.startsReachOnlyIt};
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
    worker->startsReachOnlyIt = false;
    LateStartsNotice &notice = worker->lateStarts.emplace();
    notice.namesAll = namesAll;
    for (const TaskRun &each : runs)
        notice.runs.emplace(each.task, each.run);
    for (auto &[task, run] : worker->runs) {
        // An order of this session may have reached the agent after it had turned to any
        // connection.
        if (run.ordered || notice.runs.contains({task, run.run}))
            run.reachesOnlyItsLifetime = false;
    }
}

bool Dispatcher::mayStartLate(const PoolWorker &worker, const PlacedRun &run)
{
    return worker.startsOnAnyConnection && run.committed && !run.listed
        && !run.reachesOnlyItsLifetime;
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
                                std::span<const TaskRun> recentRuns, const std::string &earlierNode)
{
    PoolWorker *worker = m_pool.find(lifetime);
    const bool isFromState = !earlierNode.empty();
    logEvent(LogLevel::Info, "lifetime-settled",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"node", isFromState ? earlierNode : worker->lastNode},
              {"end", nameOf(end)},
              {"proof", nameOf(proof)},
              {"known_from", isFromState ? "state" : "session"},
              {"runs", worker->runs.size()},
              {"lease_left_ms", toMs(worker->leaseEnd - m_now)}});
    std::erase_if(m_endedWorkers, [this](const auto &each) {
        return m_now - each.second > m_settings.longestCallDelay + m_settings.longestLease;
    });
    m_endedWorkers[lifetime.worker] = m_now;
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

} // namespace guavashift
