#include "DispatcherFixture.h"

using namespace guavashift;

namespace {

/// For this long a job may have nothing running while its service has capacity.
constexpr int longestIdleMs = 3000;

} // namespace

/// Tests of best-effort jobs that wait although most of their service's capacity is free. On each
/// of three workers runs one latency-critical task.
class IdleCapacityTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(IdleCapacityTest);
    CPPUNIT_TEST(startsAJobWhileAllTailsStayNearTheirTargets);
    CPPUNIT_TEST(startsAJobWhoseInterferenceWasOverestimated);
    CPPUNIT_TEST(startsAJobBesideTasksThatReportNoTail);
    CPPUNIT_TEST(startsAJobWhoseProcessorsAreTakenByPausedRuns);
    CPPUNIT_TEST(startsAGangWhileAllTailsStayNearTheirTargets);
    CPPUNIT_TEST(startsEveryJobOfMany);
    CPPUNIT_TEST(startsAJobWhileAllWorkersArePausedAfterFailures);
    CPPUNIT_TEST(startsALongRunningTaskWhileAllWorkersArePausedAfterFailures);
    CPPUNIT_TEST(startsAJobAgainAfterARefusal);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        DispatcherFixture::setUp();
        addWorkers(workers);
        JobPlan serving = longRunningPlan(workers, 8000);
        serving.steps[0].tailTargetMs = targetMs;
        serving.steps[0].maxPerWorker = 1;
        serving.steps[0].image = "web";
        accept("serving", serving);
        CPPUNIT_ASSERT_EQUAL(std::size_t{workers}, decideAndCommit(1));
    }

    /// Guards against a job that no worker takes, since tails stay at 0.7 of their target by
    /// themselves.
    void startsAJobWhileAllTailsStayNearTheirTargets()
    {
        m_tailMs = 35;
        assertStarts(bestEffort(4));
    }

    /// Guards against an overestimate of the interference that nothing corrects, since it keeps
    /// away every run that would.
    void startsAJobWhoseInterferenceWasOverestimated()
    {
        m_tailMs = 20;
        m_dispatcher->interferenceReported(std::vector<InterferenceRow>{{"web", "batch", 25}});
        assertStarts(bestEffort(4));
    }

    /// Guards against tasks without a reported tail that count as tasks without headroom.
    void startsAJobBesideTasksThatReportNoTail()
    {
        m_tailMs = 0;
        assertStarts(bestEffort(4));
    }

    /// Guards against a job that waits for processors which paused runs of another job do not use.
    void startsAJobWhoseProcessorsAreTakenByPausedRuns()
    {
        m_tailMs = 10;
        m_activity = 0;
        accept("others", bestEffort(60));
        assertStarts(bestEffort(4));
        CPPUNIT_ASSERT(hasStarted("others"));
    }

    /// Guards against the same for a job whose tasks start together only.
    void startsAGangWhileAllTailsStayNearTheirTargets()
    {
        m_tailMs = 35;
        JobPlan gang = bestEffort(4);
        gang.steps[0].gang = true;
        assertStarts(gang);
    }

    /// Guards against jobs that wait for a place while others of their kind have one that is no
    /// better.
    void startsEveryJobOfMany()
    {
        constexpr int jobs = 12;
        constexpr int acceptedAt = 2000;
        m_tailMs = 45;
        run(0, acceptedAt);
        for (int i = 0; i < jobs; ++i)
            accept(fmt::format("filling{}", i), bestEffort(4), acceptedAt);
        run(acceptedAt, acceptedAt + longestIdleMs);
        for (int i = 0; i < jobs; ++i)
            CPPUNIT_ASSERT(hasStarted(fmt::format("filling{}", i)));
    }

    /// Guards against pauses after failures that leave a job nowhere to run: what failed is gone,
    /// and only a run would show it.
    void startsAJobWhileAllWorkersArePausedAfterFailures()
    {
        const int now = pauseAllWorkers();
        accept("plain", plan(1, 5000), now);
        run(now, now + longestIdleMs);
        CPPUNIT_ASSERT(hasStarted("plain"));
    }

    /// Guards against the same for a task without an end.
    void startsALongRunningTaskWhileAllWorkersArePausedAfterFailures()
    {
        const int now = pauseAllWorkers();
        accept("lasting", longRunningPlan(1, 5000), now);
        run(now, now + longestIdleMs);
        CPPUNIT_ASSERT(hasStarted("lasting"));
    }

    /// Guards against a start that was refused, after which its job waits anew.
    void startsAJobAgainAfterARefusal()
    {
        constexpr int acceptedAt = 2000;
        m_tailMs = 35;
        run(0, acceptedAt);
        accept("filling", bestEffort(1), acceptedAt);
        int now = acceptedAt;
        for (; !hasStarted("filling") && now < acceptedAt + longestIdleMs; now += 100)
            run(now, now + 100);
        const TaskRef task{"filling", 0, 0, 0};
        m_dispatcher->startRefused(m_jobTable->find(task)->lifetime, task, 1, at(now));
        commit(m_dispatcher->takeCommands(), now);
        run(now, acceptedAt + longestIdleMs);
        CPPUNIT_ASSERT(m_jobTable->find(task)->run > 1);
    }

private:
    static constexpr int workers = 3;
    static constexpr int targetMs = 50;

    static JobPlan bestEffort(std::uint32_t tasks)
    {
        JobPlan filling = plan(tasks, 8000, 2000);
        filling.steps[0].bestEffort = true;
        filling.steps[0].checkpoints = true;
        filling.steps[0].image = "batch";
        return filling;
    }

    /// Lets many jobs fail on all workers, twice, so that the pauses are longer than a job may be
    /// idle. Returns the time reached.
    int pauseAllWorkers()
    {
        constexpr int failures = 9;
        m_tailMs = 10;
        int now = 0;
        for (int round = 0; round < 2; ++round) {
            for (int i = 0; i < failures; ++i)
                accept(fmt::format("failing{}-{}", round, i), plan(1, 5000), now);
            run(now, now + 2500);
            now += 2500;
            for (int i = 0; i < failures; ++i)
                m_dispatcher->endReported(
                    {{fmt::format("failing{}-{}", round, i), 0, 0, 0}, 1, RunEnd::Failed, {}});
            commit(m_dispatcher->takeCommands(), now);
        }
        // Nothing of the others is left to show that the workers are sound.
        for (int i = 0; i < 2 * failures; ++i) {
            const StageCommand cancel =
                CancelJob{fmt::format("failing{}-{}", i / failures, i % failures)};
            const StageOutcome outcome = m_jobTable->apply(now, cancel);
            m_dispatcher->applied(cancel, outcome, at(now));
        }
        return now;
    }

    /// Accepts the job after two seconds and expects a start in time.
    void assertStarts(const JobPlan &filling)
    {
        constexpr int acceptedAt = 2000;
        run(0, acceptedAt);
        accept("filling", filling, acceptedAt);
        run(acceptedAt, acceptedAt + longestIdleMs);
        CPPUNIT_ASSERT(hasStarted("filling"));
    }

    [[nodiscard]] bool hasStarted(const std::string &job) const
    {
        const StageTask *task = m_jobTable->find({job, 0, 0, 0});
        return task != nullptr && task->run > 0;
    }

    /// Lets the workers report and the dispatcher decide each 100 ms. No run ends.
    void run(int from, int until)
    {
        constexpr int stepMs = 100;
        for (int now = from + stepMs; now <= until; now += stepMs) {
            for (int i = 1; i <= workers; ++i) {
                (void)m_dispatcher->leaseGranted(fmt::format("n{}", i), at(now));
                m_dispatcher->runsReported({fmt::format("w{}", i), 1}, rowsOf(i), at(now));
            }
            (void)m_dispatcher->takeInterference(at(now));
            decideAndCommit(now);
        }
    }

    [[nodiscard]] std::vector<RunStatus> rowsOf(int number) const
    {
        const Lifetime lifetime{fmt::format("w{}", number), 1};
        std::vector<RunStatus> rows;
        for (const auto &[id, job] : m_jobTable->jobs()) {
            // The plan of a job that has ended is discarded.
            if (job.plan.steps.empty())
                continue;
            const StepPlan &step = job.plan.steps[0];
            for (std::uint32_t t = 0; t < step.tasks; ++t) {
                const TaskRef ref{id, 0, 0, t};
                const StageTask *task = m_jobTable->find(ref);
                if (task == nullptr || task->stage != TaskStage::Bound
                    || task->lifetime != lifetime)
                    continue;
                const double used = m_activity * static_cast<double>(step.size.milliCores);
                rows.push_back({ref, task->run, {}, 100, step.bestEffort ? used : m_tailMs});
            }
        }
        return rows;
    }

    double m_tailMs = 0;   ///< Of all latency-critical tasks.
    double m_activity = 0; ///< Share at which best-effort tasks work.
};

CPPUNIT_TEST_SUITE_REGISTRATION(IdleCapacityTest);
