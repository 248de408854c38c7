#include "JobTableFixture.h"

using namespace guavashift;

/// Tests of the rules on order and number of runs, which hold whatever a leader proposes.
class JobTableTest : public JobTableFixture
{
    CPPUNIT_TEST_SUITE(JobTableTest);
    CPPUNIT_TEST(runsStepsInOrder);
    CPPUNIT_TEST(bindsNoTaskTwice);
    CPPUNIT_TEST(acceptsOneEndForEachRun);
    CPPUNIT_TEST(failsAfterTheLastAttempt);
    CPPUNIT_TEST(refusedStartEndsJobWithoutAnAttemptLeft);
    CPPUNIT_TEST(lapsedRunsCountAsNoAttempts);
    CPPUNIT_TEST(failsAfterTheLastCrash);
    CPPUNIT_TEST(survivingRunResetsTheCrashes);
    CPPUNIT_TEST(exemptCrashesFailNoJob);
    CPPUNIT_TEST(survivingRunResetsExemptCrashes);
    CPPUNIT_TEST(lateDoneEndCompletesASettledTask);
    CPPUNIT_TEST(lateDoneEndIsRefusedOnceTheNextRunIsBound);
    CPPUNIT_TEST(ignoresOtherLateEnds);
    CPPUNIT_TEST(lateDoneEndSettlesTheGang);
    CPPUNIT_TEST(oneEndSettlesTheGang);
    CPPUNIT_TEST(restartsLongRunningTasksWhateverTheirEnd);
    CPPUNIT_TEST(cancelHoldsForALaterSubmission);
    CPPUNIT_TEST(forgetsCancelsOfUnknownJobs);
    CPPUNIT_TEST(acceptsNoJobForARemovedQueue);
    CPPUNIT_TEST(keepsTheHighestConfiguration);
    CPPUNIT_TEST_SUITE_END();

public:
    void runsStepsInOrder()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(!start(task(1, 0), 1));
        CPPUNIT_ASSERT(start(task(0, 0), 1) && start(task(0, 1), 1));
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(!start(task(1, 0), 1));
        CPPUNIT_ASSERT(end(task(0, 1), 1, RunEnd::Done));
        CPPUNIT_ASSERT(start(task(1, 0), 1));
        CPPUNIT_ASSERT(end(task(1, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
    }

    void bindsNoTaskTwice()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1));
        CPPUNIT_ASSERT(!start(task(0, 0), 2));
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Lapsed));
        CPPUNIT_ASSERT(!start(task(0, 0), 1));
        CPPUNIT_ASSERT(start(task(0, 0), 2));
        CPPUNIT_ASSERT(end(task(0, 0), 2, RunEnd::Done));
        CPPUNIT_ASSERT(!start(task(0, 0), 3));
    }

    void acceptsOneEndForEachRun()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1));
        CPPUNIT_ASSERT(!end(task(0, 0), 2, RunEnd::Done));
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Stopped));
        CPPUNIT_ASSERT(!end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(TaskStage::Waiting == m_jobTable->find(task(0, 0))->stage);
    }

    void failsAfterTheLastAttempt()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1) && end(task(0, 0), 1, RunEnd::Failed));
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
        CPPUNIT_ASSERT(start(task(0, 0), 2) && end(task(0, 0), 2, RunEnd::Failed));
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("j")->status);
        CPPUNIT_ASSERT(!start(task(0, 1), 1));
    }

    /// With fewer attempts in a new configuration a task could neither start nor fail any more, and
    /// its job stayed active forever.
    void refusedStartEndsJobWithoutAnAttemptLeft()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1) && end(task(0, 0), 1, RunEnd::Failed));
        CPPUNIT_ASSERT(start(task(0, 1), 1));
        CPPUNIT_ASSERT(m_jobTable->apply(1, ReplaceConfiguration{"100"}).applied);
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        CPPUNIT_ASSERT(!start(task(0, 0), 2));
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("j")->status);
        // The other task's run is still bound, and its end is accepted.
        CPPUNIT_ASSERT_EQUAL(1U, m_jobTable->find("j")->bound);
        CPPUNIT_ASSERT(end(task(0, 1), 1, RunEnd::Stopped));
        CPPUNIT_ASSERT(m_jobTable->find("j")->plan.steps.empty());
        // A replica that restored its state before does the same.
        copy.apply(0, StartRun{task(0, 0), 2, here});
        copy.apply(0, EndRun{task(0, 1), 1, RunEnd::Stopped, {}});
        CPPUNIT_ASSERT_EQUAL(m_jobTable->save(), copy.save());
        CPPUNIT_ASSERT_EQUAL(m_jobTable->digest(), copy.digest());
        // The ended job is removed like any other.
        m_jobTable->apply(2000, ReplaceConfiguration{"101"});
        CPPUNIT_ASSERT(m_jobTable->find("j") == nullptr);
    }

    void lapsedRunsCountAsNoAttempts()
    {
        accept(twoSteps());
        for (std::uint32_t run = 1; run < 6; ++run)
            CPPUNIT_ASSERT(start(task(0, 0), run) && end(task(0, 0), run, RunEnd::Lapsed));
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
    }

    /// Guards against tasks that crash each worker and are started for ever.
    void failsAfterTheLastCrash()
    {
        for (const bool longRunning : {false, true}) {
            JobPlan plan = twoSteps();
            plan.steps[0].longRunning = longRunning;
            const std::string job = longRunning ? "lasting" : "short";
            CPPUNIT_ASSERT(m_jobTable->apply(0, AcceptJob{job, "counter", plan}).applied);
            const TaskRef ref{job, 0, 0, 0};
            CPPUNIT_ASSERT(start(ref, 1) && crash(ref, 1));
            CPPUNIT_ASSERT(m_jobTable->find(job)->isActive());
            CPPUNIT_ASSERT(start(ref, 2) && crash(ref, 2));
            CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find(job)->status);
            CPPUNIT_ASSERT(!start(ref, 3));
        }
    }

    void survivingRunResetsTheCrashes()
    {
        accept(twoSteps());
        const TaskRef ref = task(0, 0);
        CPPUNIT_ASSERT(start(ref, 1) && crash(ref, 1));
        CPPUNIT_ASSERT(start(ref, 2) && end(ref, 2, RunEnd::Lapsed));
        CPPUNIT_ASSERT_EQUAL(1U, m_jobTable->find(ref)->crashes);
        CPPUNIT_ASSERT(start(ref, 3));
        CPPUNIT_ASSERT(
            m_jobTable->apply(0, EndRun{ref, 3, RunEnd::Lapsed, {}, CrashEvidence::Survived})
                .applied);
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find(ref)->crashes);
        CPPUNIT_ASSERT(start(ref, 4) && crash(ref, 4));
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
    }

    /// Guards against long-running jobs that are shown as failed because workers crashed under
    /// them.
    void exemptCrashesFailNoJob()
    {
        constexpr std::uint32_t crashes = 20;
        JobPlan plan = twoSteps();
        plan.steps[0].longRunning = true;
        accept(plan);
        const TaskRef ref = task(0, 0);
        for (std::uint32_t run = 1; run <= crashes; ++run)
            CPPUNIT_ASSERT(start(ref, run) && crash(ref, run, CrashEvidence::Exempt));
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
        CPPUNIT_ASSERT_EQUAL(crashes, m_jobTable->find(ref)->allCrashes());
        CPPUNIT_ASSERT_EQUAL(1U, m_jobTable->find("j")->occurrences.at(0).steps[0].suspected);
        CPPUNIT_ASSERT(start(ref, crashes + 1));
    }

    /// Guards against a task that stays suspected after a run of it went on.
    void survivingRunResetsExemptCrashes()
    {
        accept(twoSteps());
        const TaskRef ref = task(0, 0);
        CPPUNIT_ASSERT(start(ref, 1) && crash(ref, 1, CrashEvidence::Exempt));
        CPPUNIT_ASSERT(start(ref, 2));
        CPPUNIT_ASSERT(
            m_jobTable->apply(0, EndRun{ref, 2, RunEnd::Lapsed, {}, CrashEvidence::Survived})
                .applied);
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find(ref)->allCrashes());
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find("j")->occurrences.at(0).steps[0].suspected);
    }

    /// A leader that read no reports in time settled runs as lapsed or not started, and their tasks
    /// ran again although they were done.
    void lateDoneEndCompletesASettledTask()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1) && start(task(0, 1), 1));
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Lapsed));
        CPPUNIT_ASSERT(end(task(0, 1), 1, RunEnd::NotStarted));
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(TaskStage::Done == m_jobTable->find(task(0, 0))->stage);
        CPPUNIT_ASSERT(!start(task(0, 0), 2));
        CPPUNIT_ASSERT(!end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(end(task(0, 1), 1, RunEnd::Done));
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find("j")->bound);
        CPPUNIT_ASSERT(start(task(1, 0), 1) && end(task(1, 0), 1, RunEnd::Lapsed));
        CPPUNIT_ASSERT(end(task(1, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
        CPPUNIT_ASSERT(m_jobTable->find("j")->plan.steps.empty());
        // A replica that restored its state before the late ends does the same.
        copy.apply(0, EndRun{task(0, 0), 1, RunEnd::Done, {}});
        copy.apply(0, StartRun{task(0, 0), 2, here});
        copy.apply(0, EndRun{task(0, 0), 1, RunEnd::Done, {}});
        copy.apply(0, EndRun{task(0, 1), 1, RunEnd::Done, {}});
        copy.apply(0, StartRun{task(1, 0), 1, here});
        copy.apply(0, EndRun{task(1, 0), 1, RunEnd::Lapsed, {}});
        copy.apply(0, EndRun{task(1, 0), 1, RunEnd::Done, {}});
        CPPUNIT_ASSERT_EQUAL(m_jobTable->save(), copy.save());
        CPPUNIT_ASSERT_EQUAL(m_jobTable->digest(), copy.digest());
    }

    /// An end of an earlier run must not end the run that is bound now.
    void lateDoneEndIsRefusedOnceTheNextRunIsBound()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1) && end(task(0, 0), 1, RunEnd::Lapsed));
        CPPUNIT_ASSERT(start(task(0, 0), 2));
        const StageTask before = *m_jobTable->find(task(0, 0));
        CPPUNIT_ASSERT(!end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(before == *m_jobTable->find(task(0, 0)));
        CPPUNIT_ASSERT_EQUAL(1U, m_jobTable->find("j")->bound);
        // Nor does it count once that run was settled as well.
        CPPUNIT_ASSERT(end(task(0, 0), 2, RunEnd::Lapsed));
        CPPUNIT_ASSERT(!end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(end(task(0, 0), 2, RunEnd::Done));
    }

    /// A late failure would count an attempt for a run that was settled without one, and a late end
    /// would change a job that has ended or a task that has no end.
    void ignoresOtherLateEnds()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(!end(task(0, 1), 0, RunEnd::Done));
        CPPUNIT_ASSERT(start(task(0, 0), 1) && end(task(0, 0), 1, RunEnd::Lapsed));
        for (const RunEnd late : {RunEnd::Failed, RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Broken,
                                  RunEnd::Alone, RunEnd::NotStarted})
            CPPUNIT_ASSERT(!end(task(0, 0), 1, late));
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find(task(0, 0))->failures);
        CPPUNIT_ASSERT(start(task(0, 1), 1));
        CPPUNIT_ASSERT(m_jobTable->apply(1, CancelJob{"j"}).applied);
        CPPUNIT_ASSERT(!end(task(0, 0), 1, RunEnd::Done));
        JobPlan lasting;
        lasting.steps.resize(1);
        lasting.steps[0].longRunning = true;
        CPPUNIT_ASSERT(m_jobTable->apply(1, AcceptJob{"lasting", "counter", lasting}).applied);
        const TaskRef ref{"lasting", 0, 0, 0};
        CPPUNIT_ASSERT(start(ref, 1) && end(ref, 1, RunEnd::Lapsed));
        CPPUNIT_ASSERT(!end(ref, 1, RunEnd::Done));
        CPPUNIT_ASSERT(start(ref, 2));
    }

    /// Members that are still bound must not be counted as bound once the gang is done.
    void lateDoneEndSettlesTheGang()
    {
        JobPlan plan = twoSteps();
        plan.steps[0].gang = true;
        accept(plan);
        CPPUNIT_ASSERT(start(task(0, 0), 1) && start(task(0, 1), 1));
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Lapsed));
        CPPUNIT_ASSERT_EQUAL(1U, m_jobTable->find("j")->bound);
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find("j")->bound);
        CPPUNIT_ASSERT(!end(task(0, 1), 1, RunEnd::Broken));
        CPPUNIT_ASSERT(start(task(1, 0), 1));
    }

    void oneEndSettlesTheGang()
    {
        JobPlan plan = twoSteps();
        plan.steps[0].gang = true;
        accept(plan);
        CPPUNIT_ASSERT(start(task(0, 0), 1) && start(task(0, 1), 1));
        CPPUNIT_ASSERT(end(task(0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(!end(task(0, 1), 1, RunEnd::Broken));
        CPPUNIT_ASSERT(start(task(1, 0), 1));
        CPPUNIT_ASSERT_EQUAL(1U, m_jobTable->find("j")->bound);
    }

    void restartsLongRunningTasksWhateverTheirEnd()
    {
        JobPlan plan;
        plan.steps.resize(1);
        plan.steps[0].longRunning = true;
        accept(plan);
        for (std::uint32_t run = 1; run < 6; ++run)
            CPPUNIT_ASSERT(start(task(0, 0), run) && end(task(0, 0), run, RunEnd::Failed));
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
        CPPUNIT_ASSERT(m_jobTable->apply(1, CancelJob{"j"}).applied);
        CPPUNIT_ASSERT(!start(task(0, 0), 6));
    }

    /// Guards against a job that runs although its cancel was answered.
    void cancelHoldsForALaterSubmission()
    {
        CPPUNIT_ASSERT(!m_jobTable->apply(10, CancelJob{"j"}).applied);
        CPPUNIT_ASSERT(m_jobTable->find("j") == nullptr);
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        for (JobTable *table : {m_jobTable.get(), &copy}) {
            CPPUNIT_ASSERT(!table->apply(900, AcceptJob{"j", "counter", twoSteps()}).applied);
            CPPUNIT_ASSERT(StageJobStatus::Cancelled == table->find("j")->status);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, table->pendingIn("counter"));
            CPPUNIT_ASSERT(!table->apply(901, StartRun{task(0, 0), 1, here}).applied);
            CPPUNIT_ASSERT(table->apply(902, AcceptJob{"other", "counter", twoSteps()}).applied);
            // The job is forgotten like any other that has ended.
            table->apply(2000, ReplaceConfiguration{"4"});
            CPPUNIT_ASSERT(table->find("j") == nullptr);
        }
    }

    /// Guards against a state that grows with cancels of jobs that nobody submits.
    void forgetsCancelsOfUnknownJobs()
    {
        m_jobTable->apply(10, CancelJob{"j"});
        CPPUNIT_ASSERT(m_jobTable->apply(1011, AcceptJob{"j", "counter", twoSteps()}).applied);
        JobTableSettings settings{1000};
        settings.maxEarlyCancels = 2;
        JobTable table(settings, readVersion);
        table.apply(0, ReplaceConfiguration{"3"});
        for (const std::string job : {"a", "b", "c"})
            table.apply(10, CancelJob{job});
        CPPUNIT_ASSERT(table.apply(11, AcceptJob{"a", "counter", twoSteps()}).applied);
        CPPUNIT_ASSERT(!table.apply(11, AcceptJob{"b", "counter", twoSteps()}).applied);
        CPPUNIT_ASSERT(!table.apply(11, AcceptJob{"c", "counter", twoSteps()}).applied);
    }

    /// Guards against a job that was accepted and never runs: the configuration that removes its
    /// queue was committed between its submission and its own commit.
    void acceptsNoJobForARemovedQueue()
    {
        const StageBatch batch =
            StageBatch::decode(StageBatch{0, {AcceptJob{"j", "removed", twoSteps()}}}.encode());
        CPPUNIT_ASSERT(!m_jobTable->apply(0, batch.commands.front()).applied);
        CPPUNIT_ASSERT(m_jobTable->find("j") == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_jobTable->pendingIn("removed"));
        // A known job stays known when its queue is removed.
        accept(twoSteps());
        CPPUNIT_ASSERT(m_jobTable->apply(0, ReplaceConfiguration{"200"}).applied);
        CPPUNIT_ASSERT(m_jobTable->queues().find("counter") == nullptr);
        CPPUNIT_ASSERT(!m_jobTable->apply(0, AcceptJob{"j", "counter", twoSteps()}).applied);
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
    }

    void keepsTheHighestConfiguration()
    {
        CPPUNIT_ASSERT(!m_jobTable->apply(1, ReplaceConfiguration{"3"}).applied);
        CPPUNIT_ASSERT(!m_jobTable->apply(1, ReplaceConfiguration{"2"}).applied);
        CPPUNIT_ASSERT(!m_jobTable->apply(1, ReplaceConfiguration{"none"}).applied);
        CPPUNIT_ASSERT(m_jobTable->apply(1, ReplaceConfiguration{"9"}).applied);
        CPPUNIT_ASSERT_EQUAL(std::string("9"), m_jobTable->document());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTableTest);
