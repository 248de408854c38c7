#pragma once

#include "SimulatedMachine.h"

namespace guavashift::simulation {

/// A session's connection between an agent and a leader: keeps the order, and loses what is on the
/// way when it breaks.
class Link final
{
public:
    Link(World &world, std::string node)
        : m_world(world)
        , m_node(std::move(node))
    {
    }

    [[nodiscard]] const std::string &node() const { return m_node; }
    [[nodiscard]] bool isBroken() const { return m_isBroken; }
    void stall(Ms duration) { m_stalledUntil = m_world.now() + duration; }
    void breakOff() { m_isBroken = true; }

    void send(const std::shared_ptr<Link> &self, bool toLeader, std::function<void()> deliver)
    {
        Ms &last = toLeader ? m_lastToLeader : m_lastToAgent;
        const Ms slow = m_world.hasFaults() && m_world.chance(15) ? m_world.between(50, 600) : 0;
        last = std::max({last, m_world.now() + m_world.between(1, 15) + slow, m_stalledUntil});
        m_world.after(last - m_world.now(), [self, deliver = std::move(deliver)] {
            if (!self->m_isBroken)
                deliver();
        });
    }

private:
    World &m_world;
    std::string m_node;
    bool m_isBroken = false;
    Ms m_stalledUntil = 0;
    Ms m_lastToLeader = 0;
    Ms m_lastToAgent = 0;
};

using LinkPointer = std::shared_ptr<Link>;

/// The agent's view of its worker's lease, as in Guavashift/Fleet/LeaseClock.cpp.
struct AgentLease
{
    static constexpr Ms longest = longestLeaseMs * 100 / 98 + 1;

    Ms grantEnd = 0;
    Ms latestEnd = 0;
    Ms clock = 0;
    Ms clockAt = 0;

    void observe(Ms observed, Ms received)
    {
        if (observed >= clock)
            clock = observed, clockAt = received;
    }
    [[nodiscard]] bool isClockOfWorker(Ms other, Ms now) const
    {
        const Ms latest = clock + (now - clockAt) * 102 / 100 + 1000;
        return clock == 0 || (other >= clock - 1000 && other <= latest);
    }
    void workerChanged(Ms now)
    {
        clock = 0;
        grantEnd = 0;
        latestEnd = now + longest;
    }
    Ms untilMs(Ms now)
    {
        if (clock == 0 || now >= grantEnd)
            return 0;
        latestEnd = std::max(latestEnd, grantEnd);
        return clock + (grantEnd - clockAt) * 98 / 100;
    }
};

/// As Guavashift/Fleet/OrderBarrier.cpp.
struct Barrier
{
    std::optional<Lifetime> ended;
    std::optional<int> answersLeft;
    int unanswered = 0;

    void inventorySent(const Lifetime &lifetime)
    {
        ++unanswered;
        if (ended == lifetime && !answersLeft)
            answersLeft = unanswered;
    }
    void inventoryAnswered()
    {
        if (unanswered > 0)
            --unanswered;
        if (!answersLeft || --*answersLeft > 0)
            return;
        answersLeft.reset();
        ended.reset();
    }
};

/// What an agent does, after Guavashift/Fleet/AgentNode.cpp, without throttling.
class ModelAgent final
{
public:
    using SendToLeader = std::function<void(const LinkPointer &, const FleetMessage &)>;

    ModelAgent(World &world, Machine &machine, SendToLeader send)
        : m_world(world)
        , m_machine(machine)
        , m_send(std::move(send))
    {
        m_lease.latestEnd = world.now() + AgentLease::longest;
        m_knowsAllFrom = world.now() + longestDelay + 1;
        renewRegularly();
        sendTable();
    }

    [[nodiscard]] bool hasLink() const { return m_link != nullptr; }
    [[nodiscard]] const LinkPointer &link() const { return m_link; }
    void connecting(const LinkPointer &link) { m_link = link; }
    void linkLost(const LinkPointer &link)
    {
        if (m_link != link)
            return;
        m_link.reset();
        m_isOpen = false;
        m_inventoryDue = false;
        std::erase_if(m_runs, [](const auto &each) { return each.second.unsent.has_value(); });
    }

    void received(const LinkPointer &link, const FleetMessage &message)
    {
        if (link != m_link)
            return;
        std::visit(Overloaded{[this](const SessionOpened &session) { opened(session); },
                              [this](const LeaseGranted &granted) {
                                  if (m_facts && granted.sentAt >= m_foundAt)
                                      m_lease.grantEnd = std::max(m_lease.grantEnd,
                                                                  granted.sentAt + workerLeaseMs);
                              },
                              [this](const StartOrder &order) { startRun(order); },
                              [this](const StopOrder &order) { stopRun(order); },
                              [this](const EndsCommitted &committed) { endsCommitted(committed); },
                              [this](const KnownRuns &) { m_barrier.inventoryAnswered(); },
                              [](const auto &) {}},
                   message);
    }

    void workerReported(WorkerFacts facts, std::uint64_t sequence)
    {
        const bool isNew = !m_facts || m_facts->lifetime != facts.lifetime;
        if (isNew && m_facts && facts.lifetime.startedAt < m_facts->lifetime.startedAt)
            return;
        if (!isNew && sequence <= m_sequence)
            return;
        m_sequence = sequence;
        if (isNew) {
            if (m_facts)
                endLostLifetime();
            m_goodbyeAt.reset();
            ++m_pollEpoch;
            m_openPolls = 0;
            m_isIdentifying = false;
            m_connections.clear();
            m_facts = facts;
            m_foundAt = m_world.now();
            m_listedUpTo = m_committedUpTo = 0;
            m_endedAt.clear();
            recallLifetime();
            raiseFence();
            m_inventoryDue = m_isOpen;
            m_inventoryFence = fence();
            m_unreachable = false;
            trace("found");
        } else {
            if (m_goodbyeAt)
                facts.draining = true;
            if (*m_facts == facts)
                return;
        }
        m_facts = facts;
        sendFacts();
        if (isNew) {
            announceLateStarts(m_world.now());
            renewLease();
            poll(0);
        }
    }
    void workerStopping(const std::string &name)
    {
        if (!m_facts || m_facts->lifetime.worker != name)
            return;
        m_goodbyeAt = m_world.now();
        if (!std::exchange(m_facts->draining, true))
            sendFacts();
    }

private:
    enum class Stage : std::uint8_t { Starting, Unconfirmed, Running };
    struct Run
    {
        Stage stage = Stage::Starting;
        std::uint64_t fence = 0;
        std::optional<StartOrder> unsent;
        bool stopWanted = false;
        bool stopAnswered = false;
        Ms stopSentAt = 0;
        Ms seenAt = -1;
        Ms startSentAt = -1;
        Ms mayArriveUntil = -1;
    };
    using RunKey = std::pair<TaskRef, std::uint32_t>;

    void trace(std::string_view what)
    {
        m_world.trace("agent of {} born {}: {}", m_facts ? m_facts->lifetime.worker : "-",
                      m_facts ? m_facts->lifetime.startedAt : 0, what);
    }
    /// Carries out `action` later, unless the agent's process has ended by then.
    void after(Ms delay, std::function<void()> action)
    {
        m_world.after(delay, guarded(std::move(action)));
    }
    [[nodiscard]] std::function<void()> guarded(std::function<void()> action) const
    {
        return [alive = std::weak_ptr(m_alive), action = std::move(action)] {
            if (!alive.expired())
                action();
        };
    }
    [[nodiscard]] Machine::Callback
    guardedReply(std::function<void(const WorkerReply &)> action) const
    {
        return [alive = std::weak_ptr(m_alive), action = std::move(action)](const auto &reply) {
            if (!alive.expired())
                action(reply);
        };
    }
    [[nodiscard]] std::uint64_t fence() const { return m_sessionFence + m_fenceStep; }
    [[nodiscard]] bool isCurrent(const Lifetime &lifetime) const
    {
        return m_facts && m_facts->lifetime == lifetime;
    }
    void send(const FleetMessage &message)
    {
        if (m_isOpen)
            m_send(m_link, message);
    }
    void renewLink()
    {
        if (!m_link)
            return;
        m_link->breakOff();
        linkLost(m_link);
    }
    bool raiseFence()
    {
        if (m_fenceStep >= fenceSpan - 1) {
            renewLink();
            return false;
        }
        ++m_fenceStep;
        return true;
    }

    void opened(const SessionOpened &session)
    {
        m_isOpen = true;
        m_sessionFence = session.fence;
        m_fenceStep = 0;
        m_inventoryDue = true;
        m_inventoryFence = fence();
        m_barrier = {};
        m_listedUpTo = m_committedUpTo;
        m_unreachable = false;
        if (m_lastOpenStarts)
            send(*m_lastOpenStarts);
        if (m_lastCrash)
            send(*m_lastCrash);
        if (m_facts) {
            sendFacts();
            announceLateStarts(m_world.now());
        }
        renewLease();
        poll(0);
    }
    void sendFacts()
    {
        send(LifetimeAnswered{m_facts->lifetime});
        send(WorkerReport{*m_facts});
    }
    void renewLease()
    {
        if (m_facts)
            send(RenewLease{m_world.now()});
    }
    void renewRegularly()
    {
        renewLease();
        after(500, [this] { renewRegularly(); });
    }
    void sendTable()
    {
        if (m_isOpen && m_facts && !m_inventoryDue && !m_unreachable) {
            RunTable table{m_facts->lifetime, {}};
            for (const auto &[key, run] : m_runs) {
                if (run.stage == Stage::Running && run.seenAt >= 0)
                    table.rows.push_back({key.first, key.second, {}, 0, 0});
            }
            send(table);
        }
        after(500, [this] { sendTable(); });
    }
    void endsCommitted(const EndsCommitted &committed)
    {
        if (!isCurrent(committed.lifetime) || committed.upTo <= m_committedUpTo)
            return;
        m_committedUpTo = committed.upTo;
        if (m_openPolls > 0)
            return;
        ++m_pollTimer;
        m_hasPollTimer = false;
        schedulePoll(0);
    }

    void recallLifetime()
    {
        const Lifetime &lifetime = m_facts->lifetime;
        if (m_lastCrash && m_lastCrash->lifetime == lifetime)
            m_lastCrash.reset();
        if (!m_lastOpenStarts || m_lastOpenStarts->lifetime != lifetime)
            return;
        for (const TaskRun &open : m_lastOpenStarts->runs) {
            Run &run = m_runs[{open.task, open.run}];
            run.stage = Stage::Unconfirmed;
            run.fence = fence();
        }
        m_lastOpenStarts.reset();
    }
    void endLostLifetime()
    {
        endLifetime(m_facts->draining ? LifetimeEnd::Left : LifetimeEnd::Crashed);
    }
    void endLifetime(LifetimeEnd end)
    {
        const Lifetime lifetime = m_facts->lifetime;
        trace(nameOf(end));
        std::vector<TaskRun> recent;
        std::vector<TaskRun> open;
        for (const auto &[key, run] : m_runs) {
            const bool isOpen = end == LifetimeEnd::Unreachable
                ? mayWorkInNext(run)
                : run.stage != Stage::Running && !run.unsent;
            if (end == LifetimeEnd::Crashed && run.stage == Stage::Running && run.startSentAt >= 0
                && m_pollsFailSince.value_or(m_world.now()) - run.startSentAt <= 250)
                recent.push_back({key.first, key.second});
            if (isOpen)
                open.push_back({key.first, key.second});
        }
        if (!recent.empty())
            m_lastCrash = WorkerCrashed{lifetime, recent};
        if (!open.empty()) {
            send(OpenStarts{lifetime, open});
            if (end != LifetimeEnd::Unreachable)
                m_lastOpenStarts = OpenStarts{lifetime, open};
        }
        if (end == LifetimeEnd::Crashed)
            send(WorkerCrashed{lifetime, recent});
        send(LifetimeEnded{lifetime, end == LifetimeEnd::Unreachable});
        m_barrier.ended = lifetime;
        m_barrier.answersLeft.reset();
        if (end == LifetimeEnd::Unreachable)
            std::erase_if(m_runs, [this](const auto &each) { return !mayWorkInNext(each.second); });
        else
            m_runs.clear();
        if (end != LifetimeEnd::Unreachable) {
            m_facts.reset();
            m_lease.workerChanged(m_world.now());
        }
    }

    void schedulePoll(Ms delay);
    void poll(Ms wait);
    void identify();
    void sendPoll(PollRequest request);
    void handlePollReply(const PollRequest &request, Ms sent, const WorkerReply &reply);
    void processEnds(const WorkerReply &reply);
    void processRunning(const PollRequest &request, Ms sent, const WorkerReply &reply);
    /// Whether a lifetime that begins after `time` may carry the start out.
    [[nodiscard]] static bool mayArriveAfter(const Run &run, Ms time);
    /// Whether the run may work in a next lifetime of a worker that does not answer.
    [[nodiscard]] bool mayWorkInNext(const Run &run) const;
    /// Tells the leader which starts may be carried out by the next lifetime.
    void announceLateStarts(Ms sent);
    void dropOverdueStarts();
    void drop(const RunKey &key, std::string_view reason);
    void refuse(const Lifetime &lifetime, const RunKey &key, std::string_view reason);

    void startRun(const StartOrder &order);
    void sendStart(Run &run, const StartOrder &order);
    void startNotSent(const StartOrder &order, std::uint64_t sentUnder);
    [[nodiscard]] std::vector<StartOrder> unsentStarts() const;
    void sendUnsentStarts();
    void refuseUnsentStarts(std::string_view reason);
    void started(const Lifetime &lifetime, const RunKey &key, std::uint64_t sentUnder,
                 const WorkerReply &reply);
    void stopRun(const StopOrder &order);
    void sendStop(const RunKey &key);

    World &m_world;
    Machine &m_machine;
    SendToLeader m_send;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    LinkPointer m_link;
    bool m_namedAllStarts = true;
    Ms m_knowsAllFrom = 0; ///< Then starts of an earlier process of the agent cannot arrive.
    bool m_isOpen = false;
    std::uint64_t m_sessionFence = 0;
    std::uint64_t m_fenceStep = 0;
    bool m_inventoryDue = false;
    std::uint64_t m_inventoryFence = 0;
    std::optional<WorkerFacts> m_facts;
    Ms m_foundAt = 0;
    std::uint64_t m_sequence = 0;
    std::optional<Ms> m_goodbyeAt;
    std::optional<OpenStarts> m_lastOpenStarts;
    std::optional<WorkerCrashed> m_lastCrash;
    Barrier m_barrier;
    bool m_unreachable = false;
    bool m_answersPolls = true;
    bool m_lastPollRefused = false;
    std::optional<Ms> m_pollsFailSince;
    AgentLease m_lease;
    std::uint64_t m_listedUpTo = 0;
    std::uint64_t m_committedUpTo = 0;
    std::map<RunKey, Run> m_runs;
    std::map<RunKey, Ms> m_endedAt; ///< When their ends were listed last.
    std::uint64_t m_pollEpoch = 0;
    std::size_t m_openPolls = 0;
    bool m_isIdentifying = false;
    std::vector<WorkerConnection> m_connections; ///< On which the present lifetime has answered.
    std::uint64_t m_pollTimer = 0;
    bool m_hasPollTimer = false;
};

} // namespace guavashift::simulation
