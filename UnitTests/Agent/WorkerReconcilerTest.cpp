#include <Guavashift/Agent/Agent.h>
#include <Guavashift/Control/Control.h>
#include <StandIns/PlatformStandIn.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

const WorkerId worker{"w1"};

TaskOrder orderOf(Attempt attempt, bool run = true)
{
    TaskOrder order;
    order.task.value = "makers/cut/0";
    order.attempt = attempt;
    order.run = run;
    order.runtimeMs = 10'000;
    return order;
}

Instant at(int seconds)
{
    return Instant(std::chrono::seconds(seconds));
}

/// Results of a start call that arrives late.
struct LateStart
{
    std::size_t overlaps = 0;
    std::size_t refused = 0;
};

/// Freezes an agent for `frozenSeconds` between its lease check and its start call. The lease ends
/// after 3 s. If the call arrives after more than 4 s, the next attempt already runs on another
/// worker.
LateStart startAfterFreeze(const PlatformStandInSettings &settings, int frozenSeconds)
{
    RecordFile record("");
    PlatformStandIn first(settings, record);
    PlatformStandIn second(settings, record);
    const Instant leaseEnd = at(103);
    // The agent's own check passed at 100 s; the call arrives later.
    const Instant arrival = at(100 + frozenSeconds);
    LateStart result;
    const bool movedOn = arrival > at(104);
    if (movedOn)
        (void)second.start(orderOf(2), at(200), at(104));
    result.refused = first.start(orderOf(1), leaseEnd, arrival) ? 0 : 1;
    result.overlaps = movedOn && result.refused == 0 ? 1 : 0;
    return result;
}

} // namespace

/// Tests the reconciler, and the platform's own checks of leases and attempts.
class WorkerReconcilerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(WorkerReconcilerTest);
    CPPUNIT_TEST(startsOrderedTasks);
    CPPUNIT_TEST(startsNothingWithoutLeaseOrOrders);
    CPPUNIT_TEST(fencesAnAttemptBeforeReportingItsEnd);
    CPPUNIT_TEST(stopsTasksThatAreNotOrdered);
    CPPUNIT_TEST(reportsCompletion);
    CPPUNIT_TEST(platformRefusesOldAttempts);
    CPPUNIT_TEST(platformStopsTasksAtTheEndOfTheLease);
    CPPUNIT_TEST(frozenAgentOverlapsOnlyWithoutTheLeaseCheck);
    CPPUNIT_TEST(repeatedStartRunsTwiceOnlyWithoutTheAttemptCheck);
    CPPUNIT_TEST_SUITE_END();

public:
    void startsOrderedTasks()
    {
        WorkerReconciler reconciler(worker);
        const auto plan = reconciler.reconcile({1, {orderOf(1)}}, {"boot", {}}, true, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), plan.actions.size());
        CPPUNIT_ASSERT(std::holds_alternative<StartOnPlatform>(plan.actions[0]));
    }

    void startsNothingWithoutLeaseOrOrders()
    {
        WorkerReconciler reconciler(worker);
        CPPUNIT_ASSERT(
            reconciler.reconcile({1, {orderOf(1)}}, {"boot", {}}, true, false).actions.empty());
        // An agent that has just started has no orders yet and must not stop running tasks.
        const PlatformStatus status{"boot", {running(1)}};
        CPPUNIT_ASSERT(reconciler.reconcile({}, status, false, true).actions.empty());
    }

    void fencesAnAttemptBeforeReportingItsEnd()
    {
        WorkerReconciler reconciler(worker);
        const WorkerOrders orders{2, {orderOf(1, false)}};
        auto plan = reconciler.reconcile(orders, {"boot", {}}, true, true);
        CPPUNIT_ASSERT(plan.reports.empty());
        CPPUNIT_ASSERT(std::holds_alternative<StopOnPlatform>(plan.actions.at(0)));
        reconciler.stopConfirmed(TaskId{"makers/cut/0"}, 1);
        plan = reconciler.reconcile(orders, {"boot", {}}, true, true);
        CPPUNIT_ASSERT(plan.reports.at(0).event == AttemptEvent::Stopped);
    }

    void stopsTasksThatAreNotOrdered()
    {
        WorkerReconciler reconciler(worker);
        const PlatformStatus status{"boot", {running(1)}};
        const auto plan = reconciler.reconcile({3, {orderOf(2)}}, status, true, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), plan.actions.size());
        CPPUNIT_ASSERT(std::holds_alternative<StopOnPlatform>(plan.actions[1]));
    }

    void reportsCompletion()
    {
        WorkerReconciler reconciler(worker);
        PlatformTask task = running(1);
        task.state = PlatformTaskState::Completed;
        task.doneMs = 10'000;
        const auto plan = reconciler.reconcile({1, {orderOf(1)}}, {"boot", {task}}, true, true);
        CPPUNIT_ASSERT(plan.reports.at(0).event == AttemptEvent::Completed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(10'000), plan.reports.at(0).doneMs);
    }

    void platformRefusesOldAttempts()
    {
        RecordFile record("");
        PlatformStandIn platform({}, record);
        platform.stop(TaskId{"makers/cut/0"}, 3, at(1));
        CPPUNIT_ASSERT(!platform.start(orderOf(3), at(10), at(2)));
        CPPUNIT_ASSERT(platform.start(orderOf(4), at(10), at(2)).has_value());
    }

    void platformStopsTasksAtTheEndOfTheLease()
    {
        RecordFile record("");
        PlatformStandIn platform({}, record);
        CPPUNIT_ASSERT(platform.start(orderOf(1), at(3), at(1)).has_value());
        platform.advance(at(4));
        const PlatformStatus status = platform.renew(at(9), at(5));
        CPPUNIT_ASSERT(status.tasks.at(0).state == PlatformTaskState::Stopped);
    }

    void frozenAgentOverlapsOnlyWithoutTheLeaseCheck()
    {
        std::size_t with = 0;
        std::size_t without = 0;
        PlatformStandInSettings unchecked;
        unchecked.checkLease = false;
        for (int frozen = 0; frozen < 60; ++frozen) {
            with += startAfterFreeze({}, frozen).overlaps;
            without += startAfterFreeze(unchecked, frozen).overlaps;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), with);
        CPPUNIT_ASSERT_EQUAL(std::size_t(55), without);
    }

    void repeatedStartRunsTwiceOnlyWithoutTheAttemptCheck()
    {
        // The answer to the start call was lost, and a copy of the call arrives after the task has
        // ended.
        const auto secondStart = [](bool checkAttempt) {
            RecordFile record("");
            PlatformStandInSettings settings;
            settings.checkAttempt = checkAttempt;
            PlatformStandIn platform(settings, record);
            CPPUNIT_ASSERT(platform.start(orderOf(1), at(100), at(1)).has_value());
            platform.stop(TaskId{"makers/cut/0"}, 1, at(2));
            platform.forget(TaskId{"makers/cut/0"}, 1);
            return platform.start(orderOf(1), at(100), at(3)).has_value();
        };
        CPPUNIT_ASSERT(!secondStart(true));
        CPPUNIT_ASSERT(secondStart(false));
    }

private:
    static PlatformTask running(Attempt attempt)
    {
        PlatformTask task;
        task.task.value = "makers/cut/0";
        task.attempt = attempt;
        return task;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkerReconcilerTest);
