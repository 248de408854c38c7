#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Tests of the leader's scheduling. As on a leader, each command is applied once committed.
class DispatcherTest : public CppUnit::TestFixture
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
    CPPUNIT_TEST(settlesRunsWhoseOrderWasNeverSent);
    CPPUNIT_TEST(startsLongRunningTasksBeforeJobsThatAreInTime);
    CPPUNIT_TEST(movesNoMoreLongRunningTasksThanMayBeUnavailable);
    CPPUNIT_TEST(endedGangReleasesAllItsCapacity);
    CPPUNIT_TEST(startsAllMembersOfAGangWithOneCheckpoint);
    CPPUNIT_TEST(recordsWhenATaskBecameReady);
    CPPUNIT_TEST(recordsWhenAGangBecameReady);
    CPPUNIT_TEST(restartsLongRunningTaskInTheRoomItHad);
    CPPUNIT_TEST(placesLongRunningTaskAmongSteadyShortTasks);
    CPPUNIT_TEST(holdsFewWorkersForLongRunningTasks);
    CPPUNIT_TEST(heldWorkerKeepsWhatTheWaitingTaskLacks);
    CPPUNIT_TEST(endsJobsWithoutAnAttemptLeft);
    CPPUNIT_TEST(refusedStartThatEndsAJobWithdrawsItsTasks);
    CPPUNIT_TEST(lateDoneEndOfALapsedRunStartsTheNextStep);
    CPPUNIT_TEST(doneEndFollowsAProposedDerivedEnd);
    CPPUNIT_TEST(lateDoneEndBeforeTheProposedNextRun);
    CPPUNIT_TEST(lateDoneEndAfterTheProposedNextRun);
    CPPUNIT_TEST(lateDoneEndOfAGangWithdrawsItsMembers);
    CPPUNIT_TEST(countsWhyNoWorkerTakesAWaitingLongRunningTask);
    CPPUNIT_TEST(namesABoundLongRunningTaskThatIsNotListed);
    CPPUNIT_TEST(waitOfALongRunningTaskSpansRunsThatNeverStarted);
    CPPUNIT_TEST(waitOfALongRunningTaskBeginsWhenItWasLastListed);
    CPPUNIT_TEST(nextLeaderFindsWaitingLongRunningTasks);
    CPPUNIT_TEST(findsNoWaitOfTasksThatNeedNotRun);
    CPPUNIT_TEST(suspectsOnlyRunsThatHadJustStarted);
    CPPUNIT_TEST(suspectsAllRunsThatHadJustStarted);
    CPPUNIT_TEST(suspectsNoTaskOfAWorkerThatIsLost);
    CPPUNIT_TEST(forgetsCrashesOnceARunHasSurvived);
    CPPUNIT_TEST(placesOneSuspectOnAWorkerAtATime);
    CPPUNIT_TEST(triesOneTaskOfASuspectedStepFirst);
    CPPUNIT_TEST(nextLeaderKeepsCrashes);
    CPPUNIT_TEST(givesUpAGangThatCrashesWorkers);
    CPPUNIT_TEST(manySuspectsStartWithinSeconds);
    CPPUNIT_TEST(restartsSuspectedLongRunningTasksWithinSeconds);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
    }

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

    /// A run that was committed between two sessions of its worker's agent stayed bound forever.
    void settlesRunsWhoseOrderWasNeverSent()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        const std::vector<StageCommand> commands = m_dispatcher->decide(at(1), 1);
        m_dispatcher->nodeLost("n1");
        commit(commands, 3);
        CPPUNIT_ASSERT(m_dispatcher->takeOrders().empty());
        // The next session began before the commit, and its agent reported after it.
        m_dispatcher->workerReported("n1", worker("w1"), at(4));
        m_dispatcher->inventoryReported(worker("w1").lifetime, {}, at(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({"j", 0, 0, 0})->run);
    }

    /// A long-running task whose worker was lost waited behind all jobs that could still be in
    /// time, since its own objective had passed long ago.
    void startsLongRunningTasksBeforeJobsThatAreInTime()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan longRunning = plan(1, 60'000);
        longRunning.steps[0].longRunning = true;
        accept("lasting", longRunning);
        decideAndCommit(1);
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(60'000)));
        accept("proof", plan(1, 60'000), 60'000);
        end({"lasting", 0, 0, 0}, 1, RunEnd::Failed, 60'001);
        decideAndCommit(60'100);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"lasting", 0, 0, 0})->stage);
    }

    /// The first end in a gang settles all members, so the later ends changed nothing in the job
    /// table, and the capacity of those members stayed reserved until their workers restarted.
    void endedGangReleasesAllItsCapacity()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan gang = plan(2, 30'000);
        gang.steps[0].gang = true;
        gang.steps.push_back(plan(1, 1000).steps[0]);
        gang.steps[1].after = {0};
        accept("j", gang);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        end({"j", 0, 0, 0}, 1, RunEnd::Done, 100);
        end({"j", 0, 0, 1}, 1, RunEnd::Done, 200);
        accept("wide", plan(1, 60'000));
        decideAndCommit(300);
        decideAndCommit(400);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"wide", 0, 0, 0})->stage);
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

    /// Moves make no more tasks of a long-running step unavailable than its job allows.
    void movesNoMoreLongRunningTasksThanMayBeUnavailable()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan bestEffort = plan(2, 8000);
        bestEffort.steps[0].longRunning = true;
        bestEffort.steps[0].bestEffort = true;
        bestEffort.steps[0].checkpoints = true;
        bestEffort.steps[0].maxUnavailable = 1;
        bestEffort.steps[0].image = "press";
        accept("f", bestEffort);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        JobPlan latencyCritical = plan(1, 10'000);
        latencyCritical.steps[0].longRunning = true;
        latencyCritical.steps[0].tailTargetMs = 50;
        latencyCritical.steps[0].image = "server";
        accept("s", latencyCritical);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(2));
        m_dispatcher->takeOrders();
        // Both best-effort tasks interfere on w1 and would run at full speed on w2.
        m_dispatcher->workerReported("n2", worker("w2"), at(3));
        int now = 2000;
        for (int i = 0; i < 4; ++i, now += 600) {
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(now)));
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n2", at(now)));
            m_dispatcher->runsReported(worker("w1").lifetime,
                                       std::vector<RunStatus>{{{"s", 0, 0, 0}, 1, {}, 100, 45.0},
                                                              {{"f", 0, 0, 0}, 1, "c", 100, 0},
                                                              {{"f", 0, 0, 1}, 1, "c", 100, 0}},
                                       at(now));
            decideAndCommit(now);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stopsOrdered());
        // Unavailable until it has started up elsewhere, not only until it is bound.
        end({"f", 0, 0, 0}, 1, RunEnd::Stopped, now);
        decideAndCommit(now += 600);
        decideAndCommit(now += 600);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, stopsOrdered());
        m_dispatcher->runsReported(worker("w2").lifetime,
                                   std::vector<RunStatus>{{{"f", 0, 0, 0}, 2, "c", 100, 8000}},
                                   at(now));
        decideAndCommit(now += 600);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stopsOrdered());
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

    /// Guards against a task that waits for capacity and looks like one whose workers are lost.
    void countsWhyNoWorkerTakesAWaitingLongRunningTask()
    {
        // One worker for each reason, and two without capacity.
        std::map<std::string, WorkerFacts> workers;
        for (const char *name : {"full1", "full2", "draining", "lost", "other", "label", "silent",
                                 "suspect", "unleased"})
            workers[name] = worker(name);
        workers["full1"].capacity.milliCores = 1000;
        workers["full2"].capacity.milliCores = 1000;
        workers["draining"].draining = true;
        workers["other"].service = "another";
        workers["label"].labels = {"b", "rack"};
        workers["suspect"].labels = {"a", "refuses"};
        for (const auto &[name, facts] : workers) {
            m_dispatcher->workerReported(name, facts, at(0));
            if (name != "unleased")
                CPPUNIT_ASSERT(m_dispatcher->leaseGranted(name, at(4000)));
        }
        JobPlan refused = plan(1, 1000);
        refused.steps[0].requiredLabel = "refuses";
        accept("refused", refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        m_dispatcher->nodeLost("lost");
        m_dispatcher->lifetimeEnded(workers["silent"].lifetime, LifetimeEnd::Unreachable,
                                    LifetimeProof::LeaseRanOut, {});
        m_dispatcher->startRefused(workers["suspect"].lifetime, {"refused", 0, 0, 0}, 1, at(4900));
        JobPlan lasting = longRunningPlan(1, 8000);
        lasting.steps[0].requiredLabel = "a";
        accept("lasting", lasting);
        const std::optional<LongRunningWaits> waits = m_dispatcher->takeLongRunningWaits(at(5000));
        CPPUNIT_ASSERT(waits.has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waits->count);
        CPPUNIT_ASSERT_EQUAL(std::string("lasting.0.0.0"), waits->oldest.text());
        CPPUNIT_ASSERT(std::chrono::seconds(5) == waits->age);
        const QueuedState &queued = std::get<QueuedState>(waits->state);
        for (const Exclusion reason :
             {Exclusion::NoSession, Exclusion::OtherService, Exclusion::Unreachable,
              Exclusion::Draining, Exclusion::NoLease, Exclusion::Suspect, Exclusion::Label})
            CPPUNIT_ASSERT_EQUAL(1U, queued.excludedBy(reason));
        CPPUNIT_ASSERT_EQUAL(2U, queued.excludedBy(Exclusion::Capacity));
        CPPUNIT_ASSERT_EQUAL(0U, queued.eligible);
        // No more than one check a second.
        CPPUNIT_ASSERT(!m_dispatcher->takeLongRunningWaits(at(5999)));
        CPPUNIT_ASSERT(m_dispatcher->takeLongRunningWaits(at(6000)));
    }

    /// Guards against a lost end or order, after which the task is bound and runs nowhere, that
    /// looks like a task in the queue.
    void namesABoundLongRunningTaskThatIsNotListed()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan lasting = longRunningPlan(2, 8000);
        lasting.steps[0].maxPerWorker = 2;
        accept("lasting", lasting);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        m_dispatcher->runsReported(worker("w1").lifetime,
                                   std::vector<RunStatus>{{{"lasting", 0, 0, 0}, 1, {}, 100, 0}},
                                   at(2900));
        std::optional<LongRunningWaits> waits = m_dispatcher->takeLongRunningWaits(at(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waits->count);
        CPPUNIT_ASSERT_EQUAL(std::string("lasting.0.0.1"), waits->oldest.text());
        const BoundState &bound = std::get<BoundState>(waits->state);
        CPPUNIT_ASSERT_EQUAL(1U, bound.run);
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), bound.worker);
        CPPUNIT_ASSERT(bound.committed && !bound.listed && !bound.endProposed);
        CPPUNIT_ASSERT(std::chrono::milliseconds(100) == bound.reportAge);
        // The end of the other one is proposed, and not committed in time.
        m_dispatcher->endReported({{"lasting", 0, 0, 0}, 1, RunEnd::Failed, {}});
        waits = m_dispatcher->takeLongRunningWaits(at(5000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, waits->count);
        m_dispatcher->runsReported(worker("w1").lifetime,
                                   std::vector<RunStatus>{{{"lasting", 0, 0, 1}, 1, {}, 100, 0}},
                                   at(6000));
        waits = m_dispatcher->takeLongRunningWaits(at(6100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waits->count);
        CPPUNIT_ASSERT_EQUAL(std::string("lasting.0.0.0"), waits->oldest.text());
        CPPUNIT_ASSERT(std::get<BoundState>(waits->state).endProposed);
    }

    /// Guards against a task that is bound and refused again and again and never seems to wait.
    void waitOfALongRunningTaskSpansRunsThatNeverStarted()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 8000));
        for (int now = 1000; now <= 4000; now += 1000) {
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(now)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(now));
            end({"lasting", 0, 0, 0}, static_cast<std::uint32_t>(now / 1000), RunEnd::NotStarted,
                now + 100);
        }
        const std::optional<LongRunningWaits> waits = m_dispatcher->takeLongRunningWaits(at(4900));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waits->count);
        CPPUNIT_ASSERT(std::chrono::milliseconds(4900) == waits->age);
    }

    /// Guards against a lapsed run whose outage seems shorter by the time that its lease took.
    void waitOfALongRunningTaskBeginsWhenItWasLastListed()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        m_dispatcher->runsReported(worker("w1").lifetime,
                                   std::vector<RunStatus>{{{"lasting", 0, 0, 0}, 1, {}, 100, 0}},
                                   at(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dispatcher->takeLongRunningWaits(at(1500))->count);
        m_dispatcher->nodeLost("n1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5500));
        CPPUNIT_ASSERT(TaskStage::Waiting == m_jobTable->find({"lasting", 0, 0, 0})->stage);
        const std::optional<LongRunningWaits> waits = m_dispatcher->takeLongRunningWaits(at(5600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, waits->count);
        CPPUNIT_ASSERT(std::chrono::milliseconds(4600) == waits->age);
        CPPUNIT_ASSERT(std::holds_alternative<QueuedState>(waits->state));
    }

    /// Guards against a leader that knows only of tasks which it bound or queued itself.
    void nextLeaderFindsWaitingLongRunningTasks()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 60'000));
        accept("larger", longRunningPlan(1, 70'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        Dispatcher next({}, *m_jobTable);
        next.start(at(1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, next.takeLongRunningWaits(at(3000))->count);
        const std::optional<LongRunningWaits> waits = next.takeLongRunningWaits(at(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, waits->count);
        CPPUNIT_ASSERT(std::chrono::seconds(3) == waits->age);
    }

    /// Guards against false alarms: running tasks, short ones and those of ended jobs do not wait.
    void findsNoWaitOfTasksThatNeedNotRun()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 8000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        accept("larger", longRunningPlan(1, 70'000));
        accept("short", plan(1, 70'000));
        m_dispatcher->runsReported(worker("w1").lifetime,
                                   std::vector<RunStatus>{{{"lasting", 0, 0, 0}, 1, {}, 100, 0}},
                                   at(2500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeLongRunningWaits(at(3000))->count);
        commit({CancelJob{"larger"}}, 3100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dispatcher->takeLongRunningWaits(at(4000))->count);
        // Not even after it has stopped to be listed, since its job ended.
        commit({CancelJob{"lasting"}}, 4100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, m_dispatcher->takeLongRunningWaits(at(9000))->count);
    }

    /// A long-running task whose run fails gets the capacity that this run had, before any of the
    /// short tasks that keep coming.
    /// Guards against tasks that lose attempts because another one crashed their worker.
    void suspectsOnlyRunsThatHadJustStarted()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 1000));
        accept("short", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        report("w1", 1, 1100);
        accept("deadly", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1200));
        crash("n1", "w1", 1, {"deadly"}, 1300);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("deadly"));
        CPPUNIT_ASSERT_EQUAL(0U, crashesOf("lasting"));
        CPPUNIT_ASSERT_EQUAL(0U, crashesOf("short"));
        // The suspected one, and the others after a pause.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1750));
        CPPUNIT_ASSERT_EQUAL(0U, m_jobTable->find({"short", 0, 0, 0})->failures);
    }

    /// Guards against a task that is started for ever, because each time others that a worker
    /// crashed under before are suspected instead.
    void suspectsAllRunsThatHadJustStarted()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("innocent", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        crash("n1", "w1", 1, {"innocent"}, 100);
        accept("deadly", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(200));
        crash("n1", "w1", 2, {"deadly"}, 700);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("innocent"));
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("deadly"));
        accept("new", plan(1, 1000));
        decideAndCommit(800);
        decideAndCommit(1200);
        crash("n1", "w1", 3, {"deadly", "new"}, 1300);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("new"));
        CPPUNIT_ASSERT(m_jobTable->find("new")->isActive());
    }

    /// Guards against tasks that are given up because a rack lost power twice, or because workers
    /// were cut off or left.
    void suspectsNoTaskOfAWorkerThatIsLost()
    {
        accept("lasting", longRunningPlan(1, 1000));
        accept("short", plan(1, 1000));
        for (int born = 1; born < 10; ++born) {
            const int now = born * 10'000;
            m_dispatcher->workerReported("n1", worker("w1", born), at(now));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(now + 1));
            const Lifetime lifetime{"w1", born};
            if (born % 4 == 0)
                m_dispatcher->nodeLost("n1");
            else if (born % 4 == 1)
                m_dispatcher->lifetimeEnded(lifetime, LifetimeEnd::Unreachable,
                                            LifetimeProof::LeaseRanOut, {});
            else if (born % 4 == 2)
                m_dispatcher->lifetimeEnded(lifetime, LifetimeEnd::Left,
                                            LifetimeProof::AnsweredByAnother, {});
            decideAndCommit(now + 9000);
            CPPUNIT_ASSERT_EQUAL(0U, crashesOf("lasting") + crashesOf("short"));
        }
        CPPUNIT_ASSERT(m_jobTable->find("lasting")->isActive());
        CPPUNIT_ASSERT(m_jobTable->find("short")->isActive());
    }

    /// Guards against long-running tasks that are given up after two crashes far apart.
    void forgetsCrashesOnceARunHasSurvived()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("lasting", longRunningPlan(1, 1000));
        for (int born = 1; born < 6; ++born) {
            const int now = born * 10'000;
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(now)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(now));
            if (born % 2 == 0)
                report("w1", born, now + 1500);
            crash("n1", "w1", born, {born % 2 == 0 ? "none" : "lasting"}, now + 1600);
            CPPUNIT_ASSERT_EQUAL(born % 2 == 0 ? 0U : 1U, crashesOf("lasting"));
        }
        CPPUNIT_ASSERT(m_jobTable->find("lasting")->isActive());
    }

    /// Guards against tasks that are given up because they ran beside one that crashes workers
    /// twice.
    void placesOneSuspectOnAWorkerAtATime()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("a", plan(1, 1000));
        accept("b", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
        crash("n1", "w1", 1, {"a", "b"}, 100);
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("a"));
        CPPUNIT_ASSERT_EQUAL(1U, crashesOf("b"));
        accept("new", plan(1, 1000));
        // One of the suspects, and the new task after a pause.
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(200));
        CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({"a", 0, 0, 0})->run);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(510));
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"new", 0, 0, 0})->stage);
        report("w1", 2, 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(1100));
        report("w1", 2, 1300);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1400));
    }

    /// Guards against a job that crashes all workers, each by another of its tasks.
    void triesOneTaskOfASuspectedStepFirst()
    {
        addWorkers(4);
        accept("j", plan(4, 40'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, decideAndCommit(1));
        // Two crash at the same time. The others have not survived yet.
        const std::string first = m_jobTable->find({"j", 0, 0, 0})->lifetime.worker;
        const std::string second = m_jobTable->find({"j", 0, 0, 1})->lifetime.worker;
        crashTask(first, {"j", 0, 0, 0}, 100);
        crashTask(second, {"j", 0, 0, 1}, 110);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(300));
        // Two others have survived: not all tasks of the step crash workers.
        for (const std::uint32_t t : {2U, 3U}) {
            const RunStatus row{{"j", 0, 0, t}, 1, {}, 50, 0};
            m_dispatcher->runsReported(m_jobTable->find(row.task)->lifetime, {&row, 1}, at(1200));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1300));
    }

    /// Guards against a count of crashes that ends with a leadership or a restart.
    void nextLeaderKeepsCrashes()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("deadly", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        crash("n1", "w1", 1, {"deadly"}, 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(200));
        const std::string saved = m_jobTable->save();
        CPPUNIT_ASSERT(m_jobTable->load(saved));
        m_dispatcher->start(at(300));
        m_dispatcher->lifetimeEnded({"w1", 2}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother,
                                    std::vector<TaskRun>{{{"deadly", 0, 0, 0}, 2}});
        decideAndCommit(400);
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("deadly")->status);
    }

    /// Guards against a gang that is started for ever because its members are suspected by turns,
    /// or given up after one crash because it has several members.
    void givesUpAGangThatCrashesWorkers()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        JobPlan gang = plan(3, 1000);
        gang.steps[0].gang = true;
        accept("j", gang);
        const std::vector<TaskRun> first{
            {{"j", 0, 0, 0}, 1}, {{"j", 0, 0, 1}, 1}, {{"j", 0, 0, 2}, 1}};
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        m_dispatcher->lifetimeEnded({"w1", 1}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother, first);
        decideAndCommit(100);
        CPPUNIT_ASSERT(m_jobTable->find("j")->isActive());
        m_dispatcher->workerReported("n1", worker("w1", 2), at(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(300));
        const std::vector<TaskRun> second{{{"j", 0, 0, 1}, 2}};
        m_dispatcher->lifetimeEnded({"w1", 2}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother, second);
        decideAndCommit(400);
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("j")->status);
    }

    /// Guards against tasks that wait for long because one beside them crashed their worker.
    void manySuspectsStartWithinSeconds() { assertSuspectsRestart(plan(1, 1000)); }

    /// Guards against the same for long-running tasks, which must run again within three seconds.
    void restartsSuspectedLongRunningTasksWithinSeconds()
    {
        assertSuspectsRestart(longRunningPlan(1, 1000));
    }

    void restartsLongRunningTaskInTheRoomItHad()
    {
        ShortTasks shortTasks;
        const int failsAt = prepareFullWorkers(shortTasks);
        const TaskRef lasting{"lasting", 0, 0, 0};
        m_dispatcher->endReported({lasting, 1, RunEnd::Failed, {}});
        const std::optional<int> boundAt = runUntilBound(lasting, shortTasks, failsAt, 1000);
        CPPUNIT_ASSERT(boundAt.has_value());
        CPPUNIT_ASSERT(*boundAt - failsAt <= 2 * shortTasks.commitMs);
    }

    /// Short tasks are spread over all workers, so that a long-running task whose worker is gone
    /// waited until no short tasks came any more, though they used a third of the free capacity.
    void placesLongRunningTaskAmongSteadyShortTasks()
    {
        ShortTasks shortTasks;
        const int leavesAt = prepareFullWorkers(shortTasks);
        const TaskRef lasting{"lasting", 0, 0, 0};
        m_dispatcher->lifetimeEnded(m_jobTable->find(lasting)->lifetime, LifetimeEnd::Left,
                                    LifetimeProof::AnsweredByAnother, {});
        const std::optional<int> boundAt = runUntilBound(lasting, shortTasks, leavesAt, 12'000);
        const std::string waited = boundAt ? fmt::format("placed after {} ms", *boundAt - leavesAt)
                                           : std::string("not placed in 12 s");
        constexpr int longestWaitMs = 3000;
        CPPUNIT_ASSERT_MESSAGE(waited, boundAt && *boundAt - leavesAt <= longestWaitMs);
    }

    /// Capacity held for waiting long-running tasks stays unused: were it held without a limit, ten
    /// of them would keep short tasks from ten workers of 32, though these have room.
    void holdsFewWorkersForLongRunningTasks()
    {
        constexpr std::uint32_t workers = 32;
        constexpr std::uint32_t heldAtMost = 2; // One sixteenth.
        for (std::uint32_t i = 0; i < workers; ++i)
            m_dispatcher->workerReported(fmt::format("n{}", i), worker(fmt::format("w{}", i)),
                                         at(0));
        accept("first", plan(workers, 10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{workers}, decideAndCommit(1));
        accept("lasting", longRunningPlan(10, 60'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(100));
        // Five more of these fit beside the first on each worker that is not held.
        accept("short", plan(5 * workers, 10'000), 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{5} * (workers - heldAtMost), decideAndCommit(200));
        std::map<std::string, std::uint32_t> runs;
        for (std::uint32_t t = 0; t < 5 * workers; ++t) {
            const StageTask *task = m_jobTable->find({"short", 0, 0, t});
            if (task->stage == TaskStage::Bound)
                ++runs[task->lifetime.worker];
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{workers - heldAtMost}, runs.size());
        // Each held worker takes a waiting task as soon as it has room.
        for (std::uint32_t t = 0; t < workers; ++t) {
            const TaskRef first{"first", 0, 0, t};
            if (!runs.contains(m_jobTable->find(first)->lifetime.worker))
                end(first, 1, RunEnd::Done, 300);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{heldAtMost}, decideAndCommit(400));
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"lasting", 0, 0, 0})->stage);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"lasting", 0, 0, 1})->stage);
    }

    /// Best-effort tasks reserve memory: those that took it on a held worker would keep the
    /// long-running task out for longer, while the others need not leave its processors idle.
    void heldWorkerKeepsWhatTheWaitingTaskLacks()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("first", plan(1, 10'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        JobPlan lasting = longRunningPlan(1, 60'000);
        lasting.steps[0].size.memoryMb = 99'000;
        accept("lasting", lasting);
        JobPlan bestEffort = plan(1, 2000);
        bestEffort.steps[0].bestEffort = true;
        accept("small", bestEffort, 100);
        bestEffort.steps[0].size.memoryMb = 5000;
        accept("large", bestEffort, 100);
        accept("short", plan(1, 1000), 100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(100));
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"small", 0, 0, 0})->stage);
        end({"first", 0, 0, 0}, 1, RunEnd::Done, 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(300));
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"lasting", 0, 0, 0})->stage);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"short", 0, 0, 0})->stage);
    }

    /// A configuration that lowers the number of attempts left tasks waiting that may not start any
    /// more: their jobs never ended, and the leader proposed them again in each round.
    void endsJobsWithoutAnAttemptLeft()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(1, 1000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        end({"j", 0, 0, 0}, 1, RunEnd::Failed, 2);
        commit({ReplaceConfiguration{"once"}}, 3);
        std::size_t proposed = 0;
        constexpr int rounds = 20;
        for (int i = 0; i < rounds; ++i)
            proposed += decideAndCommit(100 * (i + 1));
        CPPUNIT_ASSERT_MESSAGE(fmt::format("{} commands in {} rounds", proposed, rounds),
                               StageJobStatus::Failed == m_jobTable->find("j")->status);
    }

    /// The refused start of one task ends the job. Its other tasks would stay in the queue without
    /// a plan, or keep running.
    void refusedStartThatEndsAJobWithdrawsItsTasks()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", plan(5, 20'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(1));
        m_dispatcher->endReported({{"j", 0, 0, 0}, 1, RunEnd::Failed, {}});
        m_dispatcher->endReported({{"j", 0, 0, 1}, 1, RunEnd::Done, {}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(100));
        commit({ReplaceConfiguration{"once"}}, 101);
        m_dispatcher->takeOrders();
        // Two tasks are proposed together, one more waits, and one runs.
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(200));
        CPPUNIT_ASSERT(StageJobStatus::Failed == m_jobTable->find("j")->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stopsOrdered());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(300));
        end({"j", 0, 0, 2}, 1, RunEnd::Stopped, 400);
        CPPUNIT_ASSERT(m_jobTable->find("j")->plan.steps.empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(500));
        // All capacity is free again.
        accept("next", plan(1, 64'000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(600));
    }

    /// A leader that read no reports in time settled a run as lapsed and then ignored its end: the
    /// task ran twice.
    void lateDoneEndOfALapsedRunStartsTheNextStep()
    {
        lapseFirstRun();
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Failed, {}});
        m_dispatcher->endReported({m_firstTask, 2, RunEnd::Done, {}});
        CPPUNIT_ASSERT(m_dispatcher->takeCommands().empty());
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        const std::vector<StageCommand> ends = m_dispatcher->takeCommands();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ends.size());
        commit(ends, 5001);
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5002)));
        expectOnlyTheSecondStepStarts(5003);
    }

    /// The done end of a run was ignored while another end of it was on its way to the disks.
    void doneEndFollowsAProposedDerivedEnd()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", twoSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        m_dispatcher->inventoryReported(worker("w1").lifetime, {}, at(2));
        const std::vector<StageCommand> settled = m_dispatcher->takeCommands();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, settled.size());
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        const std::vector<StageCommand> done = m_dispatcher->takeCommands();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, done.size());
        commit(settled, 3);
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        CPPUNIT_ASSERT(m_dispatcher->takeCommands().empty());
        commit(done, 3);
        expectOnlyTheSecondStepStarts(4);
    }

    /// The proposed next run, which the late end makes needless, must free its capacity and must
    /// not be proposed again.
    void lateDoneEndBeforeTheProposedNextRun()
    {
        lapseFirstRun();
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5001)));
        const std::vector<StageCommand> next = m_dispatcher->decide(at(5002), 5002);
        CPPUNIT_ASSERT_EQUAL(2U, onlyStart(next).run);
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        commit(m_dispatcher->takeCommands(), 5003);
        commit(next, 5004);
        expectOnlyTheSecondStepStarts(5005);
    }

    /// The late end comes after the next run in the log: that run counts and stays placed.
    void lateDoneEndAfterTheProposedNextRun()
    {
        lapseFirstRun();
        CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5001)));
        const std::vector<StageCommand> next = m_dispatcher->decide(at(5002), 5002);
        m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
        const std::vector<StageCommand> late = m_dispatcher->takeCommands();
        commit(next, 5003);
        commit(late, 5004);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find(m_firstTask)->stage);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_dispatcher->takeOrders().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(5005));
        m_dispatcher->endReported({m_firstTask, 2, RunEnd::Done, {}});
        commit(m_dispatcher->takeCommands(), 5006);
        expectOnlyTheSecondStepStarts(5007);
    }

    /// Members of a gang that is done stayed in the queue, or were queued again once the start of
    /// their next run was refused.
    void lateDoneEndOfAGangWithdrawsItsMembers()
    {
        for (const bool proposed : {false, true}) {
            setUp();
            m_dispatcher->workerReported("n1", worker("w1"), at(0));
            JobPlan gangs = plan(2, 32'000);
            gangs.steps[0].gang = true;
            gangs.occurrences = 2;
            gangs.intervalMs = 100'000;
            accept("j", gangs);
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(1));
            CPPUNIT_ASSERT_EQUAL(std::size_t{2}, decideAndCommit(5000));
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted("n1", at(5001)));
            std::vector<StageCommand> next;
            if (proposed)
                next = m_dispatcher->decide(at(5002), 5002);
            CPPUNIT_ASSERT_EQUAL(std::size_t{proposed ? 2U : 0U}, next.size());
            m_dispatcher->endReported({m_firstTask, 1, RunEnd::Done, {}});
            commit(m_dispatcher->takeCommands(), 5003);
            commit(next, 5004);
            CPPUNIT_ASSERT(m_jobTable->find("j")->occurrencesDone.contains(0));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(5005));
            // All capacity is free again.
            accept("next", plan(1, 64'000));
            CPPUNIT_ASSERT_EQUAL(std::string("next"),
                                 onlyStart(m_dispatcher->decide(at(5100), 5100)).task.job);
        }
    }

private:
    /// The first task of job "j".
    const TaskRef m_firstTask{"j", 0, 0, 0};

    /// Two steps of one task that takes the whole worker.
    static JobPlan twoSteps()
    {
        JobPlan steps = plan(1, 64'000);
        steps.steps.push_back(steps.steps[0]);
        steps.steps[1].after = {0};
        return steps;
    }

    /// Starts the first step of job "j" and settles its run as lapsed.
    void lapseFirstRun()
    {
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        accept("j", twoSteps());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(5000));
        CPPUNIT_ASSERT(TaskStage::Waiting == m_jobTable->find(m_firstTask)->stage);
        m_dispatcher->takeOrders();
    }

    void expectOnlyTheSecondStepStarts(int milliseconds)
    {
        const std::vector<StageCommand> commands =
            m_dispatcher->decide(at(milliseconds), milliseconds);
        CPPUNIT_ASSERT_EQUAL(1U, onlyStart(commands).task.step);
        commit(commands, milliseconds);
        CPPUNIT_ASSERT(TaskStage::Done == m_jobTable->find(m_firstTask)->stage);
        CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({"j", 0, 1, 0})->stage);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, decideAndCommit(milliseconds + 100));
        end({"j", 0, 1, 0}, 1, RunEnd::Done, milliseconds + 200);
        CPPUNIT_ASSERT(StageJobStatus::Completed == m_jobTable->find("j")->status);
    }

    /// A steady stream of jobs with short tasks, and its runs that have not ended.
    struct ShortTasks
    {
        int intervalMs = 156; ///< Between two jobs.
        int runMs = 640;
        int commitMs = 60; ///< From the end of a run to its commit.
        int jobs = 0;
        std::multimap<int, EndRun> ends; ///< By the time of their commit.
    };

    static constexpr int fullWorkers = 16;

    /// Makes 16 workers of 64 cores, of which long-running tasks reserve three quarters, and lets
    /// short tasks run there for two seconds. One more long-running task, of 13 cores, fits on
    /// every worker only without the short tasks. Returns the time reached.
    int prepareFullWorkers(ShortTasks &shortTasks)
    {
        JobPlan lasting = plan(1, 13'000);
        lasting.steps[0].longRunning = true;
        JobPlan others = plan(3, 16'500);
        others.steps[0].longRunning = true;
        // One worker after the other, so that each gets its share.
        for (int i = 0; i < fullWorkers; ++i) {
            m_dispatcher->workerReported(fmt::format("n{}", i), worker(fmt::format("w{}", i)),
                                         at(0));
            accept(fmt::format("others{}", i), others);
            CPPUNIT_ASSERT_EQUAL(std::size_t{3}, decideAndCommit(i + 1));
        }
        accept("lasting", lasting);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, decideAndCommit(100));
        constexpr int warmUpMs = 2000;
        runUntilBound({"none", 0, 0, 0}, shortTasks, 100, warmUpMs);
        return 100 + warmUpMs;
    }

    /// Runs the stream of short tasks until a new run of the task is bound, `lengthMs` at most.
    /// Returns the time of the binding.
    std::optional<int> runUntilBound(const TaskRef &ref, ShortTasks &shortTasks, int from,
                                     int lengthMs)
    {
        constexpr int stepMs = 5;
        for (int now = from; now < from + lengthMs; now += stepMs) {
            for (int i = 0; i < fullWorkers; ++i)
                (void)m_dispatcher->leaseGranted(fmt::format("n{}", i), at(now));
            if (now / shortTasks.intervalMs >= shortTasks.jobs)
                accept(fmt::format("short{}", shortTasks.jobs++), plan(10, 1600, 640), now);
            while (!shortTasks.ends.empty() && shortTasks.ends.begin()->first <= now) {
                m_dispatcher->endReported(shortTasks.ends.begin()->second);
                shortTasks.ends.erase(shortTasks.ends.begin());
            }
            const std::vector<StageCommand> commands = m_dispatcher->decide(at(now), now);
            commit(commands, now);
            for (const StageCommand &command : commands) {
                const auto *start = std::get_if<StartRun>(&command);
                if (start != nullptr && start->task.job.starts_with("short"))
                    shortTasks.ends.emplace(now + shortTasks.runMs + shortTasks.commitMs,
                                            EndRun{start->task, start->run, RunEnd::Done, {}});
            }
            const StageTask *task = m_jobTable->find(ref);
            if (task != nullptr && task->stage == TaskStage::Bound && task->run > 1)
                return now;
        }
        return std::nullopt;
    }

    void addWorkers(int count)
    {
        for (int i = 1; i <= count; ++i)
            m_dispatcher->workerReported(fmt::format("n{}", i), worker(fmt::format("w{}", i)),
                                         at(0));
    }

    /// Lists all runs on the worker as running.
    void report(const std::string &id, std::int64_t born, int milliseconds)
    {
        const Lifetime lifetime{id, born};
        std::vector<RunStatus> rows;
        for (const auto &[job, state] : m_jobTable->jobs()) {
            const StageTask *task = m_jobTable->find({job, 0, 0, 0});
            if (task->stage == TaskStage::Bound && task->lifetime == lifetime)
                rows.push_back({{job, 0, 0, 0}, task->run, {}, 100, 0});
        }
        m_dispatcher->runsReported(lifetime, rows, at(milliseconds));
    }

    /// Ends the lifetime by a crash shortly after the first tasks of `jobs` started. The next
    /// lifetime is born one later.
    void crash(const std::string &node, const std::string &id, std::int64_t born,
               const std::vector<std::string> &jobs, int milliseconds)
    {
        std::vector<TaskRun> recent;
        for (const std::string &job : jobs) {
            const StageTask *task = m_jobTable->find({job, 0, 0, 0});
            recent.push_back({{job, 0, 0, 0}, task == nullptr ? 0 : task->run});
        }
        m_dispatcher->lifetimeEnded({id, born}, LifetimeEnd::Crashed,
                                    LifetimeProof::AnsweredByAnother, recent);
        commit(m_dispatcher->takeCommands(), milliseconds);
        m_dispatcher->workerReported(node, worker(id, born + 1), at(milliseconds));
    }

    /// Ends the first lifetime of the worker by a crash shortly after that task started.
    void crashTask(const std::string &id, const TaskRef &task, int milliseconds)
    {
        m_dispatcher->lifetimeEnded({id, 1}, LifetimeEnd::Crashed, LifetimeProof::AnsweredByAnother,
                                    std::vector<TaskRun>{{task, m_jobTable->find(task)->run}});
        commit(m_dispatcher->takeCommands(), milliseconds);
        m_dispatcher->workerReported("n" + id.substr(1), worker(id, 2), at(milliseconds));
    }

    [[nodiscard]] std::uint32_t crashesOf(const std::string &job) const
    {
        return m_jobTable->find({job, 0, 0, 0})->allCrashes();
    }

    /// Lets a worker crash under a dozen tasks, with ten other workers. All must run again, and
    /// none be given up.
    void assertSuspectsRestart(const JobPlan &tasks)
    {
        constexpr int count = 12;
        constexpr int crashedAt = 100;
        constexpr int limitMs = 3000;
        std::vector<std::string> jobs;
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        for (int i = 0; i < count; ++i) {
            jobs.push_back(fmt::format("j{}", i));
            accept(jobs.back(), tasks);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{count}, decideAndCommit(1));
        addWorkers(11);
        crash("n1", "w1", 1, jobs, crashedAt);
        for (int now = crashedAt; now < crashedAt + limitMs; now += 10) {
            decideAndCommit(now);
            if (now % 500 != 0)
                continue;
            report("w1", 2, now);
            for (int i = 2; i <= 11; ++i)
                report(fmt::format("w{}", i), 1, now);
        }
        for (const std::string &job : jobs) {
            CPPUNIT_ASSERT_EQUAL(1U, crashesOf(job));
            CPPUNIT_ASSERT(TaskStage::Bound == m_jobTable->find({job, 0, 0, 0})->stage);
            CPPUNIT_ASSERT_EQUAL(2U, m_jobTable->find({job, 0, 0, 0})->run);
        }
    }

    static JobPlan longRunningPlan(std::uint32_t tasks, std::int64_t milliCores)
    {
        JobPlan lasting = plan(tasks, milliCores);
        lasting.steps[0].longRunning = true;
        return lasting;
    }

    /// Number of stops ordered since orders were last taken.
    std::size_t stopsOrdered()
    {
        const auto orders = m_dispatcher->takeOrders();
        return static_cast<std::size_t>(
            std::count_if(orders.begin(), orders.end(), [](const auto &order) {
                return std::holds_alternative<StopOrder>(order.second);
            }));
    }

    static StartRun onlyStart(const std::vector<StageCommand> &commands)
    {
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, commands.size());
        return std::get<StartRun>(commands[0]);
    }

    void accept(const std::string &job, const JobPlan &plan, WallMs time = 0)
    {
        const StageCommand command = AcceptJob{job, "batch", plan};
        const StageOutcome outcome = m_jobTable->apply(time, command);
        m_dispatcher->applied(command, outcome, at(0));
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

    void end(const TaskRef &ref, std::uint32_t run, RunEnd how, int milliseconds)
    {
        m_dispatcher->endReported({ref, run, how, {}});
        commit(m_dispatcher->decide(at(milliseconds), milliseconds), milliseconds);
    }

    std::unique_ptr<JobTable> m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherTest);
