#include <UnitTests/Fleet/AgentFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The agent of a worker that works on while a report of another lifetime arrives.
class ForeignReportTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(ForeignReportTest);
    CPPUNIT_TEST(reportOfAnotherWorkerEndsNoLifetime);
    CPPUNIT_TEST(reportOfALaterBirthEndsNoLifetime);
    CPPUNIT_TEST(strangersReportHidesNoWorkerFromTheLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against runs that are started elsewhere while they work: the report of another
    /// worker, which its own agent did not answer in time, ended the lifetime that they run in.
    void reportOfAnotherWorkerEndsNoLifetime()
    {
        runTask();
        WorkerFacts other = factsOf(2000);
        other.lifetime.worker = "w9";
        m_agent->workerReported({other, 1, {}});
        assertWorksOn();
    }

    /// Guards against the same after a step of the clock: the report names the worker and a birth
    /// after its own.
    void reportOfALaterBirthEndsNoLifetime()
    {
        runTask();
        m_agent->workerReported({factsOf(2000), 1, {}});
        assertWorksOn();
    }

    /// Guards against runs of an earlier process of the agent that are started elsewhere, because
    /// the first report which the new one gets is that of another worker.
    void strangersReportHidesNoWorkerFromTheLeader()
    {
        WorkerFacts other = factsOf(2000);
        other.lifetime.worker = "w9";
        m_agent->workerReported({other, 1, {}});
        until([this] { return !m_leader->all<InterferenceReport>().empty(); });
        runFor(std::chrono::milliseconds(100));
        CPPUNIT_ASSERT(m_leader->workers().empty());
    }

private:
    /// Has the worker run the task in the lifetime that began at 1000.
    void runTask()
    {
        startOn(factsOf(1000));
        m_worker.starts().back().answer(replyOf(1000));
        until([this] { return m_leader->all<Inventory>().size() == 1; });
    }

    /// Asserts that the agent neither reports an end of that lifetime nor stops polling it.
    void assertWorksOn()
    {
        constexpr std::size_t more = 4;
        const std::size_t before = m_worker.polls().size();
        until([&] {
            WorkerReply reply = replyOf(1000);
            RunStatus row;
            row.task = task;
            row.run = 1;
            reply.running = {row};
            m_worker.answerPolls(reply);
            CPPUNIT_ASSERT(m_leader->all<LifetimeEnded>().empty());
            CPPUNIT_ASSERT(m_leader->all<WorkerCrashed>().empty());
            return m_worker.polls().size() >= before + more;
        });
        for (std::size_t i = before; i < m_worker.polls().size(); ++i)
            CPPUNIT_ASSERT_EQUAL(std::string("w1"), m_worker.polls()[i].request.worker);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->workers().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ForeignReportTest);
