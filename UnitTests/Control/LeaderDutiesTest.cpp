#include <Guavashift/Control/LeaderDuties.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

} // namespace

/// The leases that the leader grants to workers.
class LeaderDutiesTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LeaderDutiesTest);
    CPPUNIT_TEST(grantsNoLeaseWhileALossIsProposed);
    CPPUNIT_TEST(grantsLeasesAgainAfterALoss);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_state = StateMachine();
        m_state.apply(1, announcement());
        m_duties.start(at(0), 1);
        CPPUNIT_ASSERT(heartbeat(0).workerLeaseMs > 0);
    }

    /// Guards against a task that runs twice: its worker was granted a lease after its loss had
    /// been proposed, and the task was started elsewhere once the loss was committed.
    void grantsNoLeaseWhileALossIsProposed()
    {
        const std::vector<CommandBody> commands = m_duties.decide(m_state, at(expired), expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        const HeartbeatReply reply = heartbeat(expired + 1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, reply.workerLeaseMs);
        CPPUNIT_ASSERT(!reply.orders);
        m_state.apply(expired, commands[0]);
        CPPUNIT_ASSERT(heartbeat(expired + 2).announceNeeded);
    }

    /// Guards against a worker that is declared lost again and again, because it announces itself
    /// again before the leader decides anew.
    void grantsLeasesAgainAfterALoss()
    {
        const std::vector<CommandBody> commands = m_duties.decide(m_state, at(expired), expired);
        heartbeat(expired);
        m_state.apply(expired, commands.at(0));
        m_state.apply(expired, announcement());
        CPPUNIT_ASSERT(m_duties.decide(m_state, at(expired + 1), expired).empty());
        CPPUNIT_ASSERT(heartbeat(expired + 2).workerLeaseMs > 0);
        CPPUNIT_ASSERT(m_duties.decide(m_state, at(expired + 3), expired).empty());
    }

private:
    static AnnounceWorker announcement()
    {
        WorkerFacts facts;
        facts.incarnation.value = "w1-agent";
        facts.bootId = "boot";
        facts.capacity = {4'000, 4'000, 0};
        return {WorkerId{"w1"}, facts};
    }

    HeartbeatReply heartbeat(int milliseconds)
    {
        HeartbeatRequest request;
        request.node = "w1";
        request.incarnation.value = "w1-agent";
        std::vector<CommandBody> commands;
        return m_duties.heartbeat(m_state, request, at(milliseconds), commands);
    }

    static constexpr int expired = 10'000; ///< The lease that setUp() was granted has expired.

    StateMachine m_state;
    LeaderDuties m_duties{LeaseSettings{}, SchedulerSettings{}, 1};
};

CPPUNIT_TEST_SUITE_REGISTRATION(LeaderDutiesTest);
