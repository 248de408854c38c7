#include <Guavashift/Stages/Stages.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

/// From this version on, a task has one attempt instead of two.
constexpr std::uint64_t oneAttemptVersion = 100;
/// From this version on, there is no queue.
constexpr std::uint64_t noQueueVersion = 200;

/// Reads documents that consist of a version number.
tl::expected<QueueTable, Findings> readVersion(std::string_view text)
{
    if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos)
        return tl::unexpected(Findings{{"", "not a number"}});
    QueueSettings queue;
    queue.name = "counter";
    queue.host = "desk.example";
    queue.pathPrefix = "/counter/";
    queue.service = "orders";
    queue.timeoutMs = 1000;
    const std::uint64_t version = std::stoull(std::string(text));
    queue.maxAttempts = version < oneAttemptVersion ? 2 : 1;
    if (version >= noQueueVersion)
        return QueueTable(version, {}, {{"orders", {}}});
    return QueueTable(version, {queue}, {{"orders", {}}});
}

JobPlan twoSteps()
{
    JobPlan plan;
    plan.payload = "work";
    plan.steps.resize(2);
    plan.steps[0].tasks = 2;
    plan.steps[1].after = {0};
    return plan;
}

TaskRef task(std::uint32_t step, std::uint32_t number, std::uint32_t occurrence = 0)
{
    return {"j", occurrence, step, number};
}

const Lifetime here{"w1", 7};

} // namespace

/// Tests of the rules on order and number of runs, which hold whatever a leader proposes.
class JobTableTest : public CppUnit::TestFixture
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
    CPPUNIT_TEST(versionsAgreeOnExemptCrashes);
    CPPUNIT_TEST(restoresCrashesFromASnapshot);
    CPPUNIT_TEST(loadsSnapshotsWithoutExemptCrashes);
    CPPUNIT_TEST(readsEndsWithoutEvidence);
    CPPUNIT_TEST(lateDoneEndCompletesASettledTask);
    CPPUNIT_TEST(lateDoneEndIsRefusedOnceTheNextRunIsBound);
    CPPUNIT_TEST(ignoresOtherLateEnds);
    CPPUNIT_TEST(lateDoneEndSettlesTheGang);
    CPPUNIT_TEST(oneEndSettlesTheGang);
    CPPUNIT_TEST(restartsLongRunningTasksWhateverTheirEnd);
    CPPUNIT_TEST(countsOccurrences);
    CPPUNIT_TEST(cancelHoldsForALaterSubmission);
    CPPUNIT_TEST(forgetsCancelsOfUnknownJobs);
    CPPUNIT_TEST(storesDoneOccurrencesInLittleSpace);
    CPPUNIT_TEST(acceptsNoJobForARemovedQueue);
    CPPUNIT_TEST(loadsJobsThatEarlierVersionsAcceptedWithoutAQueue);
    CPPUNIT_TEST(keepsTheHighestConfiguration);
    CPPUNIT_TEST(removesEndedJobsAfterTheRetentionTime);
    CPPUNIT_TEST(restoresTheSameStateFromASnapshot);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(m_jobTable->apply(0, ReplaceConfiguration{"3"}).applied);
    }

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

    /// Guards against replicas of two versions that differ: the version before takes evidence that
    /// it does not know for none, and its leaders suspect long-running tasks.
    void versionsAgreeOnExemptCrashes()
    {
        JobPlan plan = twoSteps();
        plan.steps[0].longRunning = true;
        accept(plan);
        JobTable before(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(before.load(m_jobTable->save()));
        const TaskRef ref = task(0, 0);
        const std::array evidence{CrashEvidence::Exempt, CrashEvidence::Exempt,
                                  CrashEvidence::Suspected, CrashEvidence::Exempt,
                                  CrashEvidence::Suspected};
        std::uint32_t run = 0;
        for (const CrashEvidence each : evidence) {
            const auto known = each == CrashEvidence::Exempt ? CrashEvidence::None : each;
            const StartRun started{ref, ++run, here};
            CPPUNIT_ASSERT(m_jobTable->apply(0, started).applied);
            CPPUNIT_ASSERT(before.apply(0, started).applied);
            CPPUNIT_ASSERT(crash(ref, run, each));
            CPPUNIT_ASSERT(before.apply(0, EndRun{ref, run, RunEnd::Lapsed, {}, known}).applied);
            CPPUNIT_ASSERT_EQUAL(before.digest(), m_jobTable->digest());
            CPPUNIT_ASSERT(before.find("j")->status == m_jobTable->find("j")->status);
        }
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("j")->status);
    }

    /// Guards against a snapshot of the version before that cannot be read after an upgrade, or one
    /// of this version that a replica of the version before cannot read.
    void loadsSnapshotsWithoutExemptCrashes()
    {
        accept(twoSteps());
        const TaskRef ref = task(0, 0);
        CPPUNIT_ASSERT(start(ref, 1) && crash(ref, 1));
        CPPUNIT_ASSERT(start(ref, 2) && crash(ref, 2, CrashEvidence::Exempt));
        const std::string saved = m_jobTable->save();
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(saved));
        CPPUNIT_ASSERT(*copy.find(ref) == *m_jobTable->find(ref));
        CPPUNIT_ASSERT_EQUAL(2U, copy.find(ref)->allCrashes());
        // The row of the task: the version before reads its first seven entries.
        Json json = Json::from_cbor(saved);
        Json *row = findRow(json);
        CPPUNIT_ASSERT(row != nullptr);
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, row->size());
        CPPUNIT_ASSERT_EQUAL(1U, row->at(6).get<std::uint32_t>());
        row->erase(7);
        std::string bytes;
        Json::to_cbor(json, bytes);
        CPPUNIT_ASSERT(copy.load(bytes));
        CPPUNIT_ASSERT_EQUAL(1U, copy.find(ref)->allCrashes());
        CPPUNIT_ASSERT_EQUAL(1U, copy.find("j")->occurrences.at(0).steps[0].suspected);
    }

    void restoresCrashesFromASnapshot()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1) && crash(task(0, 0), 1));
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        CPPUNIT_ASSERT_EQUAL(1U, copy.find(task(0, 0))->crashes);
        CPPUNIT_ASSERT_EQUAL(1U, copy.find("j")->occurrences.at(0).steps[0].suspected);
    }

    /// Guards against entries of earlier versions that cannot be read after an upgrade.
    void readsEndsWithoutEvidence()
    {
        StageBatch batch{7, {EndRun{task(0, 0), 1, RunEnd::Lapsed, {}, CrashEvidence::Suspected}}};
        Json json = Json::from_cbor(batch.encode());
        CPPUNIT_ASSERT(
            CrashEvidence::Suspected
            == std::get<EndRun>(StageBatch::decode(batch.encode()).commands[0]).evidence);
        json[1][0].erase(5);
        std::string bytes;
        Json::to_cbor(json, bytes);
        CPPUNIT_ASSERT(CrashEvidence::None
                       == std::get<EndRun>(StageBatch::decode(bytes).commands[0]).evidence);
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

    void countsOccurrences()
    {
        JobPlan plan;
        plan.steps.resize(1);
        plan.occurrences = 2;
        plan.firstAt = 100;
        plan.intervalMs = 50;
        accept(plan);
        CPPUNIT_ASSERT_EQUAL(WallMs{150}, plan.dueAt(1));
        CPPUNIT_ASSERT(start(task(0, 0, 1), 1) && end(task(0, 0, 1), 1, RunEnd::Done));
        CPPUNIT_ASSERT(!start(task(0, 0, 1), 2));
        CPPUNIT_ASSERT(!start(task(0, 0, 2), 1));
        CPPUNIT_ASSERT(start(task(0, 0, 0), 1) && end(task(0, 0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
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

    /// Guards against a state that grows with each occurrence of a job that repeats for years.
    void storesDoneOccurrencesInLittleSpace()
    {
        constexpr std::uint32_t count = 2000;
        JobPlan plan;
        plan.steps.resize(1);
        plan.occurrences = 2 * count;
        accept(plan);
        const std::size_t before = m_jobTable->save().size();
        // Neighbours end in the other order, and one lasts.
        for (std::uint32_t k = 0; k < count; ++k) {
            const TaskRef ref = task(0, 0, k ^ 1U);
            CPPUNIT_ASSERT(ref.occurrence == 0 || (start(ref, 1) && end(ref, 1, RunEnd::Done)));
        }
        CPPUNIT_ASSERT(start(task(0, 0, 0), 1) && end(task(0, 0, 0), 1, RunEnd::Done));
        CPPUNIT_ASSERT(m_jobTable->save().size() < before + 100);
        CPPUNIT_ASSERT(!start(task(0, 0, 5), 2));
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        CPPUNIT_ASSERT(copy.find("j")->occurrencesDone.contains(count - 1));
        CPPUNIT_ASSERT(!copy.find("j")->occurrencesDone.contains(count));
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, copy.find("j")->occurrencesDone.size());
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

    /// Guards against a job that is lost with an update: an earlier version has acknowledged it.
    void loadsJobsThatEarlierVersionsAcceptedWithoutAQueue()
    {
        Json json =
            Json::from_cbor(StageBatch{0, {AcceptJob{"j", "removed", twoSteps()}}}.encode());
        // Entries of earlier versions end with the plan.
        while (json[1][0].size() > 4)
            json[1][0].erase(4);
        std::string bytes;
        Json::to_cbor(json, bytes);
        CPPUNIT_ASSERT(m_jobTable->apply(0, StageBatch::decode(bytes).commands[0]).applied);
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        CPPUNIT_ASSERT(copy.find("j")->isActive());
    }

    void keepsTheHighestConfiguration()
    {
        CPPUNIT_ASSERT(!m_jobTable->apply(1, ReplaceConfiguration{"3"}).applied);
        CPPUNIT_ASSERT(!m_jobTable->apply(1, ReplaceConfiguration{"2"}).applied);
        CPPUNIT_ASSERT(!m_jobTable->apply(1, ReplaceConfiguration{"none"}).applied);
        CPPUNIT_ASSERT(m_jobTable->apply(1, ReplaceConfiguration{"9"}).applied);
        CPPUNIT_ASSERT_EQUAL(std::string("9"), m_jobTable->document());
    }

    void removesEndedJobsAfterTheRetentionTime()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_jobTable->pendingIn("counter"));
        CPPUNIT_ASSERT(m_jobTable->apply(10, CancelJob{"j"}).applied);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_jobTable->pendingIn("counter"));
        m_jobTable->apply(1000, ReplaceConfiguration{"4"});
        CPPUNIT_ASSERT(m_jobTable->find("j") != nullptr);
        m_jobTable->apply(1011, ReplaceConfiguration{"5"});
        CPPUNIT_ASSERT(m_jobTable->find("j") == nullptr);
    }

    void restoresTheSameStateFromASnapshot()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1) && start(task(0, 1), 1));
        CPPUNIT_ASSERT(end(task(0, 1), 1, RunEnd::Stopped, "saved"));
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        CPPUNIT_ASSERT_EQUAL(m_jobTable->save(), copy.save());
        CPPUNIT_ASSERT_EQUAL(m_jobTable->digest(), copy.digest());
        CPPUNIT_ASSERT_EQUAL(std::string("saved"), copy.find(task(0, 1))->checkpoint);
        CPPUNIT_ASSERT_EQUAL(1U, copy.find("j")->bound);
        CPPUNIT_ASSERT(!copy.load("nothing of ours"));
    }

private:
    void accept(const JobPlan &plan)
    {
        CPPUNIT_ASSERT(m_jobTable->apply(0, AcceptJob{"j", "counter", plan}).applied);
    }

    bool start(const TaskRef &ref, std::uint32_t run)
    {
        // Encoded and decoded in the log's format, as in a replica.
        const StageBatch batch =
            StageBatch::decode(StageBatch{0, {StartRun{ref, run, here}}}.encode());
        return m_jobTable->apply(0, batch.commands.front()).applied;
    }

    /// Ends the run in the log's format, as in a replica.
    bool crash(const TaskRef &ref, std::uint32_t run,
               CrashEvidence evidence = CrashEvidence::Suspected)
    {
        const StageBatch batch = StageBatch::decode(
            StageBatch{0, {EndRun{ref, run, RunEnd::Lapsed, {}, evidence}}}.encode());
        return m_jobTable->apply(0, batch.commands.front()).applied;
    }

    /// The saved row of a task: the first array that ends with numbers of crashes.
    static Json *findRow(Json &json)
    {
        if (!json.is_array())
            return nullptr;
        if (json.size() == 8 && json.at(6).is_number() && json.at(7).is_number()
            && json.at(5).is_string())
            return &json;
        for (Json &each : json) {
            if (Json *row = findRow(each))
                return row;
        }
        return nullptr;
    }

    bool end(const TaskRef &ref, std::uint32_t run, RunEnd how, const std::string &saved = {})
    {
        const StageBatch batch =
            StageBatch::decode(StageBatch{0, {EndRun{ref, run, how, saved}}}.encode());
        return m_jobTable->apply(0, batch.commands.front()).applied;
    }

    std::unique_ptr<JobTable> m_jobTable;
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTableTest);
