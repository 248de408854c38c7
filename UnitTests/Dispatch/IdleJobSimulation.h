#pragma once

#include "DispatchFixture.h"

#include <deque>
#include <memory>
#include <random>

namespace guavashift::idlejobs {

/// Virtual time in milliseconds.
using Ms = std::int64_t;

/// After the end of all trouble and traffic, before jobs are judged.
inline constexpr Ms settleTime = 14'000;
/// For this long a job may have nothing running while its service has capacity.
inline constexpr Ms longestIdle = 3000;
inline constexpr Ms judgedTime = 2 * longestIdle;

/// Leaders, agents with their workers and callers in virtual time, in trouble first and in calm
/// later. At the end of the calm, each job must have something running if there is capacity.
class IdleJobSimulation final
{
public:
    /// `mayStartLate`: whether starts may go out on any connection, so that the next lifetime of a
    /// worker may carry them out.
    IdleJobSimulation(std::uint64_t seed, bool mayStartLate, bool traces);

    /// Returns a description of the job that waits; empty if none does.
    std::string run();

    [[nodiscard]] const std::deque<std::string> &lines() const { return m_lines; }
    [[nodiscard]] std::uint64_t starts() const { return m_starts; }
    /// Longest time, up to the limit, for which a job had nothing running while it was judged.
    [[nodiscard]] Ms longestWait() const { return m_longestWait; }

private:
    struct Run
    {
        std::uint32_t number = 0;
        StepPlan step;
        double leftMs = 0;
        bool fails = false;
        bool joined = false; ///< All members of its gang have run.
        Ms startedAt = 0;
        std::optional<Ms> stopAt;
    };
    using RunKey = std::pair<TaskRef, std::uint32_t>;
    /// A worker and its agent.
    struct Site
    {
        std::string node;
        WorkerFacts facts;
        bool isUp = true;
        bool isGone = false;
        bool crashesAtStart = false; ///< Shortly after the next one.
        Ms loadPhase = 0;
        Ms upAgainAt = 0;
        Ms coldUntil = 0;
        Ms leavesAt = 0; ///< While it drains.
        Ms leaseEnd = 0;
        Ms silentUntil = 0; ///< The worker does not answer its agent.
        bool isUnreachable = false;
        Ms cutUntil = 0;
        std::uint64_t session = 0; ///< 0: none.
        Ms openedAt = 0;
        Ms lastDelivery = 0;
        bool inventoryDue = true;
        Ms nextReport = 0;
        Ms nextRenewal = 0;
        std::map<TaskRef, Run> runs;
        std::map<TaskRef, std::uint32_t> lowest;    ///< Highest run stopped or ended there.
        std::vector<EndRun> ends;                   ///< Not acknowledged.
        std::map<RunKey, Ms> unanswered;            ///< Starts, and when they are given up.
        std::vector<std::function<void()>> notices; ///< For the next session.
    };
    struct Proposal
    {
        Ms commitAt = 0;
        std::vector<StageCommand> commands;
        std::function<void()> committed;
    };

    // IdleJobSimulation.cpp
    [[nodiscard]] Instant instant() const { return at(static_cast<int>(m_now)); }
    [[nodiscard]] bool isTroubled() const { return m_now < m_calmFrom; }
    Ms between(Ms low, Ms high)
    {
        return low + static_cast<Ms>(m_random() % static_cast<std::uint64_t>(high - low + 1));
    }
    bool chance(int perMille) { return between(0, 999) < perMille; }
    template <typename... Arguments>
    void trace(fmt::format_string<Arguments...> text, Arguments &&...arguments)
    {
        constexpr std::size_t tracedLines = 220;
        if (!m_traces)
            return;
        m_lines.push_back(fmt::format("{:6} ", m_now)
                          + fmt::format(text, std::forward<Arguments>(arguments)...));
        if (m_lines.size() > tracedLines)
            m_lines.pop_front();
    }

    void submit();
    JobPlan randomJob();
    void startLeader();
    void stopLeader();
    void propose(std::vector<StageCommand> commands, std::function<void()> committed = {});
    void commit();
    void lead();
    void injectFault();
    std::string judge();
    [[nodiscard]] bool isOwed(const std::string &id, const StageJob &job) const;
    [[nodiscard]] std::string describe(const std::string &id, Ms since) const;

    // IdleJobSites.cpp
    void beginLife(Site &site, bool isRenamed);
    void endLife(Site &site, LifetimeEnd end);
    void closeSession(Site &site);
    void openSession(Site &site);
    /// Carries out `action` at the leader, in the order of the session's messages.
    void send(Site &site, const std::function<void()> &action);
    void refuse(Site &site, const Lifetime &lifetime, const RunKey &key);
    void received(Site &site, const AgentOrder &order);
    void start(Site &site, const StartOrder &order);
    void stop(Site &site, const StopOrder &order);
    void sendEnd(Site &site, const EndRun &end);
    void endRun(Site &site, const TaskRef &task, RunEnd end);
    void step(Site &site);
    void work(Site &site);
    void workInGang(Site &site, const TaskRef &task);
    void report(Site &site);
    [[nodiscard]] double ownHeadroomOf(const Site &site, const std::string &image) const;
    /// Share of its demand at which best-effort tasks work there.
    [[nodiscard]] double activityOf(const Site &site) const;
    [[nodiscard]] double lossOf(const Site &site, const std::string &image) const;
    [[nodiscard]] static Resources usedOn(const Site &site);

    std::mt19937_64 m_random;
    DispatchSettings m_settings;
    bool m_traces;
    Ms m_now = 0;
    Ms m_calmFrom = 0;
    std::multimap<Ms, std::function<void()>> m_events;
    JobTable m_table;
    std::unique_ptr<Dispatcher> m_dispatcher;
    Ms m_leadsSince = 0;
    std::uint64_t m_sessions = 0;
    std::deque<Proposal> m_proposals;
    Ms m_lastCommit = 0;
    std::vector<std::unique_ptr<Site>> m_sites;
    std::map<std::pair<std::string, std::string>, double> m_interference;
    std::map<std::string, double> m_ownHeadroom; ///< Of latency-critical images.
    double m_loadSwing = 0;
    int m_failurePerMille = 0;
    bool m_throttles = false;
    bool m_startsLate = false;
    std::array<int, 8> m_faultWeights{};
    int m_jobs = 0;
    std::set<std::string> m_badJobs; ///< All their runs fail.
    std::map<std::string, Ms> m_idleSince;
    std::optional<IdleJobs> m_lastIdle;
    std::uint64_t m_starts = 0;
    Ms m_longestWait = 0;
    std::deque<std::string> m_lines;
};

} // namespace guavashift::idlejobs
