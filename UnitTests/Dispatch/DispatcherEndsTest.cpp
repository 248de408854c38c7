#include "DispatcherFixture.h"

using namespace guavashift;

/// Tests of ends of runs: refused, derived, late, and those of gangs.
class DispatcherEndsTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(DispatcherEndsTest);
    CPPUNIT_TEST(settlesRunsWhoseOrderWasNeverSent);
    CPPUNIT_TEST(endedGangReleasesAllItsCapacity);
    CPPUNIT_TEST(endsJobsWithoutAnAttemptLeft);
    CPPUNIT_TEST(refusedStartThatEndsAJobWithdrawsItsTasks);
    CPPUNIT_TEST(lateDoneEndOfALapsedRunStartsTheNextStep);
    CPPUNIT_TEST(doneEndFollowsAProposedDerivedEnd);
    CPPUNIT_TEST(lateDoneEndBeforeTheProposedNextRun);
    CPPUNIT_TEST(lateDoneEndAfterTheProposedNextRun);
    CPPUNIT_TEST(lateDoneEndOfAGangWithdrawsItsMembers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A run that was committed between two sessions of its worker's agent stayed bound forever.
    void settlesRunsWhoseOrderWasNeverSent()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(1), 1);
        m_dispatcher->nodeLost("n1");
        commit(commands, 3);
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
        // The next session began before the commit, and its agent reported after it.
        m_dispatcher->workerReported("n1", worker("w1"), at(4));
        m_dispatcher->inventoryReported(worker("w1").lifetime, {}, at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({"j", 0, 0, 0})->run);
    }

    /// The first end in a gang settles all members, so the later ends changed nothing in the job
    /// table, and the capacity of those members stayed reserved until their workers restarted.
    void endedGangReleasesAllItsCapacity()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan gang = plan(2, 30'000);
        gang.steps[0].gang = true;
        gang.steps.push_back(plan(1, 1000).steps[0]);
        gang.steps[1].after = {0};
        accept("j", gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        end({"j", 0, 0, 0}, 1, RunEnd::Done, 100);
        end({"j", 0, 0, 1}, 1, RunEnd::Done, 200);
        accept("wide", plan(1, 60'000));
        decideAndCommit(300);
        decideAndCommit(400);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"wide", 0, 0, 0})->stage);
    }

    /// A configuration that lowers the number of attempts left tasks waiting that may not start any
    /// more: their jobs never ended, and the leader proposed them again in each round.
    void endsJobsWithoutAnAttemptLeft()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        end({"j", 0, 0, 0}, 1, RunEnd::Failed, 2);
        commit({ReplaceConfiguration{"once"}}, 3);
        std::size_t proposed = 0;
        constexpr int rounds = 20;
        for (int i = 0; i < rounds; ++i)
            proposed += decideAndCommit(100 * (i + 1));
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} commands in {} rounds", proposed, rounds),
                               StageJobStatus::Failed == m_jobTable->find("j")->status);
    }

    /// The refused start of one task ends the job. Its other tasks would stay in the queue without
    /// a plan, or keep running.
    void refusedStartThatEndsAJobWithdrawsItsTasks()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(5, 20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        m_dispatcher->endReported({{"j", 0, 0, 0}, 1, RunEnd::Failed, {}});
        m_dispatcher->endReported({{"j", 0, 0, 1}, 1, RunEnd::Done, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(100));
        commit({ReplaceConfiguration{"once"}}, 101);
        m_dispatcher->takeOrders();
        // Two tasks are proposed together, one more waits, and one runs.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(200));
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("j")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stopsOrdered());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(300));
        end({"j", 0, 0, 2}, 1, RunEnd::Stopped, 400);
        CPPUNIT_ASSERT(m_jobTable->find("j")->plan.steps.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(500));
        // All capacity is free again.
        accept("next", plan(1, 64'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(600));
    }

    /// A leader that read no reports in time settled a run as lapsed and then ignored its end: the
    /// task ran twice.
    void lateDoneEndOfALapsedRunStartsTheNextStep()
    {
        lapseFirstRun();
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Failed, {}});
        m_dispatcher->endReported({m_firstTask, 2, RunEnd::Done, {}});
        CPPUNIT_ASSERT(m_dispatcher->takeCommands().empty());
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        const std::vector<StageCommand> ends = m_dispatcher->takeCommands();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        commit(ends, 5001);
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5002)));
        expectOnlyTheSecondStepStarts(5003);
    }

    /// The done end of a run was ignored while another end of it was on its way to the disks.
    void doneEndFollowsAProposedDerivedEnd()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", twoSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        m_dispatcher->inventoryReported(worker("w1").lifetime, {}, at(2));
        const std::vector<StageCommand> settled = m_dispatcher->takeCommands();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settled.size());
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        const std::vector<StageCommand> done = m_dispatcher->takeCommands();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, done.size());
        commit(settled, 3);
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        CPPUNIT_ASSERT(m_dispatcher->takeCommands().empty());
        commit(done, 3);
        expectOnlyTheSecondStepStarts(4);
    }

    /// The proposed next run, which the late end makes needless, must free its capacity and must
    /// not be proposed again.
    void lateDoneEndBeforeTheProposedNextRun()
    {
        lapseFirstRun();
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5001)));
        const std::vector<StageCommand> next = m_dispatcher->decide(at(5002), 5002);
        CPPUNIT_ASSERT_EQUAL(2U, onlyStart(next).run);
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        commit(m_dispatcher->takeCommands(), 5003);
        commit(next, 5004);
        expectOnlyTheSecondStepStarts(5005);
    }

    /// The late end comes after the next run in the log: that run counts and stays placed.
    void lateDoneEndAfterTheProposedNextRun()
    {
        lapseFirstRun();
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5001)));
        const std::vector<StageCommand> next = m_dispatcher->decide(at(5002), 5002);
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        const std::vector<StageCommand> late = m_dispatcher->takeCommands();
        commit(next, 5003);
        commit(late, 5004);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find(m_firstTask)->stage);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(5005));
        m_dispatcher->endReported({m_firstTask, 2, RunEnd::Done, {}});
        commit(m_dispatcher->takeCommands(), 5006);
        expectOnlyTheSecondStepStarts(5007);
    }

    /// Members of a gang that is done stayed in the queue, or were queued again once the start of
    /// their next run was refused.
    void lateDoneEndOfAGangWithdrawsItsMembers()
    {
        for (const bool proposed : {false, true}) {
            setUp();
            m_dispatcher->workerReported("n1", worker("w1"), at(0));
            JobPlan gangs = plan(2, 32'000);
            gangs.steps[0].gang = true;
            gangs.occurrences = 2;
            gangs.intervalMs = 100'000;
            accept("j", gangs);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(5000));
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5001)));
            std::vector<StageCommand> next;
            if (proposed)
                next = m_dispatcher->decide(at(5002), 5002);
            CPPUNIT_ASSERT_EQUAL(std::size_t{proposed ? 2U : 0U}, next.size());
            m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
            commit(m_dispatcher->takeCommands(), 5003);
            commit(next, 5004);
            CPPUNIT_ASSERT(m_jobTable->find("j")->occurrencesDone.contains(0));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(5005));
            // All capacity is free again.
            accept("next", plan(1, 64'000));
            CPPUNIT_ASSERT_EQUAL(std::string("next"),
                                 onlyStart(m_dispatcher->decide(at(5100), 5100)).task.job);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherEndsTest);
