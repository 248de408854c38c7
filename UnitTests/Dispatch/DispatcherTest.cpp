#include "DispatcherFixture.h"

using namespace guavashift;

/// Tests of the leader's scheduling. As on a leader, each command is applied once committed.
class DispatcherTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(DispatcherTest);
    CPPUNIT_TEST(sendsOrdersOnlyAfterTheBindingIsCommitted);
    CPPUNIT_TEST(staysWithinCapacity);
    CPPUNIT_TEST(startsAGangWholeOrNotAtAll);
    CPPUNIT_TEST(waitsForTheLeaseOfAnUnreachableWorker);
    CPPUNIT_TEST(newLeaderWaitsForOldLeases);
    CPPUNIT_TEST(inventorySettlesOnlyWhatWasBoundBefore);
    CPPUNIT_TEST(dropsOrdersOfALostSession);
    CPPUNIT_TEST(usesAWorkerAgainOnceItsLeaseIsRenewed);
    CPPUNIT_TEST(usesNoDrainingWorker);
    CPPUNIT_TEST(placesJobsThatCanMeetTheirObjectiveFirst);
    CPPUNIT_TEST(keepsInterferingTasksFromWorkersWithoutHeadroom);
    CPPUNIT_TEST(separatesLatencyCriticalImages);
    CPPUNIT_TEST(pausesAfterExaminingManyWorkers);
    CPPUNIT_TEST(cancellingStopsRuns);
    CPPUNIT_TEST(startsAllMembersOfAGangWithOneCheckpoint);
    CPPUNIT_TEST(recordsWhenATaskBecameReady);
    CPPUNIT_TEST(recordsWhenAGangBecameReady);
    CPPUNIT_TEST_SUITE_END();

public:
    void sendsOrdersOnlyAfterTheBindingIsCommitted()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(1), 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
        commit(commands, 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
    }

    void staysWithinCapacity()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(5, 20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(2));
        end({"j", 0, 0, 0}, 1, RunEnd::Done, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(4));
    }

    void startsAGangWholeOrNotAtAll()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan gang = plan(4, 20'000);
        gang.steps[0].gang = true;
        accept("j", gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(1));
        m_dispatcher->workerReported("n2", worker("w2"), at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decideAndCommit(3));
    }

    void waitsForTheLeaseOfAnUnreachableWorker()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        decideAndCommit(1);
        m_dispatcher->nodeLost("n1");
        m_dispatcher->workerReported("n2", worker("w2"), at(10));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(4500));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n2", at(4500)));
        // The lease and its margin have expired: the run ends first, then the task starts
        // elsewhere.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5001));
        CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({"j", 0, 0, 0})->run);
    }

    /// The longest lease and its margin: a call for an earlier lifetime may have granted it just
    /// before the change.
    void newLeaderWaitsForOldLeases()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        decideAndCommit(1);
        Dispatcher next({}, *m_jobTable);
        next.start(at(100));
        CPPUNIT_ASSERT(next.decide(at(6500), 0).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.decide(at(6501), 0).size());
    }

    void inventorySettlesOnlyWhatWasBoundBefore()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        decideAndCommit(10);
        const Lifetime lifetime = worker("w1").lifetime;
        // Bound after the session began: its order may still arrive.
        m_dispatcher->inventoryReported(lifetime, {}, at(5));
        CPPUNIT_ASSERT(m_dispatcher->decide(at(11), 11).empty());
        // Bound before the session began: its order can no longer arrive.
        m_dispatcher->inventoryReported(lifetime, {}, at(20));
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(21), 21);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT(RunEnd::NotStarted == std::get<EndRun>(commands[0]).end);
    }

    /// With a slow disk a delayed order reached the node's next session, whose inventory had
    /// already settled the run, and the task ran twice.
    void dropsOrdersOfALostSession()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        decideAndCommit(1);
        m_dispatcher->nodeLost("n1");
        m_dispatcher->workerReported("n1", worker("w1"), at(2));
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
    }

    /// With a slow disk workers whose leases expired were removed while their agents' sessions went
    /// on, and nothing was placed on them any more.
    void usesAWorkerAgainOnceItsLeaseIsRenewed()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        decideAndCommit(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(5001));
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5002)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5003));
    }

    void usesNoDrainingWorker()
    {
        WorkerFacts facts = worker("w1");
        facts.draining = true;
        m_dispatcher->workerReported("n1", facts, at(0));
        accept("j", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(1));
    }

    void placesJobsThatCanMeetTheirObjectiveFirst()
    {
        // FIFO and earliest objective first would both run the job that is already too late.
        accept("old", plan(1, 60'000, 1000));
        accept("new", plan(1, 60'000, 1000), 9000);
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(1), 9001);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        CPPUNIT_ASSERT_EQUAL(std::string("new"), std::get<StartRun>(commands[0]).task.job);
    }

    void keepsInterferingTasksFromWorkersWithoutHeadroom()
    {
        // Least loaded by processors would choose w1, whose latency-critical task has no headroom.
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan latencyCritical = plan(1, 10'000);
        latencyCritical.steps[0].longRunning = true;
        latencyCritical.steps[0].tailTargetMs = 50;
        latencyCritical.steps[0].image = "server";
        accept("s", latencyCritical);
        decideAndCommit(1);
        m_dispatcher->runsReported(worker("w1").lifetime,
                                   std::vector<RunStatus>{{{"s", 0, 0, 0}, 1, {}, 100, 45.0}},
                                   at(2));
        JobPlan bestEffort = plan(1, 8000);
        bestEffort.steps[0].bestEffort = true;
        bestEffort.steps[0].image = "press";
        accept("f", bestEffort);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(3));
        WorkerFacts small = worker("w2");
        small.capacity.milliCores = 32'000;
        m_dispatcher->workerReported("n2", small, at(4));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5));
        CPPUNIT_ASSERT_EQUAL(std::string("w2"), m_jobTable->find({"f", 0, 0, 0})->lifetime.worker);
    }

    void separatesLatencyCriticalImages()
    {
        // Least loaded would place both images on both workers, so that each best-effort task would
        // share its worker with both.
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        m_dispatcher->workerReported("n2", worker("w2"), at(0));
        int now = 1;
        for (const std::string image : {"counter", "portal"}) {
            JobPlan latencyCritical = plan(4, 10'000);
            latencyCritical.steps[0].longRunning = true;
            latencyCritical.steps[0].tailTargetMs = 50;
            latencyCritical.steps[0].image = image;
            accept(image, latencyCritical);
            CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decideAndCommit(now++));
        }
        for (const std::string image : {"counter", "portal"}) {
            std::set<std::string> workers;
            for (std::uint32_t t = 0; t < 4; ++t)
                workers.insert(m_jobTable->find({image, 0, 0, t})->lifetime.worker);
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, workers.size());
        }
        // A task that cannot be co-located with tasks of its image still starts.
        JobPlan more = plan(2, 20'000);
        more.steps[0].longRunning = true;
        more.steps[0].tailTargetMs = 50;
        more.steps[0].image = "counter";
        accept("more", more);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(now++));
    }

    /// On a fleet of 71 workers a leader that tried to place all steps after each event did nothing
    /// else.
    void pausesAfterExaminingManyWorkers()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        for (int i = 0; i < 1000; ++i)
            accept(fmt::format("wide{}", i), plan(1, 65'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(1));
        accept("small", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(62));
    }

    void cancellingStopsRuns()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        decideAndCommit(1);
        m_dispatcher->takeOrders();
        commit({CancelJob{"j"}}, 2);
        const auto orders = m_dispatcher->takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, orders.size());
        CPPUNIT_ASSERT(std::holds_alternative<StopOrder>(orders[0].second));
    }

    /// Guards against members of a gang that resume from different points: one of them was stopped
    /// and has a newer checkpoint than the others, and one has none.
    void startsAllMembersOfAGangWithOneCheckpoint()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan gang = plan(3, 10'000);
        gang.steps[0].gang = true;
        gang.steps[0].checkpoints = true;
        accept("j", gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        m_dispatcher->endReported({{"j", 0, 0, 0}, 1, RunEnd::Broken, "4000"});
        m_dispatcher->endReported({{"j", 0, 0, 1}, 1, RunEnd::Stopped, "4655"});
        m_dispatcher->endReported({{"j", 0, 0, 2}, 1, RunEnd::Broken, {}});
        commit(m_dispatcher->takeCommands(), 100);
        m_dispatcher->takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(101));
        std::set<std::string> checkpoints;
        const auto orders = m_dispatcher->takeOrders();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, orders.size());
        for (const auto &order : orders)
            checkpoints.insert(std::get<StartOrder>(order.second).checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checkpoints.size());
        CPPUNIT_ASSERT(checkpoints.contains("4000") || checkpoints.contains("4655"));
    }

    void recordsWhenATaskBecameReady()
    {
        JobPlan twice = plan(1, 1000);
        twice.steps.push_back(twice.steps[0]);
        twice.steps[1].after = {0};
        // Nothing can be placed before a worker reports.
        accept("j", twice);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(5));
        m_dispatcher->workerReported("n1", worker("w1"), at(200));
        const StartRun first = onlyStart(m_dispatcher->decide(at(300), 300));
        const std::optional<BindingTimes> times = m_dispatcher->timesOf(first);
        CPPUNIT_ASSERT(times.has_value());
        CPPUNIT_ASSERT(at(0) == times->readyAt && at(300) == times->decidedAt);
        commit({first}, 340);
        CPPUNIT_ASSERT(at(300) == m_dispatcher->timesOf(first)->decidedAt);
        // The next step becomes ready when the end of the first is committed.
        m_dispatcher->endReported({first.task, first.run, RunEnd::Done, {}});
        commit(m_dispatcher->decide(at(900), 900), 950);
        CPPUNIT_ASSERT(!m_dispatcher->timesOf(first).has_value());
        const StartRun second = onlyStart(m_dispatcher->decide(at(1000), 1000));
        CPPUNIT_ASSERT(at(950) == m_dispatcher->timesOf(second)->readyAt);
        // Another leader does not know when it became ready.
        commit({second}, 1001);
        m_dispatcher->stop();
        m_dispatcher->start(at(2000));
        CPPUNIT_ASSERT(!m_dispatcher->timesOf(second).has_value());
    }

    /// A failed attempt to place a gang binds some members and releases them; they must keep the
    /// time at which they became ready.
    void recordsWhenAGangBecameReady()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan gang = plan(4, 20'000);
        gang.steps[0].gang = true;
        accept("j", gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(100));
        m_dispatcher->workerReported("n2", worker("w2"), at(200));
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(300), 300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, commands.size());
        for (const StageCommand &command : commands) {
            const auto times = m_dispatcher->timesOf(std::get<StartRun>(command));
            CPPUNIT_ASSERT(at(0) == times->readyAt && at(300) == times->decidedAt);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);
