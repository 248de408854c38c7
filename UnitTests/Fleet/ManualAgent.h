#pragma once

#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/TestAssert.h>

namespace guavashift {

/// A session with the leader in which the test itself acts as the agent, of a worker with the label
/// "manual". For use on the event loop's thread only.
class ManualAgent final
{
public:
    ManualAgent(EventLoop &loop, const std::string &leader)
        : m_connection(loop, ChannelSettings{})
    {
        m_connection.setHandlers([this](std::string_view frame) { received(frame); }, {});
        m_connection.connect(leader);
        send(OpenSession{NodeRole::Agent, "manual-node", {}});
        WorkerFacts facts;
        facts.lifetime = m_lifetime;
        facts.service = "orders";
        facts.capacity = {64'000, 256'000, 0};
        facts.labels = {"manual"};
        send(WorkerReport{facts});
        send(Inventory{m_lifetime, {}});
    }

    /// Reports ends of runs as done.
    void reportEnds(const std::vector<StartOrder> &runs)
    {
        RunsEnded ended{m_lifetime, {}};
        for (const StartOrder &run : runs)
            ended.ends.push_back({++m_ends, {run.traits.task, run.traits.run, RunEnd::Done, {}}});
        send(ended);
    }
    /// Asks for the leader's address. The answer shows that everything sent before was read.
    void askForLeader() { send(LeaderQuery{}); }

    [[nodiscard]] const std::vector<StartOrder> &starts() const { return m_starts; }
    [[nodiscard]] int leaderAnswers() const { return m_leaderAnswers; }
    /// Highest number of an end that the leader reported as committed.
    [[nodiscard]] std::uint64_t committedUpTo() const { return m_committedUpTo; }

private:
    void send(const FleetMessage &message) { m_connection.send(encodeFrame(message)); }

    void received(std::string_view frame)
    {
        const std::optional<FleetMessage> message = decodeFrame(frame);
        CPPUNIT_ASSERT(message);
        std::visit(
            Overloaded{[&](const StartOrder &order) { m_starts.push_back(order); },
                       [&](const LeaderReply &) { ++m_leaderAnswers; },
                       [&](const EndsCommitted &committed) { m_committedUpTo = committed.upTo; },
                       [](const auto &) {}},
            *message);
    }

    const Lifetime m_lifetime{"manual", 3000};
    FrameConnection m_connection;
    std::vector<StartOrder> m_starts;
    int m_leaderAnswers = 0;
    std::uint64_t m_ends = 0;
    std::uint64_t m_committedUpTo = 0;
};

} // namespace guavashift
