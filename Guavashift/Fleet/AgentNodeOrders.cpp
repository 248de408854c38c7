#include <Guavashift/Fleet/AgentNode.h>

namespace guavashift {

// Orders from the leader.

void AgentNode::refuse(const StartOrder &order, std::string_view reason)
{
    m_link.send(
        StartRefused{order.lifetime, order.traits.task, order.traits.run, std::string(reason)});
}

void AgentNode::startRun(const StartOrder &order)
{
    if (!isCurrent(order.lifetime))
        return refuse(order, "another lifetime");
    if (m_facts->draining)
        return refuse(order, "draining");
    // The worker may have restarted under the same name. The new lifetime would then run a task
    // that is bound to the old one.
    if (!m_answersPolls)
        return refuse(order, "no answer");
    if (!m_barrier.mayCarryOut(order.lifetime))
        return refuse(order, "ordered before its end was handled");
    if (m_lease.untilMs(BootClock::now(), suspendedTime()) == 0)
        return refuse(order, "no lease");
    const RunKey key{order.traits.task, order.traits.run};
    const auto [position, added] = m_runs.try_emplace(key);
    if (!added)
        return;
    position->second.traits = order.traits;
    sendStart(position->second, order);
}

void AgentNode::sendStart(Run &run, const StartOrder &order)
{
    const Instant now = BootClock::now();
    const RunKey key{order.traits.task, order.traits.run};
    const std::uint64_t sentUnder = fence();
    run.unsent.reset();
    run.fence = sentUnder;
    run.startSentAt = now;
    const WorkerConnections connections = m_connections.allowed();
    run.mayArriveUntil = connections ? Instant() : now + m_agent.longestCallDelay;
    m_port.start({sentUnder, m_lease.untilMs(now, suspendedTime()), order, connections},
                 [this, order, key, sentUnder](const WorkerReply &reply) {
                     if (reply.result == WorkerCallResult::NotSent)
                         return startNotSent(order, sentUnder);
                     if (isCurrent(order.lifetime))
                         m_connections.callSent();
                     started(order.lifetime, key, sentUnder, reply);
                     sendUnsentStart();
                 });
}

void AgentNode::startNotSent(const StartOrder &order, std::uint64_t sentUnder)
{
    const auto found = m_runs.find({order.traits.task, order.traits.run});
    if (!isCurrent(order.lifetime) || found == m_runs.end()
        || found->second.stage != Stage::Starting || found->second.fence != sentUnder)
        return refuse(order, "its lifetime or session has ended");
    // The leader of a later session has settled the run, or will do so.
    if (sentUnder < m_sessionFence || !m_link.isOpen()) {
        m_runs.erase(found);
        return;
    }
    Run &run = found->second;
    if (run.stopWanted)
        return drop(found->first, "stopped before it was sent");
    run.unsent = order;
    if (run.keptSince == Instant())
        run.keptSince = BootClock::now();
    countNotSent();
    openConnections();
}

void AgentNode::sendUnsentStart()
{
    Run *oldest = nullptr;
    for (auto &[key, run] : m_runs) {
        if (run.unsent && (oldest == nullptr || run.keptSince < oldest->keptSince))
            oldest = &run;
    }
    if (oldest == nullptr)
        return;
    if (m_facts->draining)
        return refuseUnsentStarts("draining");
    if (m_lease.untilMs(BootClock::now(), suspendedTime()) == 0)
        return refuseUnsentStarts("no lease");
    sendStart(*oldest, StartOrder(*oldest->unsent));
}

void AgentNode::refuseUnsentStarts(std::string_view reason)
{
    std::vector<RunKey> unsent;
    for (const auto &[key, run] : m_runs) {
        if (run.unsent)
            unsent.push_back(key);
    }
    for (const RunKey &key : unsent)
        drop(key, reason);
}

void AgentNode::openConnections()
{
    if (m_openProbes > 0 || !m_facts)
        return;
    m_openProbes = m_agent.spareConnections;
    m_probesAnswered = false;
    const ProbeRequest request{m_facts->lifetime.worker, fence()};
    for (std::size_t i = 0; i < m_agent.spareConnections; ++i) {
        m_port.probe(request, [this, epoch = m_pollEpoch](const WorkerReply &reply) {
            if (epoch != m_pollEpoch)
                return;
            --m_openProbes;
            if (m_facts)
                probeAnswered(reply);
        });
    }
}

void AgentNode::probeAnswered(const WorkerReply &reply)
{
    if (const auto proof = proofOfEnd(reply, m_facts->lifetime))
        return endLostLifetime(*proof);
    if (isAnswered(reply.result)) {
        m_probesAnswered = true;
        if (!mayBeFromOther(m_facts->lifetime, reply))
            m_connections.answered(reply.connection);
        sendUnsentStart();
    }
    if (m_openProbes > 0)
        return;
    if (!m_probesAnswered)
        return refuseUnsentStarts("no answer");
    const bool keepsStarts = std::any_of(m_runs.begin(), m_runs.end(),
                                         [](const auto &each) { return each.second.unsent; });
    if (keepsStarts)
        openConnections();
}

bool AgentNode::raiseFence()
{
    if (m_fenceStep >= m_agent.fenceSteps) {
        m_link.renew("the session has no higher fencing token left");
        return false;
    }
    ++m_fenceStep;
    return true;
}

bool AgentNode::mayBeFromOther(const Lifetime &lifetime, const WorkerReply &reply) const
{
    if (reply.born != 0)
        return reply.born != lifetime.startedAt;
    return reply.clockMs != 0 && !m_lease.isClockOfWorker(reply.clockMs, BootClock::now());
}

void AgentNode::lateStartAnswered(const Lifetime &lifetime, const RunKey &key,
                                  const WorkerReply &reply)
{
    // Without an answer, or if the present lifetime has carried the start out, the inventory of the
    // next lifetime tells the leader whether it runs there.
    if (reply.result == WorkerCallResult::NoAnswer
        || (reply.result == WorkerCallResult::Done && reply.born != lifetime.startedAt))
        return;
    m_link.send(StartRefused{lifetime, key.first, key.second, "its lifetime has ended"});
}

void AgentNode::started(const Lifetime &lifetime, const RunKey &key, std::uint64_t sentUnder,
                        const WorkerReply &reply)
{
    m_metrics.startAnswered(reply.result);
    logEvent(LogLevel::Info, "start-answered",
             {{"task", key.first.text()},
              {"run", key.second},
              {"bound_to", lifetime.startedAt},
              {"born", reply.born},
              {"fence", sentUnder},
              {"clock_ms", reply.clockMs},
              {"result", nameOf(reply.result)}});
    if (!isCurrent(lifetime))
        return lateStartAnswered(lifetime, key, reply);
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.stage != Stage::Starting
        || found->second.fence != sentUnder)
        return;
    if (reply.born == lifetime.startedAt)
        m_connections.answered(reply.connection);
    Run &run = found->second;
    if (run.keptSince != Instant())
        logEvent(
            LogLevel::Info, "start-kept",
            {{"task", key.first.text()},
             {"run", key.second},
             {"kept_us",
              std::chrono::duration_cast<std::chrono::microseconds>(run.startSentAt - run.keptSince)
                  .count()}});
    WorkerCallResult result = reply.result;
    if (result == WorkerCallResult::Done && mayBeFromOther(lifetime, reply)) {
        // The worker restarted under the same name, and its next lifetime carried the start out.
        run.stage = Stage::Unconfirmed;
        if (const auto proof = proofOfEnd(reply, lifetime))
            return endLostLifetime(*proof);
        result = WorkerCallResult::NoAnswer;
    }
    switch (result) {
    case WorkerCallResult::Done:
        run.stage = Stage::Running;
        run.seenAt = BootClock::now();
        run.row.task = key.first;
        run.row.run = key.second;
        if (run.traits.bestEffort)
            applyThrottling();
        return;
    case WorkerCallResult::NoAnswer:
        // The start may still arrive, unless the worker has observed a higher token by then.
        run.stage = Stage::Unconfirmed;
        if (run.fence < fence() || raiseFence())
            poll(Duration::zero());
        // Its connection is closed now.
        if (m_connections.staysOpen())
            openConnections();
        return;
    default:
        drop(key, nameOf(result));
    }
}

void AgentNode::stopRun(const StopOrder &order)
{
    if (!isCurrent(order.lifetime))
        return;
    const RunKey key{order.task, order.run};
    // Ordered before the leader learnt of the end.
    if (m_endedAt.contains(key))
        return;
    const auto [position, added] = m_runs.try_emplace(key);
    if (added) {
        position->second.traits.task = order.task;
        position->second.traits.run = order.run;
        // An earlier process of the agent may have sent a start that has no answer.
        if (knowsAllStarts(BootClock::now())) {
            position->second.stage = Stage::Running;
        } else {
            position->second.stage = Stage::Unconfirmed;
            position->second.mayArriveUntil = m_createdAt + m_agent.longestCallDelay;
        }
    }
    if (position->second.unsent)
        return drop(key, "stopped before it was sent");
    position->second.stopWanted = true;
    sendStop(key);
}

void AgentNode::sendStop(const RunKey &key)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || !m_facts || !m_link.isOpen())
        return;
    m_port.stop({fence(), {m_facts->lifetime, key.first, key.second}},
                [this, key, lifetime = m_facts->lifetime](const WorkerReply &reply) {
                    logEvent(LogLevel::Info, "stop-answered",
                             {{"task", key.first.text()},
                              {"run", key.second},
                              {"result", nameOf(reply.result)}});
                    // The next lifetime may run the same task and run.
                    const auto run = m_runs.find(key);
                    if (run == m_runs.end() || !isCurrent(lifetime))
                        return;
                    if (reply.result == WorkerCallResult::Done
                        && !mayBeFromOther(lifetime, reply)) {
                        run->second.stopAnswered = true;
                        run->second.stopSentAt = BootClock::now();
                        poll(Duration::zero());
                        return;
                    }
                    m_loop.after(m_agent.stopRetry, [this, key, lifetime] {
                        if (isCurrent(lifetime))
                            sendStop(key);
                    });
                });
}

} // namespace guavashift
