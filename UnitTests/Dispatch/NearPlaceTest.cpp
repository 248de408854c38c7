#include <UnitTests/Dispatch/DispatchFixture.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// Tasks with data on a rack, and groups that want one rack, while its workers are full.
class NearPlaceTest final : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(NearPlaceTest);
    CPPUNIT_TEST(waitsForRackThatFreesRoom);
    CPPUNIT_TEST(waitingTaskLeavesFarPlaceToOthers);
    CPPUNIT_TEST(wideStepWaitsOnlyInPart);
    CPPUNIT_TEST(waitEndsWithoutAnyEvent);
    CPPUNIT_TEST(startsFarWhenNoEndsAreKnown);
    CPPUNIT_TEST(startsFarWhenSwitchedOff);
    CPPUNIT_TEST(longRunningTaskDoesNotWait);
    CPPUNIT_TEST(groupStartsOnOneRack);
    CPPUNIT_TEST(gangStartsOnOneRack);
    CPPUNIT_TEST(groupLargerThanARackSpreads);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        DispatchSettings settings;
        settings.waitsForNearPlaces = true;
        begin(settings);
    }

private:
    static constexpr std::int64_t wholeWorker = 64'000;

    void begin(const DispatchSettings &settings)
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_dispatcher = std::make_unique<Dispatcher>(settings, *m_jobTable);
        commit({ReplaceConfiguration{"{}"}}, 0);
        m_dispatcher->start(at(0));
    }

    void addWorker(const std::string &id, const std::string &rack)
    {
        WorkerFacts facts = worker(id);
        facts.labels = {"a", rack};
        const std::string node = "node-" + id;
        m_dispatcher->lifetimeAnswered(node, facts.lifetime);
        m_dispatcher->workerReported(node, facts, at(0));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted(node, at(0)));
        m_dispatcher->inventoryReported(facts.lifetime, {}, at(0));
    }

    void renewLeases(int milliseconds)
    {
        for (const std::string id : {"n1", "n2", "f1", "f2"})
            (void)m_dispatcher->leaseGranted("node-" + id, at(milliseconds));
    }

    void accept(const std::string &job, const JobPlan &plan, int milliseconds)
    {
        commit({AcceptJob{job, "batch", plan}}, milliseconds);
    }

    static JobPlan nearPlan(std::int64_t milliCores, std::int64_t estimateMs)
    {
        JobPlan plan = guavashift::plan(1, milliCores, estimateMs);
        plan.steps[0].dataRack = "near";
        return plan;
    }

    [[nodiscard]] std::string workerOf(const std::string &job, std::uint32_t task = 0) const
    {
        const StageTask *found = m_jobTable->find(TaskRef{job, 0, 0, task});
        return found == nullptr || found->stage != TaskStage::Bound ? "" : found->lifetime.worker;
    }

    [[nodiscard]] std::set<std::string> workersOf(const std::string &job, std::uint32_t tasks) const
    {
        std::set<std::string> workers;
        for (std::uint32_t t = 0; t < tasks; ++t)
            workers.insert(workerOf(job, t));
        return workers;
    }

    /// Short runs come and go on the near rack for two seconds, and one of each worker's size
    /// stays. Returns the time.
    int keepNearRackBusy(int milliseconds)
    {
        constexpr int interval = 50;
        for (int i = 0; i < 40; ++i) {
            const std::string job = fmt::format("short{}", i);
            accept(job, nearPlan(wholeWorker, 0), milliseconds);
            decideAndCommit(milliseconds);
            CPPUNIT_ASSERT_EQUAL(std::string("n1"), workerOf(job));
            milliseconds += interval;
            renewLeases(milliseconds);
            commit({EndRun{{job, 0, 0, 0}, 1, RunEnd::Done, {}, {}}}, milliseconds);
        }
        accept("busy", nearPlan(wholeWorker, 0), milliseconds);
        decideAndCommit(milliseconds);
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), workerOf("busy"));
        return milliseconds + 100;
    }

    void waitsForRackThatFreesRoom()
    {
        addWorker("n1", "near");
        addWorker("f1", "far");
        int now = keepNearRackBusy(0);
        accept("j", nearPlan(1000, 4000), now);
        decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(std::string(), workerOf("j"));
        now += 100;
        commit({EndRun{{"busy", 0, 0, 0}, 1, RunEnd::Done, {}, {}}}, now);
        decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(std::string("n1"), workerOf("j"));
        const std::vector<NearWaitEnd> ends = m_dispatcher->takeNearWaits();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends[0].outcome == NearOutcome::NearPlace);
        CPPUNIT_ASSERT(ends[0].waited == std::chrono::milliseconds(100));
    }

    void waitingTaskLeavesFarPlaceToOthers()
    {
        addWorker("n1", "near");
        addWorker("f1", "far");
        const int now = keepNearRackBusy(0);
        accept("j", nearPlan(1000, 4000), now);
        accept("other", plan(1, wholeWorker, 4000), now);
        decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(std::string(), workerOf("j"));
        CPPUNIT_ASSERT_EQUAL(std::string("f1"), workerOf("other"));
    }

    /// More tasks than the rack takes soon. Those that take far places do not end the waits of the
    /// others, whose bounds would begin anew.
    void wideStepWaitsOnlyInPart()
    {
        addWorker("n1", "near");
        addWorker("f1", "far");
        const int now = keepNearRackBusy(0);
        JobPlan wide = nearPlan(1000, 4000);
        wide.steps[0].tasks = 1500;
        wide.steps[0].size = {40, 1, 0};
        accept("j", wide, now);
        decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(std::string(), workerOf("j", 0));
        CPPUNIT_ASSERT_EQUAL(std::string("f1"), workerOf("j", 1499));
        CPPUNIT_ASSERT(m_dispatcher->takeNearWaits().empty());
    }

    /// Guards against a job that has nothing running for three seconds while there is room for it.
    void waitEndsWithoutAnyEvent()
    {
        addWorker("n1", "near");
        addWorker("f1", "far");
        int now = keepNearRackBusy(0);
        accept("j", nearPlan(1000, 60'000), now);
        decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(std::string(), workerOf("j"));
        const int begin = now;
        while (workerOf("j").empty()) {
            now += 20;
            CPPUNIT_ASSERT(now - begin <= 1100);
            decideAndCommit(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("f1"), workerOf("j"));
        const std::vector<NearWaitEnd> ends = m_dispatcher->takeNearWaits();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        CPPUNIT_ASSERT(ends[0].outcome == NearOutcome::GivenUp);
    }

    void startsFarWhenNoEndsAreKnown()
    {
        addWorker("n1", "near");
        addWorker("f1", "far");
        accept("busy", nearPlan(wholeWorker, 0), 0);
        accept("j", nearPlan(1000, 4000), 0);
        decideAndCommit(0);
        CPPUNIT_ASSERT_EQUAL(std::string("f1"), workerOf("j"));
    }

    void startsFarWhenSwitchedOff()
    {
        DispatchSettings settings;
        settings.waitsForNearPlaces = false;
        begin(settings);
        addWorker("n1", "near");
        addWorker("f1", "far");
        const int now = keepNearRackBusy(0);
        accept("j", nearPlan(1000, 4000), now);
        decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(std::string("f1"), workerOf("j"));
    }

    void longRunningTaskDoesNotWait()
    {
        addWorker("n1", "near");
        addWorker("f1", "far");
        const int now = keepNearRackBusy(0);
        JobPlan lasting = nearPlan(1000, 4000);
        lasting.steps[0].longRunning = true;
        accept("j", lasting, now);
        decideAndCommit(now);
        CPPUNIT_ASSERT_EQUAL(std::string("f1"), workerOf("j"));
    }

    /// Each rack has room for the group, and without it the tasks would alternate.
    void groupStartsOnOneRack()
    {
        for (const auto &[id, rack] : {std::pair("n1", "near"), {"n2", "near"}, {"f1", "far"}})
            addWorker(id, rack);
        JobPlan group = plan(4, 20'000);
        group.steps[0].sameRack = true;
        accept("j", group, 0);
        decideAndCommit(0);
        CPPUNIT_ASSERT((workersOf("j", 4) == std::set<std::string>{"n1", "n2"}));
    }

    void gangStartsOnOneRack()
    {
        for (const auto &[id, rack] : {std::pair("n1", "near"), {"n2", "near"}, {"f1", "far"}})
            addWorker(id, rack);
        JobPlan group = plan(4, 20'000);
        group.steps[0].sameRack = true;
        group.steps[0].gang = true;
        accept("j", group, 0);
        decideAndCommit(0);
        CPPUNIT_ASSERT((workersOf("j", 4) == std::set<std::string>{"n1", "n2"}));
    }

    void groupLargerThanARackSpreads()
    {
        addWorker("n1", "near");
        addWorker("f1", "far");
        JobPlan group = plan(5, 20'000);
        group.steps[0].sameRack = true;
        group.steps[0].gang = true;
        accept("j", group, 0);
        decideAndCommit(0);
        CPPUNIT_ASSERT((workersOf("j", 5) == std::set<std::string>{"n1", "f1"}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NearPlaceTest);

} // namespace guavashift
