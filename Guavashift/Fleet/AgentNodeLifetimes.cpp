#include <Guavashift/Fleet/AgentNode.h>

namespace guavashift {

// The worker's reports about itself.

void AgentNode::workerReported(const ReportedWorker &report, ReportCallback answered)
{
    if (!isCurrent(report.facts.lifetime))
        return m_verifier.verify(report, std::move(answered));
    presentReported(report);
    answered(ReportAnswer::Taken);
}

void AgentNode::presentReported(const ReportedWorker &report)
{
    if (report.sequence <= m_sequence)
        return;
    m_sequence = report.sequence;
    WorkerFacts facts = report.facts;
    applyGoodbye(facts);
    applyHiddenEnds(facts);
    if (*m_facts == facts)
        return;
    // The leader counts the time down by itself.
    const bool onlyWarmer = facts.coldLeftMs <= m_facts->coldLeftMs;
    if (onlyWarmer)
        m_facts->coldLeftMs = facts.coldLeftMs;
    if (*m_facts == facts)
        return;
    const bool drains = facts.draining && !m_facts->draining;
    m_facts = std::move(facts);
    if (drains)
        logEvent(LogLevel::Info, "worker-drains", {{"worker", m_facts->lifetime.worker}});
    sendFacts();
}

void AgentNode::sendFacts()
{
    m_link.send(LifetimeAnswered{m_facts->lifetime});
    m_link.send(WorkerReport{*m_facts});
}

void AgentNode::lifetimeFound(const ReportedWorker &report)
{
    const Lifetime &lifetime = report.facts.lifetime;
    if (m_facts)
        endLostLifetime(m_facts->lifetime.worker == lifetime.worker
                            ? LifetimeProof::AnsweredByNext
                            : LifetimeProof::AnsweredByAnother);
    m_sequence = report.sequence;
    m_goodbyeAt.reset();
    // Polls of an earlier lifetime may still be open. Only those of this one keep the next poll
    // waiting.
    ++m_pollEpoch;
    m_openPolls = 0;
    m_openProbes = 0;
    m_isIdentifying = false;
    m_connections.lifetimeChanged();
    m_verifier.presentChanged();
    m_acknowledgements.lifetimeFound(lifetime);
    m_takesEarlierCalls = true;
    m_facts = report.facts;
    applyHiddenEnds(*m_facts);
    // Of the first lifetime, and of one that is found again, ends were acknowledged before.
    m_readsAllEnds = m_lastFound && m_lastFound != lifetime;
    m_lastFound = lifetime;
    m_foundAt = BootClock::now();
    m_listedUpTo = 0;
    m_listedAt.clear();
    m_endedAt.clear();
    // The worker may have restarted under its name. With a higher token, this lifetime refuses all
    // calls that were meant for the one before it.
    recallLifetime();
    raiseFence();
    m_inventoryDue = m_link.isOpen();
    m_inventoryFence = fence();
    m_namedAllStarts = true;
    m_unreachable = false;
    logEvent(LogLevel::Info, "worker-found",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"address", report.address},
              {"service", m_facts->service},
              {"sequence", report.sequence},
              {"milli_cores", m_facts->capacity.milliCores}});
    if (const std::uint64_t hidden = m_acknowledgements.hiddenUpTo(lifetime); hidden > 0)
        logEvent(LogLevel::Warning, "lifetime-unused",
                 {{"worker", lifetime.worker},
                  {"born", lifetime.startedAt},
                  {"may_hide_up_to", hidden}});
    sendFacts();
    renewLease();
    poll(Duration::zero());
}

void AgentNode::recallLifetime()
{
    const Lifetime &lifetime = m_facts->lifetime;
    // Repeated to the next leader, the report would settle runs that were bound since.
    if (m_lastCrash && m_lastCrash->lifetime == lifetime)
        m_lastCrash.reset();
    if (!m_lastOpenStarts || m_lastOpenStarts->lifetime != lifetime)
        return;
    // The leader waits for their outcome, which the next poll with a higher token shows.
    for (const TaskRun &open : m_lastOpenStarts->runs) {
        Run &run = m_runs[{open.task, open.run}];
        run.traits.task = open.task;
        run.traits.run = open.run;
        run.stage = Stage::Unconfirmed;
        run.fence = fence();
    }
    m_lastOpenStarts.reset();
}

ReportAnswer AgentNode::workerStopping(const std::string &worker)
{
    if (!m_facts || m_facts->lifetime.worker != worker)
        return ReportAnswer::NotOurs;
    logEvent(LogLevel::Info, "worker-leaves",
             {{"worker", worker}, {"born", m_facts->lifetime.startedAt}, {"runs", m_runs.size()}});
    // Without an acknowledgement the worker goes on for some seconds. Polls show when it is gone.
    m_goodbyeAt = BootClock::now();
    if (!std::exchange(m_facts->draining, true))
        sendFacts();
    return ReportAnswer::Taken;
}

void AgentNode::applyGoodbye(WorkerFacts &facts)
{
    if (!m_goodbyeAt)
        return;
    if (!facts.draining && BootClock::now() - *m_goodbyeAt > m_agent.goodbyeValidity)
        m_goodbyeAt.reset();
    else
        facts.draining = true;
}

void AgentNode::applyHiddenEnds(WorkerFacts &facts) const
{
    if (m_acknowledgements.hiddenUpTo(facts.lifetime) > 0)
        facts.draining = true;
}

void AgentNode::endLostLifetime(LifetimeProof proof)
{
    endLifetime(m_facts->draining ? LifetimeEnd::Left : LifetimeEnd::Crashed, proof);
}

std::vector<TaskRun> AgentNode::openStarts() const
{
    std::vector<TaskRun> open;
    for (const auto &[key, run] : m_runs) {
        if (run.stage != Stage::Running && !run.unsent)
            open.push_back({key.first, key.second});
    }
    return open;
}

std::vector<TaskRun> AgentNode::recentRuns() const
{
    const Instant crashedAt = m_pollsFailSince.value_or(BootClock::now());
    // A start without an answer may never have been carried out.
    const auto isRecent = [&](const Run &run) {
        return run.stage == Stage::Running && run.startSentAt != Instant()
            && crashedAt - run.startSentAt <= m_agent.crashProbation;
    };
    Instant last;
    for (const auto &[key, run] : m_runs) {
        if (isRecent(run))
            last = std::max(last, run.startSentAt);
    }
    std::vector<TaskRun> recent;
    for (const auto &[key, run] : m_runs) {
        if (isRecent(run) && last - run.startSentAt <= m_agent.crashWindow)
            recent.push_back({key.first, key.second});
    }
    return recent;
}

void AgentNode::endLifetime(LifetimeEnd end, LifetimeProof proof)
{
    const Lifetime lifetime = m_facts->lifetime;
    const std::size_t runs = m_runs.size();
    const std::vector<TaskRun> recent =
        end == LifetimeEnd::Crashed ? recentRuns() : std::vector<TaskRun>();
    // The lease in a start that reaches this lifetime after it was unreachable has expired. By the
    // clock of the next one it may not have.
    if (end == LifetimeEnd::Unreachable)
        std::erase_if(m_runs, [this](const auto &each) { return !mayWorkInNext(each.second); });
    const std::vector<TaskRun> open = openStarts();
    logEvent(LogLevel::Info, "lifetime-ended",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"end", nameOf(end)},
              {"proof", nameOf(proof)},
              {"runs", runs},
              {"recent_runs", recent.size()},
              {"open_starts", open.size()}});
    // A crash without such runs must not replace one with some.
    if (!recent.empty())
        m_lastCrash = WorkerCrashed{lifetime, recent}, m_lastCrashProof = proof;
    m_link.send(EndProven{lifetime, proof});
    if (!open.empty()) {
        m_link.send(OpenStarts{lifetime, open});
        // An unreachable worker's are sent again when its end is.
        if (end != LifetimeEnd::Unreachable)
            m_lastOpenStarts = OpenStarts{lifetime, open};
    }
    if (end == LifetimeEnd::Crashed)
        m_link.send(WorkerCrashed{lifetime, recent});
    m_link.send(LifetimeEnded{lifetime, end == LifetimeEnd::Unreachable});
    m_barrier.lifetimeEnded(lifetime);
    if (end != LifetimeEnd::Unreachable) {
        m_runs.clear();
        m_facts.reset();
        m_lease.workerChanged(BootClock::now());
    }
}

} // namespace guavashift
