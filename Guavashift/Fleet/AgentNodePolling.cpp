#include <Guavashift/Fleet/AgentNode.h>

namespace guavashift {

// Polling the worker.

void AgentNode::schedulePoll(Duration delay)
{
    if (m_pollTimer != 0)
        return;
    m_pollTimer = m_loop.after(delay, [this] {
        m_pollTimer = 0;
        const bool throttles = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &each) {
            return each.second.traits.bestEffort;
        });
        const Duration wait = throttles ? m_agent.throttledPollWait : m_agent.pollWait;
        poll(m_pollsFailSince ? Duration::zero() : wait);
    });
}

void AgentNode::poll(Duration wait)
{
    // Best-effort tasks are throttled between two sessions too, under the fencing token and lease
    // of the first one.
    if (!m_facts || m_sessionFence == 0)
        return;
    if (!m_connections.isKnown())
        return identify();
    PollRequest request;
    request.untilMs = leaseToSend(BootClock::now());
    request.wait = wait;
    request.connections = m_connections.allowed();
    if (m_acknowledgements.isDue()) {
        // On any connection, the acknowledgement follows the answer.
        if (request.connections)
            request.seenUpTo = m_acknowledgements.committedUpTo();
        else
            request.wait = Duration::zero();
    }
    // The leader keeps runs bound until it is known whether connections stay open.
    if (!m_namedAllStarts && m_connections.staysOpen() && !m_connections.isKnownToStayOpen())
        request.wait = Duration::zero();
    sendPoll(std::move(request));
}

std::int64_t AgentNode::leaseToSend(Instant now)
{
    // A failed poll may have been carried out. Extending the lease with each of them would put off
    // the time after which nothing runs on the worker, and with it the end of its runs, for ever.
    // A worker that has said goodbye, or that refuses connections, will probably not answer again.
    const bool mayArrive = !m_goodbyeAt && m_lastPollResult != WorkerCallResult::ConnectionRefused;
    const bool extends =
        !m_pollsFailSince || (mayArrive && now - *m_pollsFailSince < m_agent.failedPollGrace);
    return extends ? m_lease.untilMs(now, suspendedTime(), longestExtension()) : 0;
}

bool AgentNode::acknowledge(Instant sent)
{
    const Instant now = BootClock::now();
    if (m_connections.allowed() || !m_acknowledgements.isDue() || m_acknowledgements.isOpen()
        || now - sent > m_agent.acknowledgeWithin)
        return false;
    PollRequest request;
    request.seenUpTo = m_acknowledgements.committedUpTo();
    request.untilMs = leaseToSend(now);
    sendPoll(std::move(request));
    return true;
}

Duration AgentNode::longestExtension() const
{
    return m_facts->draining ? m_leaseLength / 2 : m_leaseLength;
}

void AgentNode::identify()
{
    if (std::exchange(m_isIdentifying, true))
        return;
    sendPoll({});
}

void AgentNode::sendPoll(PollRequest request)
{
    request.worker = m_facts->lifetime.worker;
    request.fence = fence();
    ++m_openPolls;
    m_metrics.polled();
    const Instant now = BootClock::now();
    std::optional<EndAcknowledgements::Id> acknowledgement;
    if (!request.connections && request.seenUpTo > 0)
        acknowledgement = m_acknowledgements.sent(m_facts->lifetime, request.seenUpTo, now);
    m_port.poll(request,
                [this, request, now, epoch = m_pollEpoch, lifetime = m_facts->lifetime,
                 acknowledgement](const WorkerReply &reply) {
                    if (acknowledgement)
                        m_acknowledgements.returned(*acknowledgement,
                                                    settlesAcknowledgement(lifetime, reply));
                    // The answer to a poll of an earlier lifetime says nothing about this one.
                    if (epoch != m_pollEpoch)
                        return;
                    --m_openPolls;
                    if (!request.connections)
                        m_isIdentifying = false;
                    if (reply.result == WorkerCallResult::NotSent)
                        return pollNotSent();
                    if (request.connections)
                        m_connections.callSent();
                    handlePollReply(request, now, reply);
                });
}

bool AgentNode::settlesAcknowledgement(const Lifetime &lifetime, const WorkerReply &reply) const
{
    switch (reply.result) {
    case WorkerCallResult::Done:
        return reply.born == lifetime.startedAt
            || (isCurrent(lifetime) && !mayBeFromOther(lifetime, reply));
    case WorkerCallResult::FencedOff:
    case WorkerCallResult::OtherLifetime:
    case WorkerCallResult::ConnectionRefused:
    case WorkerCallResult::NotSent:
    case WorkerCallResult::Unhealthy:
    case WorkerCallResult::Wrong:
        return true;
    default:
        return false;
    }
}

void AgentNode::pollNotSent()
{
    if (!m_facts)
        return;
    // An open call may hold the only connection.
    const bool startsAreOpen = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &each) {
        return each.second.stage == Stage::Starting && !each.second.unsent;
    });
    if (m_openPolls == 0 && !startsAreOpen)
        countNotSent();
    identify();
}

void AgentNode::countNotSent()
{
    const bool stayedOpen = m_connections.staysOpen();
    m_connections.callNotSent();
    if (!stayedOpen || m_connections.staysOpen())
        return;
    logEvent(LogLevel::Warning, "connections-closed",
             {{"worker", m_facts->lifetime.worker}, {"born", m_facts->lifetime.startedAt}});
    announceLateStarts(BootClock::now());
    m_inventoryDue = m_link.isOpen();
}

void AgentNode::handlePollReply(const PollRequest &request, Instant sent, const WorkerReply &reply)
{
    const Instant now = BootClock::now();
    if (!m_facts || m_facts->lifetime.worker != request.worker)
        return;
    m_answersPolls = reply.result != WorkerCallResult::NoAnswer
        && reply.result != WorkerCallResult::ConnectionRefused;
    const bool succeeds = isAnswered(reply.result);
    if (succeeds == m_pollsFailSince.has_value() || (!succeeds && reply.result != m_lastPollResult))
        logPollChange(reply, now);
    if (succeeds)
        m_pollsFailSince.reset();
    else if (!m_pollsFailSince)
        m_pollsFailSince = now;
    m_lastPollResult = reply.result;
    if (const auto proof = proofOfEnd(reply, m_facts->lifetime))
        return endLostLifetime(*proof);
    switch (reply.result) {
    case WorkerCallResult::Done:
        break;
    case WorkerCallResult::FencedOff:
        // Another session has sent a higher token to the worker. A new session gets a higher one.
        if (request.fence == fence())
            m_link.renew("fenced off by the worker");
        else if (m_openPolls == 0)
            schedulePoll(m_agent.retryPause);
        return;
    default:
        // The failure of another poll may be that of one connection only.
        if (!request.connections)
            refuseUnsentStarts("no answer");
        if (m_unreachable)
            dropOverdueStarts();
        // Once the lease has expired without an answer, nothing runs on the worker any more. Before
        // that, a refused connection does not show that its program has ended: it may work on
        // behind a path that refuses connections.
        if (now > m_lease.latestEnd() && !m_unreachable) {
            // A crash counts against the runs, so a refused connection does not show one.
            if (reply.result == WorkerCallResult::ConnectionRefused && m_facts->draining)
                return endLostLifetime(LifetimeProof::LeaseRanOut);
            m_unreachable = true;
            endLifetime(LifetimeEnd::Unreachable, LifetimeProof::LeaseRanOut);
        }
        // The first failure may be that of one connection only.
        if (m_openPolls == 0)
            schedulePoll(m_pollsFailSince == now ? Duration::zero() : m_agent.retryPause);
        return;
    }
    if (m_unreachable) {
        m_unreachable = false;
        m_inventoryDue = true;
    }
    const bool isFromPresent = !mayBeFromOther(m_facts->lifetime, reply);
    if (isFromPresent) {
        m_connections.answered(reply.connection);
        m_acknowledgements.carriedOut(request.seenUpTo);
        m_acknowledgements.lifetimeAnswered(m_facts->lifetime, sent);
    }
    m_lease.observe(reply.clockMs, sent, now, suspendedTime());
    processEnds(reply);
    processRunning(request, sent, reply);
    sendUnsentStart();
    applyThrottling();
    // A poll that finds out who answers follows on a new lifetime and on broken connections.
    if (!request.connections && m_connections.staysOpen())
        openConnections();
    if (isFromPresent && acknowledge(sent))
        return;
    if (m_openPolls == 0)
        schedulePoll(pauseAfterPoll(isFromPresent));
}

void AgentNode::logPollChange(const WorkerReply &reply, Instant now) const
{
    logEvent(LogLevel::Info, isAnswered(reply.result) ? "polls-answered" : "polls-fail",
             {{"worker", m_facts->lifetime.worker},
              {"born", m_facts->lifetime.startedAt},
              {"result", nameOf(reply.result)},
              {"reply_born", reply.born},
              {"failed_ms", toMs(now - m_pollsFailSince.value_or(now))},
              {"lease_left_ms", toMs(m_lease.latestEnd() - now)},
              {"unreachable", m_unreachable}});
}

Duration AgentNode::pauseAfterPoll(bool isFromPresent) const
{
    // The worker answers at once while it lists ends: another poll would return the same.
    const bool mayAcknowledge = isFromPresent && m_acknowledgements.isDue();
    const bool onlyWaits = m_listedUpTo > m_acknowledgements.committedUpTo() && !mayAcknowledge;
    return onlyWaits ? m_agent.commitWait : Duration::zero();
}

void AgentNode::logHiddenEnds(const WorkerReply &reply) const
{
    if (!m_readsAllEnds || m_listedUpTo > 0 || reply.ended.empty())
        return;
    const auto first = std::min_element(
        reply.ended.begin(), reply.ended.end(),
        [](const ListedEnd &left, const ListedEnd &right) { return left.number < right.number; });
    if (first->number > 1)
        logEvent(LogLevel::Warning, "ends-hidden",
                 {{"worker", m_facts->lifetime.worker},
                  {"born", m_facts->lifetime.startedAt},
                  {"first_listed", first->number}});
}

void AgentNode::processEnds(const WorkerReply &reply)
{
    const Instant now = BootClock::now();
    std::erase_if(m_endedAt,
                  [&](const auto &each) { return now - each.second > m_agent.longestAnswerDelay; });
    logHiddenEnds(reply);
    RunsEnded ended{m_facts->lifetime, {}};
    for (const ListedEnd &each : reply.ended) {
        m_runs.erase({each.end.task, each.end.run});
        m_endedAt[{each.end.task, each.end.run}] = now;
        if (each.number <= m_listedUpTo)
            continue;
        m_listedUpTo = each.number;
        m_listedAt.try_emplace(each.number, now);
        m_uncommittedEnds.add(m_facts->lifetime, each);
        ended.ends.push_back(each);
        logEvent(
            LogLevel::Info, "run-listed",
            {{"task", each.end.task.text()}, {"run", each.end.run}, {"end", nameOf(each.end.end)}});
    }
    if (!ended.ends.empty())
        m_link.send(ended);
}

void AgentNode::processRunning(const PollRequest &request, Instant sent, const WorkerReply &reply)
{
    std::set<RunKey> running;
    for (const RunStatus &row : reply.running) {
        const RunKey key{row.task, row.run};
        running.insert(key);
        // An answer that another one overtook lists runs whose end is known.
        if (m_endedAt.contains(key))
            continue;
        const auto [position, added] = m_runs.try_emplace(key);
        Run &run = position->second;
        if (added)
            run.traits.task = row.task, run.traits.run = row.run;
        run.stage = Stage::Running;
        run.row = row;
        if (run.traits.tailTargetMs > 0)
            run.tail.update(row.measurement, BootClock::now());
        // A poll that waits lists what runs when it is answered.
        run.seenAt = BootClock::now();
    }
    // Until all ends are listed, a run that is in neither list may have ended.
    if (!reply.listsAllEnds)
        return;
    resolveUnconfirmed(request, sent, running);
    // processEnds() has removed the runs with a listed end. A run that a poll sent after an
    // answered stop does not list never ran.
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        const auto current = at++;
        const Run &run = current->second;
        if (running.contains(current->first))
            continue;
        if (run.stopAnswered && sent > run.stopSentAt && !mayArriveAfter(run, sent))
            drop(current->first, "stopped before it ran");
        else if (run.stage == Stage::Running && !run.stopWanted && sent > run.seenAt)
            forgetVanished(current->first);
    }
    if (!m_namedAllStarts && knowsAllStarts(sent))
        m_inventoryDue = m_link.isOpen();
    if (m_inventoryDue && request.fence >= m_inventoryFence) {
        m_inventoryDue = false;
        announceLateStarts(sent);
        // From now on the lifetime refuses calls for an earlier one.
        if (std::exchange(m_takesEarlierCalls, false))
            m_lease.assumeLongestLease(BootClock::now());
        m_link.send(Inventory{m_facts->lifetime, reply.running});
        m_barrier.inventorySent(m_facts->lifetime);
        logEvent(LogLevel::Info, "inventory-sent",
                 {{"worker", m_facts->lifetime.worker},
                  {"born", m_facts->lifetime.startedAt},
                  {"fence", request.fence},
                  {"runs", reply.running.size()}});
    }
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the element of the key is erased.
void AgentNode::forgetVanished(RunKey key)
{
    m_runs.erase(key);
    logEvent(LogLevel::Warning, "run-vanished",
             {{"task", key.first.text()},
              {"run", key.second},
              {"worker", m_facts->lifetime.worker},
              {"born", m_facts->lifetime.startedAt}});
}

bool AgentNode::mayArriveAfter(const Run &run, Instant time)
{
    return run.stage != Stage::Running && !run.unsent && time < run.mayArriveUntil;
}

bool AgentNode::mayWorkInNext(const Run &run) const
{
    // Worker clocks may be 2 % slow.
    const Duration longestLease = m_settings.bounds.maxWorkerLease * 100 / 98;
    return mayArriveAfter(run, BootClock::now() - longestLease);
}

bool AgentNode::knowsAllStarts(Instant time) const
{
    return m_connections.isKnownToStayOpen() || time > m_createdAt + m_agent.longestCallDelay;
}

void AgentNode::announceLateStarts(Instant sent)
{
    m_namedAllStarts = knowsAllStarts(sent);
    LateStarts late{m_facts->lifetime, {}, m_namedAllStarts};
    for (const auto &[key, run] : m_runs) {
        if (mayArriveAfter(run, sent))
            late.runs.push_back({key.first, key.second});
    }
    if (!m_connections.staysOpen() || !m_namedAllStarts || !late.runs.empty())
        m_link.send(late);
}

void AgentNode::dropOverdueStarts()
{
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        const auto current = at++;
        if (current->second.stage == Stage::Unconfirmed && !mayWorkInNext(current->second))
            drop(current->first, "never arrived");
    }
}

void AgentNode::resolveUnconfirmed(const PollRequest &request, Instant sent,
                                   const std::set<RunKey> &running)
{
    // The worker has observed a higher token, so it rejects a start that arrives with a lower one.
    // Its next lifetime has not, and may carry out what was sent on any connection.
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        const auto current = at++;
        const Run &run = current->second;
        const bool settled = run.stage == Stage::Unconfirmed && run.fence < request.fence
            && !running.contains(current->first) && !mayArriveAfter(run, sent);
        if (settled)
            drop(current->first, "never arrived");
    }
}

// The key is taken by value: callers pass the key of the element that is erased here.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void AgentNode::drop(RunKey key, std::string_view reason)
{
    m_runs.erase(key);
    if (m_facts)
        m_link.send(StartRefused{m_facts->lifetime, key.first, key.second, std::string(reason)});
}

} // namespace guavashift
