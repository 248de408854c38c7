#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Which jobs a dispatcher starts when more work is due than one worker of 64 cores can do. All
/// jobs should be complete three seconds after they were accepted.
class OverloadTest : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(OverloadTest);
    CPPUNIT_TEST(largeJobGivesWayToThoseThatCanBeInTime);
    CPPUNIT_TEST(calmLoadIsPlacedInTheOrderOfArrivalTies);
    CPPUNIT_TEST(newLeaderWithAFullTableChoosesTheSameJobs);
    CPPUNIT_TEST(longRunningTasksHoldRoom);
    CPPUNIT_TEST(bestEffortTasksGetFullSpeedUnderOverload);
    CPPUNIT_TEST(bestEffortTaskLargerThanTheRoomIsNotForgotten);
    CPPUNIT_TEST(jobIsRefusedOnlyWhileRunsFillTheRoom);
    CPPUNIT_TEST(refusedRunsAndLostProposalsLeaveTheAccountRight);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        DispatchSettings settings;
        settings.ordersJobsUnderOverload = true;
        settings.refusesLateSubmissions = true;
        m_dispatcher = std::make_unique<Dispatcher>(settings, *m_jobTable);
        startLeader(0);
    }

    void startLeader(int milliseconds)
    {
        m_dispatcher->start(at(milliseconds));
        m_dispatcher->workerReported("n1", worker("w1"), at(milliseconds));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(milliseconds));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(milliseconds)));
    }

    void accept(const std::string &job, const JobPlan &plan)
    {
        commit({AcceptJob{job, "batch", plan}}, 0);
    }

    [[nodiscard]] std::size_t boundOf(const std::string &job) const
    {
        return m_jobTable->find(job)->bound;
    }

    void end(const std::string &job, std::uint32_t tasks, RunEnd how, int milliseconds)
    {
        for (std::uint32_t t = 0; t < tasks; ++t)
            commit({EndRun{{job, 0, 0, t}, 1, how, {}, {}}}, milliseconds);
    }

    void largeJobGivesWayToThoseThatCanBeInTime()
    {
        accept("a-large", plan(384, 1000));
        accept("b", plan(32, 1000));
        accept("c", plan(32, 1000));
        decideAndCommit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, boundOf("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, boundOf("c"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, boundOf("a-large"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_dispatcher->overloadCounts().putBack);
        // It is done all the same.
        end("b", 32, RunEnd::Done, 1000);
        decideAndCommit(1200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, boundOf("a-large"));
    }

    void calmLoadIsPlacedInTheOrderOfArrivalTies()
    {
        accept("a", plan(60, 1000));
        accept("b", plan(32, 1000));
        decideAndCommit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{60}, boundOf("a"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, boundOf("b"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, m_dispatcher->overloadCounts().putBack);
        CPPUNIT_ASSERT(m_dispatcher->overloadCounts().load < 1);
    }

    void newLeaderWithAFullTableChoosesTheSameJobs()
    {
        accept("a-large", plan(384, 1000));
        accept("b", plan(32, 1000));
        startLeader(500);
        decideAndCommit(501);
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, boundOf("b"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{32}, boundOf("a-large"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, m_dispatcher->overloadCounts().putBack);
    }

    void longRunningTasksHoldRoom()
    {
        JobPlan lasting = plan(60, 1000);
        lasting.steps[0].longRunning = true;
        accept("lasting", lasting);
        decideAndCommit(1);
        accept("a", plan(8, 1000));
        decideAndCommit(200);
        // Two waves of four tasks.
        CPPUNIT_ASSERT(m_dispatcher->overloadCounts().load > 0.5);
    }

    static JobPlan bestEffort(std::uint32_t tasks, std::int64_t milliCores)
    {
        JobPlan plan = guavashift::plan(tasks, milliCores);
        plan.steps[0].bestEffort = true;
        return plan;
    }

    void bestEffortTasksGetFullSpeedUnderOverload()
    {
        // Without overload, a quarter more than the worker has.
        accept("calm", bestEffort(80, 1000));
        decideAndCommit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{80}, boundOf("calm"));
        end("calm", 80, RunEnd::Done, 500);
        accept("wide", bestEffort(1000, 1000));
        decideAndCommit(700);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, boundOf("wide"));
    }

    /// Guards against a job that waits for ever because it makes its own pool overloaded: it can't
    /// be in time any more, and needs more than the worker leaves unused.
    void bestEffortTaskLargerThanTheRoomIsNotForgotten()
    {
        accept("large", bestEffort(1, 70'000));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(9900)));
        decideAndCommit(10'000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, boundOf("large"));
    }

    void jobIsRefusedOnlyWhileRunsFillTheRoom()
    {
        const QueueSettings &queue = *m_jobTable->queues().find("batch");
        accept("a", plan(64, 1000, 60'000));
        decideAndCommit(1);
        decideAndCommit(4000);
        CPPUNIT_ASSERT(m_dispatcher->refusalOf("b", queue, plan(1, 1000), at(4000), 4000));
        end("a", 64, RunEnd::Done, 4100);
        decideAndCommit(4300);
        CPPUNIT_ASSERT(!m_dispatcher->refusalOf("b", queue, plan(1, 1000), at(4300), 4300));
    }

    /// Guards against work that stays in the account for runs that never were.
    void refusedRunsAndLostProposalsLeaveTheAccountRight()
    {
        accept("a", plan(64, 1000));
        for (const StageCommand &command : m_dispatcher->decide(at(1), 1))
            m_dispatcher->proposalLost(command);
        decideAndCommit(100);
        end("a", 32, RunEnd::NotStarted, 200);
        const double before = m_dispatcher->overloadCounts().load;
        decideAndCommit(300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, boundOf("a"));
        decideAndCommit(500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(before, m_dispatcher->overloadCounts().load, 0.2);
        commit({CancelJob{"a"}}, 600);
        decideAndCommit(700);
        CPPUNIT_ASSERT_EQUAL(0.0, m_dispatcher->overloadCounts().load);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OverloadTest);
