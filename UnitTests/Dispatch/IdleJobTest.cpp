#include "DispatcherFixture.h"

using namespace guavashift;

/// Tests of the list of jobs of which nothing runs.
class IdleJobTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(IdleJobTest);
    CPPUNIT_TEST(countsWhyNoWorkerTakesABestEffortTask);
    CPPUNIT_TEST(namesABoundTaskThatIsNotListed);
    CPPUNIT_TEST(findsNoIdleJobWhileATaskRuns);
    CPPUNIT_TEST(namesNoJobThatHasEnded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a job that waits beside free capacity and is named nowhere.
    void countsWhyNoWorkerTakesABestEffortTask()
    {
        addWorkers(2);
        JobPlan serving = longRunningPlan(2, 8000);
        serving.steps[0].tailTargetMs = 50;
        serving.steps[0].maxPerWorker = 1;
        serving.steps[0].image = "web";
        accept("serving", serving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        for (const std::string id : {"w1", "w2"})
            reportTail(id, 49, 1000);
        JobPlan filling = plan(3, 16'000);
        filling.steps[0].bestEffort = true;
        filling.steps[0].image = "batch";
        accept("filling", filling);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(1100));
        const std::optional<IdleJobs> idle = m_dispatcher->takeIdleJobs(at(1500));
        CPPUNIT_ASSERT(idle.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, idle->count);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, idle->withCapacity);
        const IdleJob &job = idle->longest.at(0);
        CPPUNIT_ASSERT_EQUAL(std::string("filling.0.0.0"), job.oldest.text());
        CPPUNIT_ASSERT_EQUAL(3U, job.queued);
        CPPUNIT_ASSERT_EQUAL(0U, job.bound);
        CPPUNIT_ASSERT_EQUAL(99U, job.fitting);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.125, job.reservedShare, 0.001);
        CPPUNIT_ASSERT_EQUAL(2U, job.unobserved);
        CPPUNIT_ASSERT(job.bestSpeed < 0.8);
        CPPUNIT_ASSERT_EQUAL(2U,
                             std::get<QueuedState>(job.state).excludedBy(Exclusion::Interference));
        // No more than one check a second.
        CPPUNIT_ASSERT(!m_dispatcher->takeIdleJobs(at(2400)));
        CPPUNIT_ASSERT(m_dispatcher->takeIdleJobs(at(2500)));
    }

    /// Guards against a lost start that looks like a run.
    void namesABoundTaskThatIsNotListed()
    {
        addWorkers(1);
        accept("j", plan(1, 8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        m_dispatcher->runsReported(worker("w1").lifetime, {}, at(2900));
        const std::optional<IdleJobs> idle = m_dispatcher->takeIdleJobs(at(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, idle->count);
        CPPUNIT_ASSERT_EQUAL(1U, idle->longest.at(0).bound);
        const BoundState &bound = std::get<BoundState>(idle->longest.at(0).state);
        CPPUNIT_ASSERT(bound.committed && !bound.listed);
    }

    /// Guards against a leader that crashes when a member of a gang outlasts its job, which has no
    /// plan any more.
    void namesNoJobThatHasEnded()
    {
        addWorkers(2);
        JobPlan gang = plan(2, 40'000);
        gang.steps[0].gang = true;
        accept("j", gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        end({"j", 0, 0, 0}, 1, RunEnd::Done, 100);
        CPPUNIT_ASSERT(m_jobTable->find("j")->plan.steps.empty());
        const std::optional<IdleJobs> idle = m_dispatcher->takeIdleJobs(at(2000));
        CPPUNIT_ASSERT(idle.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, idle->count);
    }

    /// Guards against jobs that count as idle although one of their tasks runs, or has just ended.
    void findsNoIdleJobWhileATaskRuns()
    {
        addWorkers(1);
        accept("j", plan(2, 40'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        m_dispatcher->runsReported(worker("w1").lifetime,
                                   std::vector<RunStatus>{{m_firstTask, 1, {}, 50, 0}}, at(2900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dispatcher->takeIdleJobs(at(3000))->count);
        end(m_firstTask, 1, RunEnd::Done, 3500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dispatcher->takeIdleJobs(at(4200))->count);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeIdleJobs(at(5200))->count);
    }

private:
    /// Lists the long-running tasks on the worker, with that tail latency.
    void reportTail(const std::string &id, double tailMs, int milliseconds)
    {
        const Lifetime lifetime{id, 1};
        std::vector<RunStatus> rows;
        for (std::uint32_t t = 0; t < 2; ++t) {
            const StageTask *task = m_jobTable->find({"serving", 0, 0, t});
            if (task->lifetime == lifetime)
                rows.push_back({{"serving", 0, 0, t}, task->run, {}, 100, tailMs});
        }
        m_dispatcher->runsReported(lifetime, rows, at(milliseconds));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleJobTest);
