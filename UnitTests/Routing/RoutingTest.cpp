#include <Guavashift/Routing/Routing.h>

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace guavashift;

namespace {

const ServiceId quotes{"quotes"};

RoutingUpdate tableOf(std::size_t workers, std::uint64_t version = 1)
{
    RoutingUpdate update;
    update.version = version;
    update.complete = true;
    for (std::size_t i = 0; i < workers; ++i) {
        WorkerRoute entry;
        entry.worker.value = "w" + std::to_string(i);
        entry.incarnation.value = "i1";
        entry.backends.push_back({quotes, TaskId{"b" + std::to_string(i)}, 8, false});
        update.workers.push_back(std::move(entry));
    }
    return update;
}

WorkerId chosen(Router &router, Instant now, std::span<const WorkerId> excluded = {})
{
    const RouteChoice choice = router.choose(quotes, now, excluded);
    return std::holds_alternative<RouteTarget>(choice) ? std::get<RouteTarget>(choice).worker
                                                       : WorkerId();
}

} // namespace

/// Decisions about a single request.
class RoutingTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTest);
    CPPUNIT_TEST(neverRepeatsWhatMayHaveRun);
    CPPUNIT_TEST(saysNotRunOnlyWhenCertain);
    CPPUNIT_TEST(keepsToTheLimitOfEachWorker);
    CPPUNIT_TEST(avoidsASlowWorker);
    CPPUNIT_TEST(triesASlowWorkerAgain);
    CPPUNIT_TEST(ejectsAndProbesAFailingWorker);
    CPPUNIT_TEST(leavingBackendGetsNothing);
    CPPUNIT_TEST(budgetLimitsRetries);
    CPPUNIT_TEST(refusesToQueueRequestsThatWouldBeLate);
    CPPUNIT_TEST(quantilesOfLatencies);
    CPPUNIT_TEST_SUITE_END();

public:
    void neverRepeatsWhatMayHaveRun()
    {
        CPPUNIT_ASSERT(
            rc::check("what may have run is not repeated elsewhere, or reported as not run", [] {
                const RequestTraits traits{*rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>(),
                                           *rc::gen::arbitrary<bool>()};
                const RetryAllowance allowance{*rc::gen::arbitrary<bool>(),
                                               *rc::gen::arbitrary<bool>(),
                                               *rc::gen::arbitrary<bool>()};
                const std::vector<DispatchEvent> uncertain{ContactLost{}, RunUnknown{},
                                                           StillRunning{}, RanToCompletion{},
                                                           RevokeUnanswered{}};
                const auto event = uncertain[*rc::gen::inRange<std::size_t>(0, uncertain.size())];
                const RequestAction action = decideNext(traits, event, allowance);
                if (!traits.idempotent || traits.exclusive)
                    RC_ASSERT(action != RequestAction::RetryElsewhere);
                RC_ASSERT(action != RequestAction::AnswerNotRun);
            }));
    }

    void saysNotRunOnlyWhenCertain()
    {
        const RequestTraits order{false, false, false};
        const RetryAllowance none{false, false, false};
        CPPUNIT_ASSERT(decideNext(order, CertainlyNotRun{}, none) == RequestAction::AnswerNotRun);
        CPPUNIT_ASSERT(decideNext(order, RevokedAtAgent{}, none) == RequestAction::AnswerNotRun);
        CPPUNIT_ASSERT(decideNext(order, ContactLost{}, none) == RequestAction::Revoke);
        CPPUNIT_ASSERT(decideNext(order, RevokeUnanswered{}, {}) == RequestAction::AnswerUnknown);
        CPPUNIT_ASSERT(decideNext({false, false, true}, RanToCompletion{}, {})
                       == RequestAction::Rejoin);
    }

    void keepsToTheLimitOfEachWorker()
    {
        Router router({}, 1);
        router.update(tableOf(2));
        std::map<WorkerId, int> inFlight;
        for (int i = 0; i < 100; ++i) {
            const WorkerId worker = chosen(router, Instant());
            if (worker.isEmpty())
                break;
            router.requestStarted(worker);
            ++inFlight[worker];
        }
        for (const auto &[worker, count] : inFlight)
            CPPUNIT_ASSERT_EQUAL(12, count);
        CPPUNIT_ASSERT(std::holds_alternative<AllBusy>(router.choose(quotes, Instant(), {})));
        // Several entries share the connections of an agent.
        RoutingUpdate shared = tableOf(2, 2);
        shared.entries = 40;
        router.update(shared);
        CPPUNIT_ASSERT_EQUAL(std::uint32_t(2), router.capacityOf(quotes));
    }

    void avoidsASlowWorker()
    {
        const auto shareOfSlow = [](bool twoChoices) {
            RouterSettings settings;
            settings.twoChoices = twoChoices;
            Router router(settings, 1);
            router.update(tableOf(4));
            int slow = 0;
            for (int i = 0; i < 4000; ++i) {
                const WorkerId worker = chosen(router, Instant());
                const bool isSlow = worker.value == "w0";
                slow += isSlow ? 1 : 0;
                router.requestStarted(worker);
                router.requestFinished(worker, DispatchResult::Succeeded,
                                       std::chrono::milliseconds(isSlow ? 50 : 5), Instant());
            }
            return slow / 40.0;
        };
        CPPUNIT_ASSERT(shareOfSlow(true) < 2);
        CPPUNIT_ASSERT(shareOfSlow(false) > 20);
    }

    void triesASlowWorkerAgain()
    {
        Router router({}, 1);
        router.update(tableOf(2));
        Instant now(std::chrono::seconds(10));
        const auto finish = [&](const char *worker, int milliseconds) {
            for (int i = 0; i < 50; ++i) {
                router.requestStarted(WorkerId{worker});
                router.requestFinished(WorkerId{worker}, DispatchResult::Succeeded,
                                       std::chrono::milliseconds(milliseconds), now);
            }
        };
        finish("w0", 40);
        finish("w1", 5);
        CPPUNIT_ASSERT_EQUAL(std::string("w1"), chosen(router, now).value);
        // Four half-lives later the old latency has lost its weight.
        now += std::chrono::seconds(20);
        finish("w1", 5);
        CPPUNIT_ASSERT_EQUAL(std::string("w0"), chosen(router, now).value);
    }

    void ejectsAndProbesAFailingWorker()
    {
        Router router({}, 1);
        router.update(tableOf(2));
        const WorkerId failing{"w0"};
        Instant now(std::chrono::seconds(10));
        for (int i = 0; i < 5; ++i) {
            router.requestStarted(failing);
            router.requestFinished(failing, DispatchResult::Failed, {}, now);
        }
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(chosen(router, now).value != "w0");
        // After a while it is probed with one request at a time.
        now += std::chrono::seconds(2);
        bool probed = false;
        for (int i = 0; i < 50 && !probed; ++i)
            probed = chosen(router, now).value == "w0";
        CPPUNIT_ASSERT(probed);
        router.requestStarted(failing);
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(chosen(router, now).value != "w0");
        router.requestFinished(failing, DispatchResult::Succeeded, std::chrono::milliseconds(1),
                               now);
        CPPUNIT_ASSERT(!chosen(router, now, std::vector{WorkerId{"w1"}}).isEmpty());
    }

    void leavingBackendGetsNothing()
    {
        Router router({}, 1);
        RoutingUpdate update = tableOf(2);
        update.workers[0].backends[0].leaving = true;
        router.update(update);
        for (int i = 0; i < 50; ++i)
            CPPUNIT_ASSERT(chosen(router, Instant()).value == "w1");
        update.workers[1].usable = false;
        router.update(update);
        CPPUNIT_ASSERT(std::holds_alternative<NoBackend>(router.choose(quotes, Instant(), {})));
    }

    void budgetLimitsRetries()
    {
        RetryBudget budget(10, 20);
        int retries = 0;
        for (int i = 0; i < 10'000; ++i) {
            budget.requestArrived();
            retries += budget.take() ? 1 : 0;
        }
        CPPUNIT_ASSERT(retries <= 1'020);
        CPPUNIT_ASSERT(retries >= 990);
    }

    void refusesToQueueRequestsThatWouldBeLate()
    {
        QueueAdmission queue;
        const Duration typical = std::chrono::milliseconds(10);
        CPPUNIT_ASSERT(queue.admit(std::chrono::milliseconds(100), typical, 8, 10));
        CPPUNIT_ASSERT(!queue.admit(std::chrono::milliseconds(5), typical, 8, 10));
        for (int i = 0; i < 9; ++i)
            queue.enqueued();
        CPPUNIT_ASSERT(queue.admit(std::chrono::seconds(1), typical, 8, 10));
        queue.enqueued();
        CPPUNIT_ASSERT(!queue.admit(std::chrono::seconds(1), typical, 8, 10));
    }

    void quantilesOfLatencies()
    {
        LatencyWindow window;
        CPPUNIT_ASSERT(!window.quantile(95));
        for (int i = 1; i <= 100; ++i)
            window.add(std::chrono::milliseconds(i));
        CPPUNIT_ASSERT(*window.quantile(95) == std::chrono::milliseconds(95));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTest);
