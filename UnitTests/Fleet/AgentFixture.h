#pragma once

#include <UnitTests/Fleet/FakeLeader.h>
#include <UnitTests/Fleet/HeldWorker.h>

#include <Guavashift/Fleet/AgentNode.h>

#include <cppunit/TestFixture.h>

namespace guavashift {

/// An agent between a leader and a worker that the test plays itself.
class AgentFixture : public CppUnit::TestFixture
{
public:
    void setUp() override;
    void tearDown() override;

protected:
    /// A lifetime of the worker.
    [[nodiscard]] static WorkerFacts factsOf(std::int64_t startedAt);
    /// The successful answer of that lifetime to any call, on the connection of the same number.
    [[nodiscard]] static WorkerReply replyOf(std::int64_t born);
    /// The order to start run 1 of `task` in that lifetime.
    [[nodiscard]] static StartOrder orderFor(const WorkerFacts &facts);

    /// Reports a lifetime, which its worker confirms, and waits for the first poll of it.
    void report(const WorkerFacts &facts, std::uint64_t sequence = 1);
    /// Answers the probes that verify reports, in that lifetime.
    void confirm(const WorkerFacts &facts);
    /// Grants the lease that the agent asked for, for the lifetime reported last.
    void grant();
    /// Reports a lifetime, answers its first poll and has the agent send a start, which stays
    /// unanswered.
    void startOn(const WorkerFacts &facts);
    void runFor(Duration time);
    /// Runs the event loop until the condition holds. Fails after 30 s, far more than any test
    /// needs.
    void until(const std::function<bool()> &condition);

    static inline const TaskRef task{"j", 0, 0, 0};

    FleetBounds m_bounds;              ///< Of the agent. Set before setUp().
    AgentNodeSettings m_agentSettings; ///< Set before setUp().
    std::unique_ptr<EventLoop> m_loop;
    FleetMetrics m_metrics;
    HeldWorker m_worker;
    std::unique_ptr<FakeLeader> m_leader;
    std::unique_ptr<AgentNode> m_agent;
    Instant m_reportedAt; ///< By report().
};

} // namespace guavashift
