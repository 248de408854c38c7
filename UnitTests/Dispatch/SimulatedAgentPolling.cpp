#include "SimulatedAgent.h"

// The part of ModelAgent that polls its worker.

namespace guavashift::simulation {

void ModelAgent::schedulePoll(Ms delay)
{
    if (std::exchange(m_hasPollTimer, true))
        return;
    after(delay, [this, number = ++m_pollTimer] {
        if (number != m_pollTimer)
            return;
        m_hasPollTimer = false;
        poll(m_pollsFailSince ? 0 : 1000);
    });
}

void ModelAgent::poll(Ms wait)
{
    if (!m_facts || m_sessionFence == 0)
        return;
    if (m_connections.empty())
        return identify();
    const Ms now = m_world.now();
    PollRequest request;
    request.seenUpTo = m_committedUpTo;
    const bool mayArrive = !m_goodbyeAt && !m_lastPollRefused;
    const bool extends = !m_pollsFailSince || (mayArrive && now - *m_pollsFailSince < 2000);
    request.untilMs = extends ? m_lease.untilMs(now) : 0;
    request.wait = std::chrono::milliseconds(wait);
    request.connections = m_connections;
    sendPoll(std::move(request));
}

void ModelAgent::identify()
{
    if (!std::exchange(m_isIdentifying, true))
        sendPoll({});
}

void ModelAgent::sendPoll(PollRequest request)
{
    request.worker = m_facts->lifetime.worker;
    request.fence = fence();
    ++m_openPolls;
    m_machine.poll(request,
                   guardedReply([this, request, sent = m_world.now(),
                                 epoch = m_pollEpoch](const WorkerReply &reply) {
                       if (epoch != m_pollEpoch)
                           return;
                       --m_openPolls;
                       if (!request.connections)
                           m_isIdentifying = false;
                       if (reply.result == WorkerCallResult::NotSent) {
                           if (m_facts)
                               identify();
                           return;
                       }
                       handlePollReply(request, sent, reply);
                   }));
}

void ModelAgent::handlePollReply(const PollRequest &request, Ms sent, const WorkerReply &reply)
{
    const Ms now = m_world.now();
    if (!m_facts || m_facts->lifetime.worker != request.worker)
        return;
    const bool refused = reply.result == WorkerCallResult::ConnectionRefused;
    m_answersPolls = reply.result != WorkerCallResult::NoAnswer && !refused;
    m_lastPollRefused = refused;
    if (reply.result == WorkerCallResult::Done || reply.result == WorkerCallResult::FencedOff)
        m_pollsFailSince.reset();
    else if (!m_pollsFailSince)
        m_pollsFailSince = now;
    switch (reply.result) {
    case WorkerCallResult::Done:
        break;
    case WorkerCallResult::OtherLifetime:
        return endLostLifetime();
    case WorkerCallResult::FencedOff:
        if (request.fence == fence())
            renewLink();
        else if (m_openPolls == 0)
            schedulePoll(150);
        return;
    default:
        if (!request.connections)
            refuseUnsentStarts("no answer");
        if (m_unreachable)
            dropOverdueStarts();
        if (now > m_lease.latestEnd && !m_unreachable) {
            if (refused && m_facts->draining)
                return endLostLifetime();
            m_unreachable = true;
            endLifetime(LifetimeEnd::Unreachable);
        }
        if (m_openPolls == 0)
            schedulePoll(m_pollsFailSince == now ? 0 : 150);
        return;
    }
    if (reply.born != m_facts->lifetime.startedAt)
        return endLostLifetime();
    if (std::exchange(m_unreachable, false))
        m_inventoryDue = true;
    m_connections = {reply.connection};
    m_lease.observe(reply.clockMs, now);
    processEnds(reply);
    processRunning(request, sent, reply);
    sendUnsentStarts();
    const bool onlyWaits = m_listedUpTo > m_committedUpTo && request.seenUpTo >= m_committedUpTo;
    if (m_openPolls == 0)
        schedulePoll(onlyWaits ? 50 : 0);
}

void ModelAgent::processEnds(const WorkerReply &reply)
{
    const Ms now = m_world.now();
    std::erase_if(m_endedAt, [&](const auto &each) { return now - each.second > 3000; });
    RunsEnded ended{m_facts->lifetime, {}};
    for (const ListedEnd &each : reply.ended) {
        m_runs.erase({each.end.task, each.end.run});
        m_endedAt[{each.end.task, each.end.run}] = now;
        if (each.number <= m_listedUpTo)
            continue;
        m_listedUpTo = each.number;
        ended.ends.push_back(each);
    }
    if (!ended.ends.empty())
        send(ended);
}

void ModelAgent::processRunning(const PollRequest &request, Ms sent, const WorkerReply &reply)
{
    std::set<RunKey> running;
    for (const RunStatus &row : reply.running) {
        const RunKey key{row.task, row.run};
        running.insert(key);
        if (m_endedAt.contains(key))
            continue;
        Run &run = m_runs[key];
        run.stage = Stage::Running;
        run.seenAt = std::max(run.seenAt, sent);
    }
    const auto runs = m_runs;
    for (const auto &[key, run] : runs) {
        if (run.stage == Stage::Unconfirmed && run.fence < request.fence && !running.contains(key)
            && !mayArriveAfter(run, sent))
            drop(key, "never arrived");
    }
    for (const auto &[key, run] : runs) {
        if (running.contains(key) || !m_runs.contains(key))
            continue;
        if (run.stopAnswered && sent > run.stopSentAt && !mayArriveAfter(run, sent))
            drop(key, "stopped before it ran");
        else if (run.stage == Stage::Running && !run.stopWanted && sent > run.seenAt)
            m_runs.erase(key);
    }
    if (!m_namedAllStarts && sent > m_knowsAllFrom)
        m_inventoryDue = m_isOpen;
    if (m_inventoryDue && request.fence >= m_inventoryFence) {
        m_inventoryDue = false;
        trace(fmt::format("inventory of {}", reply.running.size()));
        announceLateStarts(sent);
        send(Inventory{m_facts->lifetime, reply.running});
        m_barrier.inventorySent(m_facts->lifetime);
    }
}

} // namespace guavashift::simulation
