#pragma once

#include "SimulatedWorld.h"

namespace guavashift::simulation {

/// A machine with one worker at a time, which follows the protocol, and the path of its agent to
/// it.
class Machine final
{
public:
    using Callback = std::function<void(const WorkerReply &)>;

    Machine(World &world, Judge &judge, int number, bool takesLateStarts, bool closesConnections)
        : m_world(world)
        , m_judge(judge)
        , m_number(number)
        , m_takesLateStarts(takesLateStarts)
        , m_closesConnections(closesConnections)
        , m_name(fmt::format("w{}", number))
        , m_keepsSeen(world.chance(500))
        , m_bornInStarts(world.chance(500))
        , m_faultsPerMille(static_cast<int>(world.between(0, 3)) * 25)
    {
        begin();
    }

    [[nodiscard]] bool isUp() const { return m_isUp; }
    [[nodiscard]] bool mayRestart() const { return m_isUp && m_world.now() >= m_restartFrom; }
    /// Whether starts for it go out on any connection, as its agent learns from its calls.
    [[nodiscard]] bool closesConnections() const { return m_closesConnections; }
    [[nodiscard]] bool pathIsSilent() const { return m_world.now() < m_silentUntil; }
    [[nodiscard]] WorkerFacts facts() const
    {
        WorkerFacts facts = worker(m_name, m_born);
        facts.capacity = {16'000, 100'000, 0};
        facts.draining = m_drains;
        return facts;
    }
    [[nodiscard]] std::uint64_t nextSequence() { return ++m_sequence; }

    /// Whether this lifetime answers at the machine's address.
    [[nodiscard]] bool isPresent(const Lifetime &lifetime) const
    {
        return m_isUp && lifetime == Lifetime{m_name, m_born};
    }

    void silence(Ms duration) { m_silentUntil = m_world.now() + duration; }
    /// Has the path to the worker refuse connections while the worker goes on.
    void refuse(Ms duration) { m_refusingUntil = m_world.now() + duration; }
    void crash()
    {
        m_world.trace("{} born {} ends", m_name, m_born);
        m_isUp = false;
        for (const auto &[task, run] : m_running)
            m_judge.ended(task);
        m_running.clear();
        auto waiting = std::exchange(m_waiting, {});
        for (const auto &each : waiting)
            each(false);
        m_world.after(m_world.between(20, 900), [this] { begin(); });
    }
    /// Ends at once; the next worker mostly has another name.
    void losePower()
    {
        if (!m_isUp)
            return;
        if (m_world.chance(700))
            m_nextName = fmt::format("w{}-{}", m_number, m_life + 1);
        crash();
    }
    /// Drains, says goodbye and ends; the next worker has another name or the same.
    void leave(const std::function<void(const std::string &)> &goodbye)
    {
        m_drains = true;
        m_world.trace("{} drains", m_name);
        const auto life = m_life;
        m_world.after(m_world.between(200, 2000), [this, life, goodbye] {
            if (!m_isUp || m_life != life)
                return;
            goodbye(m_name);
            m_world.after(m_world.between(5, 1500), [this, life] {
                if (!m_isUp || m_life != life)
                    return;
                if (m_world.chance(700))
                    m_nextName = fmt::format("w{}-{}", m_number, life + 1);
                crash();
            });
        });
    }

    void poll(const PollRequest &request, const Callback &callback)
    {
        if (request.connections && !isOpen(*request.connections))
            return notSent(callback);
        call(request.worker, request.connections, callTimeout + toMs(request.wait), callback,
             [this, request](const Callback &answer) { carryOut(request, answer); });
    }
    void start(const StartRequest &request, const Callback &callback)
    {
        const WorkerConnections connections =
            m_closesConnections ? WorkerConnections() : request.connections;
        if (connections && !isOpen(*connections))
            return notSent(callback);
        call(request.order.lifetime.worker, connections, callTimeout, callback,
             [this, request](const Callback &answer) {
                 WorkerReply reply = replyWith(carryOut(request));
                 if (!m_bornInStarts)
                     reply.born = 0;
                 answer(reply);
             });
    }
    void stop(const StopRequest &request, const Callback &callback)
    {
        call(request.order.lifetime.worker, std::nullopt, callTimeout, callback,
             [this, request](const Callback &answer) { answer(replyWith(carryOut(request))); });
    }

private:
    using Run = std::pair<const TaskRef, std::uint32_t>;

    void begin()
    {
        ++m_life;
        m_isUp = true;
        m_drains = false;
        if (!m_nextName.empty())
            m_name = std::exchange(m_nextName, {});
        m_born = m_world.now() + 1;
        m_restartFrom = m_world.now() + longestDelay + 500;
        m_clockBase = m_world.between(1, 1500);
        m_rate = m_world.chance(500) ? 1.0 : 0.98;
        m_sequence = 0;
        m_fence = 0;
        m_leaseEnd = 0;
        m_seen = 0;
        m_ended.clear();
        m_endsListed = 0;
        m_lapsedUpTo = 0;
        m_lowest.clear();
        m_world.trace("{} born {} begins", m_name, m_born);
    }
    void notSent(const Callback &callback)
    {
        m_world.after(0, [callback] {
            callback(WorkerReply{.result = WorkerCallResult::NotSent, .running = {}, .ended = {}});
        });
    }
    [[nodiscard]] bool isOpen(const std::vector<WorkerConnection> &connections) const
    {
        return std::find(connections.begin(), connections.end(), m_life) != connections.end();
    }
    [[nodiscard]] Ms clock() const
    {
        return m_clockBase
            + static_cast<Ms>(static_cast<double>(m_world.now() - m_born + 1) * m_rate);
    }
    [[nodiscard]] WorkerReply replyWith(WorkerCallResult result) const
    {
        WorkerReply reply;
        reply.result = result;
        reply.born = m_born;
        reply.clockMs = clock();
        reply.connection = m_life;
        for (const auto &[task, run] : m_running)
            reply.running.push_back({task, run, {}, 0, 0});
        reply.ended = m_ended;
        return reply;
    }

    /// Delays, loses and repeats nothing, but carries calls out late whose answer is lost.
    void call(const std::string &name, const WorkerConnections &connections, Ms timeout,
              const Callback &callback, const std::function<void(const Callback &)> &execute)
    {
        const auto answered = std::make_shared<bool>(false);
        const Callback once = [answered, callback](const WorkerReply &reply) {
            if (!std::exchange(*answered, true))
                callback(reply);
        };
        const auto fail = [once](WorkerCallResult result) {
            WorkerReply reply;
            reply.result = result;
            once(reply);
        };
        m_world.after(timeout, [fail] { fail(WorkerCallResult::NoAnswer); });
        const bool isFaulty =
            m_world.hasFaults() && (pathIsSilent() || m_world.chance(m_faultsPerMille));
        if (isFaulty && m_world.chance(400))
            return;
        const Ms delay = isFaulty ? m_world.between(0, longestDelay) : m_world.between(1, 10);
        m_world.after(delay, [this, name, connections, fail, once, execute, isFaulty] {
            if (connections && (!m_isUp || !isOpen(*connections)))
                return fail(WorkerCallResult::NoAnswer);
            if (m_world.now() < m_refusingUntil)
                return fail(connections ? WorkerCallResult::NoAnswer
                                        : WorkerCallResult::ConnectionRefused);
            if (!m_isUp)
                return isFaulty ? void() : fail(WorkerCallResult::ConnectionRefused);
            if (name != m_name)
                return isFaulty ? void() : fail(WorkerCallResult::OtherLifetime);
            execute([this, once, isFaulty](const WorkerReply &reply) {
                if (isFaulty || pathIsSilent())
                    return;
                m_world.after(m_world.between(1, 10), [once, reply] { once(reply); });
            });
        });
    }

    void carryOut(const PollRequest &request, const Callback &answer)
    {
        if (request.fence < m_fence)
            return answer(replyWith(WorkerCallResult::FencedOff));
        m_fence = request.fence;
        extend(request.untilMs);
        if (m_keepsSeen)
            m_seen = std::max(m_seen, request.seenUpTo);
        forget(request.seenUpTo);
        if (!m_ended.empty() || request.wait == Duration::zero())
            return answer(replyWith(WorkerCallResult::Done));
        const auto pending = std::make_shared<bool>(true);
        const auto finish = [this, pending, answer](bool isUp) {
            if (std::exchange(*pending, false) && isUp)
                answer(replyWith(WorkerCallResult::Done));
            else if (!isUp)
                *pending = false;
        };
        m_waiting.push_back(finish);
        m_world.after(toMs(request.wait), [this, life = m_life, finish] {
            if (life == m_life)
                finish(m_isUp);
        });
    }
    WorkerCallResult carryOut(const StartRequest &request)
    {
        if (!m_takesLateStarts && request.order.lifetime.startedAt != m_born)
            return WorkerCallResult::NoAnswer;
        if (request.fence < m_fence)
            return WorkerCallResult::FencedOff;
        m_fence = request.fence;
        const RunTraits &traits = request.order.traits;
        if (request.untilMs <= clock())
            return WorkerCallResult::TooLate;
        extend(request.untilMs);
        if (traits.run <= m_lowest[traits.task])
            return WorkerCallResult::TooOld;
        const auto present = m_running.find(traits.task);
        if (present != m_running.end() && present->second == traits.run)
            return WorkerCallResult::Done;
        m_world.trace("{} born {} starts {}:{} fence {}", m_name, m_born, traits.task.text(),
                      traits.run, request.fence);
        m_judge.started(traits.task, traits.run);
        m_running[traits.task] = traits.run;
        // The payload is the length of the task's work.
        m_world.after(std::stoll(request.order.payload), [this, life = m_life, traits] {
            if (life == m_life)
                end(traits.task, traits.run, RunEnd::Done);
        });
        return WorkerCallResult::Done;
    }
    WorkerCallResult carryOut(const StopRequest &request)
    {
        if (request.fence < m_fence)
            return WorkerCallResult::FencedOff;
        m_fence = request.fence;
        std::uint32_t &lowest = m_lowest[request.order.task];
        lowest = std::max(lowest, request.order.run);
        m_world.after(m_world.between(1, 300), [this, life = m_life, order = request.order] {
            if (life == m_life)
                end(order.task, order.run, RunEnd::Stopped);
        });
        return WorkerCallResult::Done;
    }

    void extend(Ms untilMs)
    {
        if (untilMs == 0)
            return;
        const Ms until = std::min(untilMs, clock() + longestLeaseMs);
        const Ms leaseEnd =
            m_world.now() + static_cast<Ms>(static_cast<double>(until - clock()) / m_rate);
        if (leaseEnd <= m_leaseEnd)
            return;
        m_leaseEnd = leaseEnd;
        m_world.after(leaseEnd - m_world.now(), [this, life = m_life] {
            if (life != m_life || m_world.now() < m_leaseEnd)
                return;
            const auto runs = m_running;
            for (const auto &[task, run] : runs)
                this->end(task, run, RunEnd::Lapsed);
            m_lapsedUpTo = m_endsListed;
        });
    }
    void end(const TaskRef &task, std::uint32_t run, RunEnd how)
    {
        const auto found = m_running.find(task);
        if (found == m_running.end() || found->second != run)
            return;
        m_running.erase(found);
        m_judge.ended(task);
        m_lowest[task] = std::max(m_lowest[task], run);
        m_ended.push_back({++m_endsListed, {task, run, how, {}, CrashEvidence::None}});
        m_world.trace("{} born {} ends {}:{} {} number {}", m_name, m_born, task.text(), run,
                      nameOf(how), m_endsListed);
        if (m_keepsSeen)
            forget(m_seen);
        auto waiting = std::exchange(m_waiting, {});
        for (const auto &each : waiting)
            each(true);
    }
    void forget(std::uint64_t upTo)
    {
        std::erase_if(m_ended, [&](const ListedEnd &each) {
            if (each.number > upTo)
                return false;
            // An acknowledgement after the lease has lapsed does not count.
            if (each.number > m_lapsedUpTo)
                m_judge.acknowledged(each.end);
            return true;
        });
    }

    World &m_world;
    Judge &m_judge;
    int m_number;
    bool m_takesLateStarts;   ///< Also those that were sent to an earlier lifetime.
    bool m_closesConnections; ///< Starts for it go out on any connection.
    std::string m_name;
    std::string m_nextName;
    bool m_keepsSeen;     ///< Whether the highest `seen_upto` also counts for later ends.
    bool m_bornInStarts;  ///< Whether answers to starts name the lifetime.
    int m_faultsPerMille; ///< Of calls on a path that isn't silent.
    Ms m_silentUntil = 0;
    Ms m_refusingUntil = 0;
    std::uint64_t m_life = 0;
    bool m_isUp = false;
    bool m_drains = false;
    Ms m_born = 0;
    Ms m_restartFrom = 0;
    Ms m_clockBase = 0;
    double m_rate = 1;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_fence = 0;
    Ms m_leaseEnd = 0;
    std::uint64_t m_seen = 0;
    std::uint64_t m_endsListed = 0;
    std::uint64_t m_lapsedUpTo = 0; ///< The lease has lapsed since these ends.
    std::map<TaskRef, std::uint32_t> m_running;
    std::map<TaskRef, std::uint32_t> m_lowest; ///< Highest run stopped or ended there.
    std::vector<ListedEnd> m_ended;
    std::vector<std::function<void(bool)>> m_waiting;
};

} // namespace guavashift::simulation
