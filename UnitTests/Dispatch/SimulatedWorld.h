#pragma once

#include "DispatchFixture.h"

#include <Guavashift/Fleet/WorkerPort.h>

#include <memory>
#include <random>

namespace guavashift::simulation {

/// Virtual time in milliseconds.
using Ms = std::int64_t;

inline constexpr Ms faultsEnd = 16'000;
inline constexpr Ms giveUp = 60'000;
inline constexpr Ms callTimeout = 1000;
/// Longest time after which a call without an answer is still carried out.
inline constexpr Ms longestDelay = 2500;
inline constexpr Ms longestLeaseMs = 6000;
inline constexpr Ms workerLeaseMs = 4500;
inline constexpr std::size_t tracedLines = 120;

/// Random numbers, events in the order of virtual time, and what was seen.
class World final
{
public:
    World(std::uint64_t seed, bool traces)
        : m_random(seed)
        , m_traces(traces)
    {
    }

    [[nodiscard]] Ms now() const { return m_now; }
    [[nodiscard]] bool hasFaults() const { return m_now < faultsEnd; }
    Ms between(Ms low, Ms high)
    {
        return low + static_cast<Ms>(m_random() % static_cast<std::uint64_t>(high - low + 1));
    }
    bool chance(int perMille) { return between(0, 999) < perMille; }

    void after(Ms delay, std::function<void()> action)
    {
        m_events.emplace(m_now + delay, std::move(action));
    }
    /// Carries out the next event.
    void step()
    {
        auto event = m_events.extract(m_events.begin());
        m_now = event.key();
        event.mapped()();
    }

    template <typename... Arguments>
    void trace(fmt::format_string<Arguments...> text, Arguments &&...arguments)
    {
        if (!m_traces)
            return;
        m_lines.push_back(fmt::format("{:6} ", m_now)
                          + fmt::format(text, std::forward<Arguments>(arguments)...));
        if (m_lines.size() > tracedLines)
            m_lines.pop_front();
    }
    void fail(const std::string &failure)
    {
        trace("FAILURE {}", failure);
        if (m_failure.empty())
            m_failure = failure;
    }
    [[nodiscard]] const std::string &failure() const { return m_failure; }
    [[nodiscard]] const std::deque<std::string> &lines() const { return m_lines; }

private:
    std::mt19937_64 m_random;
    bool m_traces;
    Ms m_now = 0;
    std::multimap<Ms, std::function<void()>> m_events;
    std::string m_failure;
    std::deque<std::string> m_lines;
};

/// Checks the runs of all workers against the rule that no task runs twice.
class Judge final
{
public:
    explicit Judge(World &world)
        : m_world(world)
    {
    }

    void started(const TaskRef &task, std::uint32_t run)
    {
        if (m_acknowledged.contains(task))
            m_world.fail(fmt::format("{}:{} started after an acknowledged end{}", task.text(), run,
                                     m_refused.contains(task) ? ", which came too late" : ""));
        if (!m_running.insert(task).second)
            m_world.fail(fmt::format("{}:{} started while another run works", task.text(), run));
        ++m_starts;
    }
    void ended(const TaskRef &task) { m_running.erase(task); }
    /// Handles that the job table did not take the end of a run that is done.
    void refused(const EndRun &end) { m_refused.insert(end.task); }
    void acknowledged(const EndRun &end)
    {
        if (end.end == RunEnd::Done)
            m_acknowledged.insert(end.task);
    }
    [[nodiscard]] std::uint64_t starts() const { return m_starts; }

private:
    World &m_world;
    std::set<TaskRef> m_running;
    std::set<TaskRef> m_acknowledged;
    std::set<TaskRef> m_refused;
    std::uint64_t m_starts = 0;
};

} // namespace guavashift::simulation
