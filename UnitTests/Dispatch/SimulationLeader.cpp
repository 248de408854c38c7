#include "Simulation.h"

// The part of Simulation that acts as the leader.

namespace guavashift::simulation {

void Simulation::startLeader()
{
    ++m_term;
    m_sessionsOpened = 0;
    m_world.trace("leader {} starts", m_term);
    m_dispatcher = std::make_unique<Dispatcher>(
        DispatchSettings{.longestCallDelay = std::chrono::milliseconds(longestDelay)}, m_table);
    m_dispatcher->start(instant());
    m_lastCommit = m_world.now();
}

void Simulation::stopLeader()
{
    m_world.trace("leader {} ends", m_term);
    m_settledFromState = settledFromState();
    m_dispatcher.reset();
    // The next leader may have some of the entries that were not known as committed.
    const bool keepsSome = m_world.chance(500);
    while (!m_proposals.empty()) {
        if (!keepsSome || m_world.chance(300))
            break;
        for (const StageCommand &command : m_proposals.front().commands)
            m_table.apply(m_world.now(), command);
        m_proposals.pop_front();
    }
    m_proposals.clear();
    const bool isKilled = m_world.chance(500);
    for (const auto &[node, session] : std::exchange(m_sessions, {})) {
        if (isKilled || m_world.chance(500))
            breakLink(session.link);
        else
            session.link->send(session.link, false,
                               [this, link = session.link] { breakLink(link); });
    }
    m_world.after(m_world.between(50, 1500), [this] { startLeader(); });
}

void Simulation::propose(std::vector<StageCommand> commands, std::function<void()> committed)
{
    m_proposals.push_back({std::move(commands), std::move(committed)});
    const Ms slow = m_world.hasFaults() && m_world.chance(30) ? m_world.between(50, 800) : 0;
    m_lastCommit =
        std::max({m_lastCommit, m_world.now() + m_world.between(3, 30) + slow, m_quorumLostUntil});
    m_world.after(m_lastCommit - m_world.now(), [this, term = m_term] {
        if (term == m_term && m_dispatcher)
            commit();
    });
}

void Simulation::commit()
{
    const Proposal proposal = std::move(m_proposals.front());
    m_proposals.pop_front();
    for (const StageCommand &command : proposal.commands) {
        const StageOutcome outcome = m_table.apply(m_world.now(), command);
        if (const auto *start = std::get_if<StartRun>(&command))
            m_world.trace("bound {}:{} to {} born {} applied {}", start->task.text(), start->run,
                          start->lifetime.worker, start->lifetime.startedAt, outcome.applied);
        if (const auto *end = std::get_if<EndRun>(&command))
            m_world.trace("recorded end {}:{} {} applied {}", end->task.text(), end->run,
                          nameOf(end->end), outcome.applied);
        const auto *done = std::get_if<EndRun>(&command);
        if (done != nullptr && done->end == RunEnd::Done && !outcome.applied)
            m_judge.refused(*done);
        m_dispatcher->applied(command, outcome, instant());
    }
    if (proposal.committed)
        proposal.committed();
    roundSoon();
}

void Simulation::roundSoon()
{
    if (!std::exchange(m_isRoundDue, true))
        m_world.after(m_world.between(0, 4), [this] {
            m_isRoundDue = false;
            endRound();
        });
}

void Simulation::round()
{
    endRound();
    m_world.after(m_world.between(10, 40), [this] { round(); });
}

void Simulation::endRound()
{
    if (!m_dispatcher || m_world.now() < m_pausedUntil)
        return;
    flushOrders();
    if (!mayAnswer())
        return;
    if (auto commands = m_dispatcher->decide(instant(), m_world.now()); !commands.empty())
        propose(std::move(commands));
    flushOrders();
}

void Simulation::flushOrders()
{
    for (auto &[node, order] : m_dispatcher->takeOrders()) {
        const auto session = m_sessions.find(node);
        if (session != m_sessions.end())
            std::visit([&](auto &each) { sendTo(session->second.link, each); }, order);
    }
}

} // namespace guavashift::simulation
