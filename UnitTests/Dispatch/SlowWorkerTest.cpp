#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Five workers of which one, "w0", carries out everything at a fifth of the others' speed.
class SlowWorkerTest : public DispatchFixture
{
    CPPUNIT_TEST_SUITE(SlowWorkerTest);
    CPPUNIT_TEST(placesTasksElsewhereWhileThereIsRoom);
    CPPUNIT_TEST(usesASlowWorkerWhereOthersAreFull);
    CPPUNIT_TEST(triesASlowWorkerAgain);
    CPPUNIT_TEST(restartsARunThatWouldEndSoonerElsewhere);
    CPPUNIT_TEST(keepsARunThatHasNowhereElseToGo);
    CPPUNIT_TEST(keepsARunThatIsLongByNature);
    CPPUNIT_TEST(keepsMembersOfAGang);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        DispatchSettings settings;
        settings.avoidsSlowWorkers = true;
        settings.workerLease = std::chrono::minutes(1);
        m_dispatcher = std::make_unique<Dispatcher>(settings, *m_jobTable);
        m_dispatcher->start(at(0));
        for (int i = 0; i < workers; ++i)
            m_dispatcher->workerReported(fmt::format("n{}", i), worker(fmt::format("w{}", i)),
                                         at(0));
    }

    void placesTasksElsewhereWhileThereIsRoom()
    {
        slowDown(0);
        accept("k", plan(20, 1000));
        decideAndCommit(4000);
        for (std::uint32_t t = 0; t < 20; ++t)
            CPPUNIT_ASSERT(workerOf({"k", 0, 0, t}) != "w0");
    }

    void usesASlowWorkerWhereOthersAreFull()
    {
        slowDown(0);
        accept("k", plan(5, 40'000));
        decideAndCommit(4000);
        std::set<std::string> used;
        for (std::uint32_t t = 0; t < 5; ++t)
            used.insert(workerOf({"k", 0, 0, t}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{5}, used.size());
    }

    void triesASlowWorkerAgain()
    {
        slowDown(0);
        decideAndCommit(4000);
        decideAndCommit(12'000);
        accept("k", plan(5, 1000));
        decideAndCommit(12'001);
        std::set<std::string> used;
        for (std::uint32_t t = 0; t < 5; ++t)
            used.insert(workerOf({"k", 0, 0, t}));
        CPPUNIT_ASSERT(used.contains("w0"));
    }

    void restartsARunThatWouldEndSoonerElsewhere()
    {
        const std::vector<TaskRef> slow = startOnAll(3, 0);
        m_dispatcher->takeOrders();
        listSlow(slow, 1500);
        decideAndCommit(1500);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops().size());
        listSlow(slow, 2010);
        decideAndCommit(2010);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stops().size());
    }

    void keepsARunThatHasNowhereElseToGo()
    {
        const std::vector<TaskRef> slow = startOnAll(3, 0);
        accept("full", plan(4, 64'000));
        decideAndCommit(750);
        m_dispatcher->takeOrders();
        listSlow(slow, 1500);
        decideAndCommit(1500);
        CPPUNIT_ASSERT(stops().empty());
    }

    void keepsARunThatIsLongByNature()
    {
        const std::vector<TaskRef> onOne = startOnAll(1, 0);
        m_dispatcher->takeOrders();
        for (int now = 1500; now < 5000; now += 500) {
            listSlow(onOne, now);
            decideAndCommit(now);
        }
        CPPUNIT_ASSERT(stops().empty());
    }

    void keepsMembersOfAGang()
    {
        const std::vector<TaskRef> slow = startOnAll(3, 0, true);
        m_dispatcher->takeOrders();
        listSlow(slow, 1500);
        decideAndCommit(1500);
        CPPUNIT_ASSERT(stops().empty());
    }

private:
    static constexpr int workers = 5;
    static constexpr int normalMs = 700;

    void accept(const std::string &job, const JobPlan &plan)
    {
        commit({AcceptJob{job, "batch", plan}}, 0);
    }

    [[nodiscard]] std::string workerOf(const TaskRef &task) const
    {
        const StageTask *found = m_jobTable->find(task);
        return found == nullptr ? "" : found->lifetime.worker;
    }

    std::vector<StopOrder> stops()
    {
        std::vector<StopOrder> found;
        for (const auto &[node, order] : m_dispatcher->takeOrders()) {
            if (const auto *stop = std::get_if<StopOrder>(&order))
                found.push_back(*stop);
        }
        return found;
    }

    /// Starts jobs of one task on each worker. Those on normal workers are done in time. Returns
    /// the tasks on the slow one.
    std::vector<TaskRef> startOnAll(int jobs, int milliseconds, bool gang = false)
    {
        std::vector<TaskRef> slow;
        std::vector<TaskRef> others;
        for (int j = 0; j < jobs; ++j) {
            JobPlan each = plan(workers, 1000, normalMs);
            each.steps[0].maxPerWorker = 1;
            each.steps[0].gang = gang;
            accept(fmt::format("j{}", j), each);
        }
        decideAndCommit(milliseconds);
        for (int j = 0; j < jobs; ++j) {
            const std::string id = fmt::format("j{}", j);
            for (std::uint32_t t = 0; t < workers; ++t)
                (workerOf({id, 0, 0, t}) == "w0" ? slow : others).push_back({id, 0, 0, t});
        }
        CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(jobs), slow.size());
        listSlow(slow, milliseconds + 10);
        for (const TaskRef &task : others)
            m_dispatcher->endReported({task, 1, RunEnd::Done, {}, {}});
        commit(m_dispatcher->takeCommands(), milliseconds + normalMs);
        return slow;
    }

    void listSlow(const std::vector<TaskRef> &tasks, int milliseconds)
    {
        std::vector<RunStatus> rows;
        rows.reserve(tasks.size());
        for (const TaskRef &task : tasks)
            rows.push_back({task, 1, {}, 10, 1000});
        m_dispatcher->runsReported({"w0", 1}, rows, at(milliseconds));
    }

    /// Carries out tasks on all workers, until "w0" is known to be slow.
    void slowDown(int milliseconds)
    {
        const std::vector<TaskRef> slow = startOnAll(3, milliseconds);
        for (const TaskRef &task : slow)
            m_dispatcher->endReported({task, 1, RunEnd::Done, {}, {}});
        commit(m_dispatcher->takeCommands(), milliseconds + 5 * normalMs);
        decideAndCommit(milliseconds + 5 * normalMs + 1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowWorkerTest);
