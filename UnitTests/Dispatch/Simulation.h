#pragma once

#include "SimulatedAgent.h"

#include <array>
#include <deque>

namespace guavashift::simulation {

/// One machine with its agent, which may restart.
struct Site
{
    std::string node;
    std::unique_ptr<Machine> machine;
    std::unique_ptr<ModelAgent> agent;
    Ms cutUntil = 0; ///< From the leaders.
};

struct SimulationSettings
{
    /// Whether the next lifetime of a worker carries out starts for the one before.
    bool takesLateStarts = false;
    /// Whether some paths to workers refuse connections instead of being silent.
    bool pathsRefuse = false;
    /// Whether workers close each connection after their answer, as far as starts are concerned.
    bool closesConnections = false;
    /// Whether leaders, agents and workers lose power together, and agents pass on reports of other
    /// workers that they have not verified, as those of earlier versions do.
    bool losesAllPower = false;
};

/// Leaders, their log and job table, agents, workers and callers in virtual time. Calls the
/// dispatcher as FleetLeader does.
class Simulation final
{
public:
    Simulation(std::uint64_t seed, const SimulationSettings &settings, bool traces)
        : m_world(seed, traces)
        , m_pathsRefuse(settings.pathsRefuse)
        , m_losesAllPower(settings.losesAllPower)
        , m_judge(m_world)
        , m_table({.maxCrashes = 1'000'000}, readAny)
    {
        m_table.apply(0, ReplaceConfiguration{"x"});
        const Ms sites = m_world.between(2, 4);
        for (int i = 0; i < sites; ++i) {
            m_sites.push_back(std::make_unique<Site>());
            Site &site = *m_sites.back();
            site.node = fmt::format("n{}", i);
            site.machine = std::make_unique<Machine>(m_world, m_judge, i, settings.takesLateStarts,
                                                     settings.closesConnections);
            startAgent(site);
            report(site);
            connect(site);
        }
        startLeader();
        round();
        submit();
        for (int i = 0; i < 6; ++i)
            m_weights.at(static_cast<std::size_t>(i)) = m_world.between(0, 3);
        fault();
        if (m_losesAllPower)
            m_world.after(m_world.between(3500, 8000), [this] { losePower(); });
    }

    /// Returns whether no rule was broken and all jobs have ended.
    bool run()
    {
        while (m_world.failure().empty() && !isDone()) {
            if (m_world.now() > giveUp)
                m_world.fail("a job has no end: " + openJob());
            m_world.step();
        }
        return m_world.failure().empty();
    }
    [[nodiscard]] const World &world() const { return m_world; }
    [[nodiscard]] std::uint64_t starts() const { return m_judge.starts(); }
    /// Lifetimes that leaders settled by what the job table told of them.
    [[nodiscard]] std::uint64_t settledFromState() const
    {
        return m_settledFromState + (m_dispatcher ? m_dispatcher->settledFromState() : 0);
    }

private:
    struct Session
    {
        LinkPointer link;
        Ms openedAt = 0;
    };
    struct Proposal
    {
        std::vector<StageCommand> commands;
        std::function<void()> committed;
    };

    [[nodiscard]] Instant instant() const { return at(static_cast<int>(m_world.now())); }

    // Callers.
    void submit()
    {
        const Ms jobs = m_world.between(4, 12);
        for (int i = 0; i < jobs; ++i) {
            JobPlan job = plan(static_cast<std::uint32_t>(m_world.between(1, 4)),
                               m_world.between(1, 4) * 1000);
            if (m_world.chance(300)) {
                job.steps.push_back(job.steps[0]);
                job.steps[1].after = {0};
            }
            job.steps[0].longRunning = job.steps.size() == 1 && m_world.chance(150);
            job.steps[0].checkpoints = m_world.chance(300);
            job.payload = std::to_string(m_world.chance(300) ? m_world.between(4000, 9000)
                                                             : m_world.between(20, 3000));
            const std::string id = fmt::format("j{}", i);
            const bool endless = job.steps[0].longRunning;
            if (endless)
                job.payload = "30000";
            m_wanted.insert(id);
            m_world.after(m_world.between(0, 12'000), [this, id, job] { submit(id, job); });
            if (endless || m_world.chance(150))
                m_world.after(endless ? faultsEnd + m_world.between(-3000, 2000)
                                      : m_world.between(1000, faultsEnd),
                              [this, id] { cancel(id); });
        }
    }
    void submit(const std::string &id, const JobPlan &job)
    {
        if (m_table.find(id) != nullptr)
            return;
        if (m_dispatcher)
            propose({AcceptJob{id, "batch", job}});
        m_world.after(1000, [this, id, job] { submit(id, job); });
    }
    void cancel(const std::string &id)
    {
        const StageJob *job = m_table.find(id);
        if (job != nullptr && !job->isActive())
            return;
        if (m_dispatcher && job != nullptr)
            propose({CancelJob{id}});
        m_world.after(1000, [this, id] { cancel(id); });
    }
    [[nodiscard]] std::string openJob() const
    {
        for (const std::string &id : m_wanted) {
            const StageJob *job = m_table.find(id);
            if (job == nullptr || job->isActive())
                return id;
            if (job->status == StageJobStatus::Failed)
                return id + " failed";
        }
        return {};
    }
    [[nodiscard]] bool isDone() const { return !m_world.hasFaults() && openJob().empty(); }

    // Agents.
    void startAgent(Site &site)
    {
        site.agent = std::make_unique<ModelAgent>(
            m_world, *site.machine, [this](const LinkPointer &link, const FleetMessage &message) {
                link->send(link, true, [this, link, message] { receive(link, message); });
            });
    }
    void report(Site &site)
    {
        if (site.machine->isUp() && !site.machine->pathIsSilent()) {
            const Ms late = m_world.hasFaults() && m_world.chance(20) ? 1500 : 5;
            m_world.after(m_world.between(1, late),
                          [this, &site, facts = site.machine->facts(),
                           sequence = site.machine->nextSequence()] {
                              // In place of the agent's question to the worker's address.
                              if (!m_losesAllPower || site.machine->isPresent(facts.lifetime))
                                  site.agent->workerReported(facts, sequence);
                          });
        }
        m_world.after(m_world.between(200, 400), [this, &site] { report(site); });
    }
    void connect(Site &site)
    {
        if (!site.agent->hasLink() && m_dispatcher && m_world.now() >= site.cutUntil) {
            const auto link = std::make_shared<Link>(m_world, site.node);
            site.agent->connecting(link);
            const std::uint64_t term = m_term;
            link->send(link, true, [this, link, term] {
                if (term == m_term && m_dispatcher)
                    openSession(link);
                else
                    breakLink(link);
            });
        }
        m_world.after(m_world.between(20, 300), [this, &site] { connect(site); });
    }
    /// Both ends learn of it at a time of their own.
    void breakLink(const LinkPointer &link)
    {
        link->breakOff();
        m_world.after(m_world.between(1, 500), [this, link] { sessionClosed(link); });
        m_world.after(m_world.between(1, 500), [this, link] {
            for (const auto &site : m_sites)
                site->agent->linkLost(link);
        });
    }

    // The leader.
    void startLeader();
    void stopLeader();
    [[nodiscard]] bool mayAnswer() const { return m_world.now() >= m_quorumLostUntil; }
    void propose(std::vector<StageCommand> commands, std::function<void()> committed = {});
    void commit();
    void roundSoon();
    void round();
    void endRound();
    void flushOrders();
    void sendTo(const LinkPointer &link, const FleetMessage &message)
    {
        link->send(link, false, [this, link, message] {
            for (const auto &site : m_sites) {
                if (site->agent->link() == link)
                    site->agent->received(link, message);
            }
        });
    }
    void openSession(const LinkPointer &link)
    {
        if (const auto before = m_sessions.find(link->node()); before != m_sessions.end())
            sessionClosed(before->second.link);
        m_sessions[link->node()] = {link, m_world.now()};
        const std::uint64_t number = ++m_sessionsOpened;
        const std::uint64_t fence = ((m_term << 16U) + number) * fenceSpan;
        m_world.trace("session of {} opened, term {} number {}", link->node(), m_term, number);
        sendTo(link, SessionOpened{fence, workerLeaseMs});
    }
    void sessionClosed(const LinkPointer &link)
    {
        const auto found = m_sessions.find(link->node());
        if (found == m_sessions.end() || found->second.link != link)
            return;
        m_sessions.erase(found);
        m_world.trace("session of {} closed", link->node());
        if (m_dispatcher)
            m_dispatcher->nodeLost(link->node());
    }
    void receive(const LinkPointer &link, const FleetMessage &message)
    {
        const auto found = m_sessions.find(link->node());
        if (!m_dispatcher || found == m_sessions.end() || found->second.link != link)
            return;
        // A leader that was paused reads on later.
        if (m_world.now() < m_pausedUntil)
            return m_world.after(m_pausedUntil - m_world.now(),
                                 [this, link, message] { receive(link, message); });
        const std::string &node = link->node();
        const Instant now = instant();
        std::visit(
            Overloaded{
                [&](const RenewLease &renew) {
                    if (mayAnswer() && m_dispatcher->leaseGranted(node, now))
                        sendTo(link, LeaseGranted{renew.sentAt});
                },
                [&](const LifetimeAnswered &answered) {
                    if (m_losesAllPower && m_world.chance(200))
                        m_dispatcher->workerReported(node, worker("x-" + node, m_world.now()), now);
                    m_dispatcher->lifetimeAnswered(node, answered.lifetime);
                },
                [&](const WorkerReport &report) {
                    m_dispatcher->workerReported(node, report.facts, now);
                },
                [&](const Inventory &inventory) {
                    m_dispatcher->inventoryReported(inventory.lifetime, inventory.rows,
                                                    at(static_cast<int>(found->second.openedAt)));
                    sendTo(link, KnownRuns{m_dispatcher->traitsOf(inventory.lifetime)});
                },
                [&](const RunTable &table) {
                    m_dispatcher->runsReported(table.lifetime, table.rows, now);
                },
                [&](const StartRefused &refused) {
                    m_dispatcher->startRefused(refused.lifetime, refused.task, refused.run, now);
                },
                [&](const LateStarts &late) {
                    m_dispatcher->startsMayArriveLate(late.lifetime, late.runs, late.namesAll);
                },
                [&](const OpenStarts &open) { m_dispatcher->startsOpen(open.lifetime, open.runs); },
                [&](const WorkerCrashed &crashed) {
                    if (m_dispatcher->runsOn(crashed.lifetime) > 0)
                        m_dispatcher->lifetimeEnded(crashed.lifetime, LifetimeEnd::Crashed,
                                                    LifetimeProof::AnsweredByAnother,
                                                    crashed.recentRuns);
                },
                [&](const LifetimeEnded &ended) {
                    m_dispatcher->lifetimeEnded(
                        ended.lifetime,
                        ended.unreachable ? LifetimeEnd::Unreachable : LifetimeEnd::Left,
                        ended.unreachable ? LifetimeProof::LeaseRanOut
                                          : LifetimeProof::AnsweredByAnother,
                        {});
                },
                [&](const RunsEnded &ended) { handleRunsEnded(link, ended); }, [](const auto &) {}},
            message);
        roundSoon();
    }
    void handleRunsEnded(const LinkPointer &link, const RunsEnded &ended)
    {
        std::uint64_t upTo = 0;
        for (const ListedEnd &each : ended.ends) {
            m_dispatcher->endReported(each.end);
            upTo = std::max(upTo, each.number);
        }
        if (auto commands = m_dispatcher->takeCommands(); !commands.empty())
            propose(std::move(commands));
        propose({}, [this, link, lifetime = ended.lifetime, upTo] {
            const auto session = m_sessions.find(link->node());
            if (session != m_sessions.end() && session->second.link == link)
                sendTo(link, EndsCommitted{lifetime, upTo});
        });
    }

    // Faults.
    /// Ends the leader, and most agents with their workers, at one time.
    void losePower()
    {
        const bool mayRestart = std::all_of(m_sites.begin(), m_sites.end(), [](const auto &site) {
            return site->machine->mayRestart();
        });
        if (m_world.hasFaults())
            m_world.after(m_world.between(mayRestart ? 3500 : 100, mayRestart ? 8000 : 500),
                          [this] { losePower(); });
        if (!mayRestart || !m_world.hasFaults())
            return;
        m_world.trace("power is lost");
        if (m_dispatcher)
            stopLeader();
        const bool isWhole = m_world.chance(600);
        for (const auto &site : m_sites) {
            if (!isWhole && m_world.chance(400))
                continue;
            if (site->agent->hasLink())
                breakLink(site->agent->link());
            startAgent(*site);
            site->machine->losePower();
        }
    }
    void fault()
    {
        m_world.after(m_world.between(100, 1500), [this] {
            if (!m_world.hasFaults())
                return;
            Site &site = *m_sites.at(
                static_cast<std::size_t>(m_world.between(0, static_cast<Ms>(m_sites.size()) - 1)));
            const auto kind = static_cast<std::size_t>(m_world.between(0, 5));
            if (m_world.between(0, 3) <= m_weights.at(kind))
                inject(static_cast<int>(kind), site);
            fault();
        });
    }
    void inject(int kind, Site &site)
    {
        switch (kind) {
        case 0:
            if (m_dispatcher)
                stopLeader();
            return;
        case 1:
            m_world.trace("agent of {} restarts", site.node);
            if (site.agent->hasLink())
                breakLink(site.agent->link());
            return startAgent(site);
        case 2: {
            const Ms length =
                m_world.chance(300) ? m_world.between(4000, 8000) : m_world.between(100, 3000);
            m_world.trace("{} is cut from the leader for {}", site.node, length);
            site.cutUntil = m_world.now() + length;
            if (!site.agent->hasLink())
                return;
            site.agent->link()->stall(length);
            if (length > 1500 || m_world.chance(500))
                breakLink(site.agent->link());
            return;
        }
        case 3:
            if (!site.machine->mayRestart())
                return;
            if (m_world.chance(500))
                site.machine->silence(m_world.between(100, 2500));
            if (m_world.chance(700))
                return site.machine->crash();
            return site.machine->leave([this, &site](const std::string &name) {
                if (!site.machine->pathIsSilent())
                    m_world.after(m_world.between(1, 50),
                                  [&site, name] { site.agent->workerStopping(name); });
            });
        case 4: {
            const Ms length =
                m_world.chance(200) ? m_world.between(5000, 9000) : m_world.between(100, 2500);
            const bool refuses = m_pathsRefuse && length % 3 == 0;
            m_world.trace("path to the worker of {} is {} for {}", site.node,
                          refuses ? "refused" : "silent", length);
            return refuses ? site.machine->refuse(length) : site.machine->silence(length);
        }
        default:
            if (m_world.chance(500))
                m_quorumLostUntil = m_world.now() + m_world.between(50, 1500);
            else
                m_pausedUntil = m_world.now() + m_world.between(50, 400);
        }
    }

    World m_world;
    bool m_pathsRefuse;
    bool m_losesAllPower;
    std::uint64_t m_settledFromState = 0; ///< By leaders before the present one.
    Judge m_judge;
    JobTable m_table;
    std::vector<std::unique_ptr<Site>> m_sites;
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::uint64_t m_term = 0;
    std::uint64_t m_sessionsOpened = 0;
    std::map<std::string, Session> m_sessions; ///< By node.
    std::deque<Proposal> m_proposals;
    Ms m_lastCommit = 0;
    Ms m_quorumLostUntil = 0;
    Ms m_pausedUntil = 0;
    bool m_isRoundDue = false;
    std::set<std::string> m_wanted;
    std::array<Ms, 6> m_weights{}; ///< How often each kind of fault occurs, in quarters.
};

} // namespace guavashift::simulation
