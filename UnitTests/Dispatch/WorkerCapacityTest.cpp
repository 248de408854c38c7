#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>

using namespace guavashift;

namespace {

JobPlan plan(std::uint32_t tasks, const Resources &size)
{
    JobPlan plan;
    plan.steps.resize(1);
    plan.steps[0].tasks = tasks;
    plan.steps[0].size = size;
    plan.steps[0].estimateMs = 1000;
    return plan;
}

} // namespace

/// Tests of placement on workers whose capacity changes while they run, and of what counts against
/// it. The workers start all they are told to.
class WorkerCapacityTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerCapacityTest);
    CPPUNIT_TEST(startsNothingBeyondAShrunkCapacity);
    CPPUNIT_TEST(startsNothingWhereAnyResourceIsExceeded);
    CPPUNIT_TEST(usesAGrownCapacity);
    CPPUNIT_TEST(keepsRunningTasksOfAShrunkWorker);
    CPPUNIT_TEST(runBeingStoppedKeepsItsCapacity);
    CPPUNIT_TEST(sendsNoStartThatNoLongerFits);
    CPPUNIT_TEST(listedRunThatIsNotBoundKeepsItsCapacity);
    CPPUNIT_TEST(runListedAfterItLapsedKeepsItsCapacity);
    CPPUNIT_TEST(startsNothingBesideARunOfUnknownSize);
    CPPUNIT_TEST(learnsNothingFromAChangeOfCapacity);
    CPPUNIT_TEST(copesWithACapacityOfZero);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
    }

    void startsNothingBeyondAShrunkCapacity()
    {
        report({64'000, 100'000, 0}, 0);
        accept("first", plan(1, {40'000, 100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        report({50'000, 100'000, 0}, 2);
        accept("second", plan(2, {10'000, 100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(100));
    }

    void startsNothingWhereAnyResourceIsExceeded()
    {
        for (const Resources &shrunk :
             {Resources{32'000, 100'000, 4}, Resources{64'000, 1000, 4}, {64'000, 100'000, 1}}) {
            setUp();
            report({64'000, 100'000, 4}, 0);
            accept("first", plan(1, {40'000, 2000, 2}));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
            report(shrunk, 2);
            accept("small", plan(1, {100, 1, 0}));
            JobPlan gang = plan(2, {100, 1, 0});
            gang.steps[0].gang = true;
            accept("gang", gang);
            JobPlan bestEffort = plan(1, {100, 1, 0});
            bestEffort.steps[0].bestEffort = true;
            accept("best-effort", bestEffort);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(3));
        }
    }

    void usesAGrownCapacity()
    {
        report({64'000, 100'000, 0}, 0);
        accept("first", plan(1, {40'000, 100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        report({32'000, 100'000, 0}, 2);
        accept("second", plan(1, {20'000, 100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(3));
        report({64'000, 100'000, 0}, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(101));
    }

    void keepsRunningTasksOfAShrunkWorker()
    {
        report({64'000, 100'000, 0}, 0);
        JobPlan lasting = plan(2, {20'000, 100, 0});
        lasting.steps[0].longRunning = true;
        accept("lasting", lasting);
        JobPlan bestEffort = plan(1, {8000, 100, 0});
        bestEffort.steps[0].bestEffort = true;
        bestEffort.steps[0].checkpoints = true;
        accept("best-effort", bestEffort);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        m_dispatcher->takeOrders();
        report({10'000, 50, 0}, 2);
        for (int now = 100; now < 4000; now += 100)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(now));
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
    }

    void runBeingStoppedKeepsItsCapacity()
    {
        report({64'000, 100'000, 0}, 0);
        accept("cancelled", plan(1, {40'000, 100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        commit({CancelJob{"cancelled"}}, 2);
        accept("next", plan(1, {40'000, 100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(3));
        m_dispatcher->endReported({{"cancelled", 0, 0, 0}, 1, RunEnd::Stopped, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5));
    }

    /// Guards against a start that is sent after a slow commit, although the worker has reported a
    /// smaller capacity since the start was proposed.
    void sendsNoStartThatNoLongerFits()
    {
        report({64'000, 100'000, 0}, 0);
        accept("j", plan(1, {40'000, 100, 0}));
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(1), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        report({32'000, 100'000, 0}, 2);
        commit(commands, 3);
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
        // Its end is committed, and the task waits for a worker that has the capacity.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(5));
        report({64'000, 100'000, 0}, 6);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
    }

    /// Guards against starts beyond the capacity of a worker that still runs what was settled with
    /// another end.
    void listedRunThatIsNotBoundKeepsItsCapacity()
    {
        lapse("settled", {40'000, 100, 0});
        const std::vector<RunStatus> rows{{{"settled", 0, 0, 0}, 1, {}, 50, 0}};
        m_dispatcher->inventoryReported(m_lifetime, rows, at(5002));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        expectWaits(5003);
        m_dispatcher->runsReported(m_lifetime, rows, at(5500));
        expectWaits(5501);
        m_dispatcher->runsReported(m_lifetime, {}, at(6000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(6001));
    }

    /// Guards against starts beyond the capacity of a worker whose lease ended by the leader's
    /// clock, while its agent still lists the run.
    void runListedAfterItLapsedKeepsItsCapacity()
    {
        lapse("settled", {40'000, 100, 0});
        m_dispatcher->runsReported(
            m_lifetime, std::vector<RunStatus>{{{"settled", 0, 0, 0}, 1, {}, 50, 0}}, at(5002));
        expectWaits(5003);
        m_dispatcher->runsReported(m_lifetime, {}, at(5500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5501));
    }

    /// Guards against starts beside a run of a job that is not known any more: its size is not
    /// known either.
    void startsNothingBesideARunOfUnknownSize()
    {
        report({64'000, 100'000, 0}, 0);
        m_dispatcher->inventoryReported(
            m_lifetime, std::vector<RunStatus>{{{"gone", 0, 0, 0}, 1, {}, 50, 0}}, at(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        accept("next", plan(1, {100, 100, 0}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(2));
        m_dispatcher->inventoryReported(m_lifetime, {}, at(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(4));
    }

    /// Guards against interference that is learned from a change of capacity: the same processor
    /// use is then another share of it, while no tail changes.
    void learnsNothingFromAChangeOfCapacity()
    {
        for (const std::int64_t milliCores : {32'000, 0}) {
            setUp();
            report({64'000, 100'000, 0}, 0);
            startServerAndPress();
            reportServerAndPress(10);
            reportServerAndPress(500);
            CPPUNIT_ASSERT(m_dispatcher->takeInterference(at(501)).empty());
            report({milliCores, 100'000, 0}, 502);
            reportServerAndPress(1000);
            reportServerAndPress(1500);
            CPPUNIT_ASSERT(m_dispatcher->takeInterference(at(1501)).empty());
        }
    }

    /// Guards against a division by a capacity of zero, whose result would make a worker look free
    /// of interference.
    void copesWithACapacityOfZero()
    {
        report({64'000, 100'000, 0}, 0);
        startServerAndPress();
        report({0, 0, 0}, 2);
        reportServerAndPress(10);
        reportServerAndPress(500, 4000);
        CPPUNIT_ASSERT(m_dispatcher->takeInterference(at(501)).empty());
        JobPlan bestEffort = plan(1, {0, 0, 0});
        bestEffort.steps[0].bestEffort = true;
        bestEffort.steps[0].image = "press";
        accept("empty", bestEffort);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(502));
        PoolWorker worker;
        worker.runs[{"f", 0, 0, 0}].bestEffort = true;
        worker.runs[{"f", 0, 0, 0}].image = "press";
        worker.runs[{"f", 0, 0, 0}].size.milliCores = 8000;
        CPPUNIT_ASSERT(std::isfinite(worker.bestEffortDemand().at("press")));
    }

private:
    void report(const Resources &capacity, int milliseconds)
    {
        WorkerFacts facts;
        facts.lifetime = m_lifetime;
        facts.service = "orders";
        facts.capacity = capacity;
        m_dispatcher->workerReported("n1", facts, at(milliseconds));
    }

    /// Starts a task of this size on a worker with 64 cores and settles its run as lapsed at 5 s.
    /// The task then waits for its next run.
    void lapse(const std::string &job, const Resources &size)
    {
        report({64'000, 100'000, 0}, 0);
        accept(job, plan(1, size));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5000));
        m_dispatcher->takeOrders();
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5001)));
    }

    void expectWaits(int milliseconds)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(milliseconds));
    }

    /// Starts a latency-critical task and a best-effort one.
    void startServerAndPress()
    {
        JobPlan server = plan(1, {10'000, 100, 0});
        server.steps[0].longRunning = true;
        server.steps[0].tailTargetMs = 50;
        server.steps[0].image = "server";
        accept("s", server);
        JobPlan press = plan(1, {8000, 100, 0});
        press.steps[0].bestEffort = true;
        press.steps[0].image = "press";
        accept("f", press);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
    }

    /// The server's tail is at 20 of 50 ms.
    void reportServerAndPress(int milliseconds, double pressMilliCores = 8000)
    {
        m_dispatcher->runsReported(
            m_lifetime,
            std::vector<RunStatus>{{{"s", 0, 0, 0}, 1, {}, 100, 20.0},
                                   {{"f", 0, 0, 0}, 1, {}, 50, pressMilliCores}},
            at(milliseconds));
    }

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

    std::size_t decideAndCommit(int milliseconds)
    {
        const std::vector<StageCommand> commands =
            m_dispatcher->decide(at(milliseconds), milliseconds);
        commit(commands, milliseconds);
        return commands.size();
    }

    const Lifetime m_lifetime{"w1", 1};
    std::unique_ptr<JobTable> m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerCapacityTest);
