#include "JobTableFixture.h"

using namespace guavashift;

/// Tests of what is stored: snapshots, the log's entries, and what versions before have written.
class JobTableStorageTest : public JobTableFixture
{
    CPPUNIT_TEST_SUITE(JobTableStorageTest);
    CPPUNIT_TEST(versionsAgreeOnExemptCrashes);
    CPPUNIT_TEST(restoresCrashesFromASnapshot);
    CPPUNIT_TEST(loadsSnapshotsWithoutExemptCrashes);
    CPPUNIT_TEST(readsEndsWithoutEvidence);
    CPPUNIT_TEST(countsOccurrences);
    CPPUNIT_TEST(storesDoneOccurrencesInLittleSpace);
    CPPUNIT_TEST(loadsJobsThatEarlierVersionsAcceptedWithoutAQueue);
    CPPUNIT_TEST(removesEndedJobsAfterTheRetentionTime);
    CPPUNIT_TEST(restoresTheSameStateFromASnapshot);
    CPPUNIT_TEST_SUITE_END();

public:
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

    void restoresCrashesFromASnapshot()
    {
        accept(twoSteps());
        CPPUNIT_ASSERT(start(task(0, 0), 1) && crash(task(0, 0), 1));
        JobTable copy(JobTableSettings{1000}, readVersion);
        CPPUNIT_ASSERT(copy.load(m_jobTable->save()));
        CPPUNIT_ASSERT_EQUAL(1U, copy.find(task(0, 0))->crashes);
        CPPUNIT_ASSERT_EQUAL(1U, copy.find("j")->occurrences.at(0).steps[0].suspected);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(JobTableStorageTest);
