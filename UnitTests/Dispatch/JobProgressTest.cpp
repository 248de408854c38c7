#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Which jobs count as begun.
class JobProgressTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(JobProgressTest);
    CPPUNIT_TEST(boundJobWaitsUntilItsRunIsListed);
    CPPUNIT_TEST(jobWhoseStartNeverArrivedWaits);
    CPPUNIT_TEST(jobBeginsWithTheReportedEndOfARun);
    CPPUNIT_TEST(jobThatBeganNeverWaitsAgain);
    CPPUNIT_TEST(endedJobDoesNotWait);
    CPPUNIT_TEST(gangBeginsWithItsFirstMember);
    CPPUNIT_TEST(nextLeaderLearnsWhichJobsHaveBegun);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(0));
        accept("j", plan(2, 1000));
        decideAndCommit(1);
    }

    /// Guards against a job that is said to run although no start of it was answered.
    void boundJobWaitsUntilItsRunIsListed()
    {
        assertWaits(true);
        m_dispatcher->runsReported({"w1", 1}, listed(), at(2));
        assertWaits(false);
    }

    void jobWhoseStartNeverArrivedWaits()
    {
        m_dispatcher->startRefused({"w1", 1}, ref, 1, at(2));
        decideAndCommit(3);
        decideAndCommit(600);
        assertWaits(true);
        m_dispatcher->lifetimeEnded({"w1", 1}, LifetimeEnd::Left, LifetimeProof::AnsweredByAnother,
                                    {});
        decideAndCommit(601);
        assertWaits(true);
    }

    void jobBeginsWithTheReportedEndOfARun()
    {
        m_dispatcher->endReported({ref, 1, RunEnd::Failed, {}});
        assertWaits(false);
    }

    void jobThatBeganNeverWaitsAgain()
    {
        m_dispatcher->runsReported({"w1", 1}, listed(), at(2));
        m_dispatcher->lifetimeEnded({"w1", 1}, LifetimeEnd::Left, LifetimeProof::AnsweredByAnother,
                                    {});
        decideAndCommit(3);
        m_dispatcher->workerReported("n1", worker("w1", 2), at(4));
        decideAndCommit(5);
        assertWaits(false);
    }

    void endedJobDoesNotWait()
    {
        commit({CancelJob{"j"}}, 2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dispatcher->waitingIn("batch"));
    }

    void gangBeginsWithItsFirstMember()
    {
        commit({CancelJob{"j"}}, 2);
        JobPlan gang = plan(2, 1000);
        gang.steps[0].gang = true;
        accept("g", gang);
        decideAndCommit(3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->waitingIn("batch"));
        m_dispatcher->runsReported({"w1", 1}, std::vector<RunStatus>{{{"g", 0, 0, 1}, 1, {}, 0, 0}},
                                   at(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dispatcher->waitingIn("batch"));
    }

    /// Guards against a figure that a new leader lacks.
    void nextLeaderLearnsWhichJobsHaveBegun()
    {
        accept("done", plan(2, 1000));
        decideAndCommit(2);
        m_dispatcher->endReported({{"done", 0, 0, 0}, 1, RunEnd::Done, {}});
        decideAndCommit(3);
        m_dispatcher->start(at(10));
        // One of the two has an end in the state, the other may have begun or not.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->waitingIn("batch"));
        assertWaits(true);
        m_dispatcher->workerReported("n1", worker("w1"), at(11));
        m_dispatcher->inventoryReported({"w1", 1}, listed(), at(10));
        assertWaits(false);
    }

private:
    /// Checks whether the job, the only one that may, waits.
    void assertWaits(bool waits)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{waits ? 1U : 0U}, m_dispatcher->waitingIn("batch"));
        CPPUNIT_ASSERT_EQUAL(!waits, m_dispatcher->hasBegun("j", *m_jobTable->find("j")));
    }

    [[nodiscard]] static std::vector<RunStatus> listed() { return {{ref, 1, {}, 10, 0}}; }

    void accept(const std::string &job, const JobPlan &plan)
    {
        commit({AcceptJob{job, "batch", plan}}, 0);
    }

    void commit(const std::vector<StageCommand> &commands, int milliseconds)
    {
        for (const StageCommand &command : commands) {
            const StageOutcome outcome = m_jobTable->apply(0, command);
            m_dispatcher->applied(command, outcome, at(milliseconds));
        }
    }

    void decideAndCommit(int milliseconds)
    {
        commit(m_dispatcher->decide(at(milliseconds), milliseconds), milliseconds);
    }

    static inline const TaskRef ref{"j", 0, 0, 0};

    std::unique_ptr<JobTable> m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobProgressTest);
