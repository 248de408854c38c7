#include "SimulatedAgent.h"

// The part of ModelAgent that starts and stops runs.

namespace guavashift::simulation {

bool ModelAgent::mayArriveAfter(const Run &run, Ms time)
{
    return run.stage != Stage::Running && !run.unsent && time < run.mayArriveUntil;
}

bool ModelAgent::mayWorkInNext(const Run &run) const
{
    return mayArriveAfter(run, m_world.now() - AgentLease::longest);
}

void ModelAgent::announceLateStarts(Ms sent)
{
    if (!m_machine.closesConnections())
        return;
    m_namedAllStarts = sent > m_knowsAllFrom;
    LateStarts late{m_facts->lifetime, {}, m_namedAllStarts};
    for (const auto &[key, run] : m_runs) {
        if (mayArriveAfter(run, sent))
            late.runs.push_back({key.first, key.second});
    }
    send(late);
}

void ModelAgent::dropOverdueStarts()
{
    const auto runs = m_runs;
    for (const auto &[key, run] : runs) {
        if (run.stage == Stage::Unconfirmed && !mayWorkInNext(run))
            drop(key, "never arrived");
    }
}

void ModelAgent::drop(const RunKey &key, std::string_view reason)
{
    m_runs.erase(key);
    if (m_facts)
        refuse(m_facts->lifetime, key, reason);
}

void ModelAgent::refuse(const Lifetime &lifetime, const RunKey &key, std::string_view reason)
{
    trace(fmt::format("refuses {}:{} {}", key.first.text(), key.second, reason));
    send(StartRefused{lifetime, key.first, key.second, std::string(reason)});
}

void ModelAgent::startRun(const StartOrder &order)
{
    const RunKey key{order.traits.task, order.traits.run};
    if (!isCurrent(order.lifetime))
        return refuse(order.lifetime, key, "another lifetime");
    if (m_facts->draining)
        return refuse(order.lifetime, key, "draining");
    if (!m_answersPolls)
        return refuse(order.lifetime, key, "no answer");
    if (m_barrier.ended == order.lifetime)
        return refuse(order.lifetime, key, "ordered before its end was handled");
    if (m_lease.untilMs(m_world.now()) == 0)
        return refuse(order.lifetime, key, "no lease");
    const auto [position, added] = m_runs.try_emplace(key);
    if (added)
        sendStart(position->second, order);
}

void ModelAgent::sendStart(Run &run, const StartOrder &order)
{
    const Ms now = m_world.now();
    run.unsent.reset();
    run.fence = fence();
    run.startSentAt = now;
    if (m_machine.closesConnections())
        run.mayArriveUntil = now + longestDelay + 1;
    m_machine.start(
        {fence(), m_lease.untilMs(now), order, m_connections},
        guardedReply([this, order, sentUnder = fence()](const WorkerReply &reply) {
            if (reply.result == WorkerCallResult::NotSent)
                return startNotSent(order, sentUnder);
            started(order.lifetime, {order.traits.task, order.traits.run}, sentUnder, reply);
        }));
}

void ModelAgent::startNotSent(const StartOrder &order, std::uint64_t sentUnder)
{
    const RunKey key{order.traits.task, order.traits.run};
    const auto found = m_runs.find(key);
    if (!isCurrent(order.lifetime) || found == m_runs.end()
        || found->second.stage != Stage::Starting || found->second.fence != sentUnder)
        return refuse(order.lifetime, key, "its lifetime or session has ended");
    if (sentUnder < m_sessionFence || !m_isOpen) {
        m_runs.erase(found);
        return;
    }
    if (found->second.stopWanted)
        return drop(key, "stopped before it was sent");
    found->second.unsent = order;
    identify();
}

std::vector<StartOrder> ModelAgent::unsentStarts() const
{
    std::vector<StartOrder> orders;
    for (const auto &[key, run] : m_runs) {
        if (run.unsent)
            orders.push_back(*run.unsent);
    }
    return orders;
}

void ModelAgent::sendUnsentStarts()
{
    for (const StartOrder &order : unsentStarts()) {
        const RunKey key{order.traits.task, order.traits.run};
        if (m_facts->draining)
            drop(key, "draining");
        else if (m_lease.untilMs(m_world.now()) == 0)
            drop(key, "no lease");
        else
            sendStart(m_runs.at(key), order);
    }
}

void ModelAgent::refuseUnsentStarts(std::string_view reason)
{
    for (const StartOrder &order : unsentStarts())
        drop({order.traits.task, order.traits.run}, reason);
}

void ModelAgent::started(const Lifetime &lifetime, const RunKey &key, std::uint64_t sentUnder,
                         const WorkerReply &reply)
{
    if (!isCurrent(lifetime)) {
        if (reply.result == WorkerCallResult::NoAnswer
            || (reply.result == WorkerCallResult::Done && reply.born != lifetime.startedAt))
            return;
        return refuse(lifetime, key, "its lifetime has ended");
    }
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.stage != Stage::Starting
        || found->second.fence != sentUnder)
        return;
    Run &run = found->second;
    WorkerCallResult result = reply.result;
    const bool isFromOther = reply.born != 0
        ? reply.born != lifetime.startedAt
        : reply.clockMs != 0 && !m_lease.isClockOfWorker(reply.clockMs, m_world.now());
    if (result == WorkerCallResult::Done && isFromOther) {
        run.stage = Stage::Unconfirmed;
        if (reply.born != 0)
            return endLostLifetime();
        result = WorkerCallResult::NoAnswer;
    }
    switch (result) {
    case WorkerCallResult::Done:
        run.stage = Stage::Running;
        run.seenAt = m_world.now();
        return;
    case WorkerCallResult::NoAnswer:
        run.stage = Stage::Unconfirmed;
        if (run.fence < fence() || raiseFence())
            poll(0);
        return;
    default:
        drop(key, "refused by the worker");
    }
}

void ModelAgent::stopRun(const StopOrder &order)
{
    if (!isCurrent(order.lifetime))
        return;
    const RunKey key{order.task, order.run};
    if (m_endedAt.contains(key))
        return;
    const auto [position, added] = m_runs.try_emplace(key);
    if (added && m_machine.closesConnections() && m_world.now() <= m_knowsAllFrom) {
        position->second.stage = Stage::Unconfirmed;
        position->second.mayArriveUntil = m_knowsAllFrom;
    } else if (added) {
        position->second.stage = Stage::Running;
    }
    if (position->second.unsent)
        return drop(key, "stopped before it was sent");
    position->second.stopWanted = true;
    sendStop(key);
}

void ModelAgent::sendStop(const RunKey &key)
{
    if (!m_runs.contains(key) || !m_facts || !m_isOpen)
        return;
    m_machine.stop({fence(), {m_facts->lifetime, key.first, key.second}},
                   guardedReply([this, key](const WorkerReply &reply) {
                       const auto run = m_runs.find(key);
                       if (run == m_runs.end())
                           return;
                       if (reply.result != WorkerCallResult::Done)
                           return after(400, [this, key] { sendStop(key); });
                       run->second.stopAnswered = true;
                       run->second.stopSentAt = m_world.now();
                       poll(0);
                   }));
}

} // namespace guavashift::simulation
