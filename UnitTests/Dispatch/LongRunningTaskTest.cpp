#include "DispatcherFixture.h"

using namespace guavashift;

/// Tests of tasks without an end: room that is held for them, and waits that are reported.
class LongRunningTaskTest : public DispatcherFixture
{
    CPPUNIT_TEST_SUITE(LongRunningTaskTest);
    CPPUNIT_TEST(startsLongRunningTasksBeforeJobsThatAreInTime);
    CPPUNIT_TEST(movesNoMoreLongRunningTasksThanMayBeUnavailable);
    CPPUNIT_TEST(restartsLongRunningTaskInTheRoomItHad);
    CPPUNIT_TEST(placesLongRunningTaskAmongSteadyShortTasks);
    CPPUNIT_TEST(holdsFewWorkersForLongRunningTasks);
    CPPUNIT_TEST(heldWorkerKeepsWhatTheWaitingTaskLacks);
    CPPUNIT_TEST(countsWhyNoWorkerTakesAWaitingLongRunningTask);
    CPPUNIT_TEST(namesABoundLongRunningTaskThatIsNotListed);
    CPPUNIT_TEST(waitOfALongRunningTaskSpansRunsThatNeverStarted);
    CPPUNIT_TEST(waitOfALongRunningTaskBeginsWhenItWasLastListed);
    CPPUNIT_TEST(nextLeaderFindsWaitingLongRunningTasks);
    CPPUNIT_TEST(findsNoWaitOfTasksThatNeedNotRun);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongRunningTaskTest);
