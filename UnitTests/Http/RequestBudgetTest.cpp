#include <Guavashift/Http/RequestBudget.h>

#include <cppunit/extensions/HelperMacros.h>
#include <set>

using namespace guavashift;

namespace {

constexpr std::size_t kib = 1024;
constexpr RequestBudget::ConnectionId ordinary = 1'000'000;

Instant at(std::int64_t ms)
{
    return Instant{} + std::chrono::hours(1) + std::chrono::milliseconds(ms);
}

RequestBudgetSettings smallBudget()
{
    RequestBudgetSettings settings;
    settings.bytes = 1024 * kib;
    settings.connections = 20;
    settings.bodyTimeout = std::chrono::seconds(10);
    return settings;
}

} // namespace

/// Which connections are cut when clients make a server hold too much.
class RequestBudgetTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RequestBudgetTest);
    CPPUNIT_TEST(bodiesThatStopShortAreCutBeforeAnOrdinaryRequest);
    CPPUNIT_TEST(stalledBodyGoesBeforeALargerOneThatArrives);
    CPPUNIT_TEST(trickledBodyIsCutAfterItsWholeTime);
    CPPUNIT_TEST(unreadAnswersAreCutAndHandledRequestsAreNot);
    CPPUNIT_TEST(requestsWhoseAnswersHaveNoRoomAreRefused);
    CPPUNIT_TEST(requestThatIsAloneIsServedBeyondTheBudget);
    CPPUNIT_TEST(silentConnectionsMakeRoomForANewOne);
    CPPUNIT_TEST(memoryOfCutConnectionsCountsUntilItIsGivenBack);
    CPPUNIT_TEST(heldBytesReturnToZeroAfterAnyCourse);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The load: many clients send nearly all of a large body and stop.
    void bodiesThatStopShortAreCutBeforeAnOrdinaryRequest()
    {
        RequestBudget budget(smallBudget());
        for (RequestBudget::ConnectionId id = 1; id <= 10; ++id) {
            budget.opened(id, at(0));
            budget.received(id, 100 * kib, at(0));
        }
        CPPUNIT_ASSERT(!budget.nextCut(at(0)));
        budget.opened(ordinary, at(1000));
        budget.received(ordinary, 20 * kib, at(1000));
        CPPUNIT_ASSERT(budget.handle(ordinary, at(1000)));
        const auto cut = budget.nextCut(at(1000));
        CPPUNIT_ASSERT(cut);
        CPPUNIT_ASSERT(cut->connection != ordinary);
        CPPUNIT_ASSERT(cut->receiving);
        CPPUNIT_ASSERT(cut->reason == CutReason::Memory);
        CPPUNIT_ASSERT(!budget.nextCut(at(1000)));
    }

    void stalledBodyGoesBeforeALargerOneThatArrives()
    {
        RequestBudget budget(smallBudget());
        budget.opened(1, at(0));
        budget.opened(2, at(0));
        budget.received(1, 300 * kib, at(0));
        budget.received(2, 800 * kib, at(2000));
        const auto cut = budget.nextCut(at(2001));
        CPPUNIT_ASSERT(cut);
        CPPUNIT_ASSERT_EQUAL(RequestBudget::ConnectionId{1}, cut->connection);
    }

    /// The load: a body that arrives byte by byte makes progress all the time.
    void trickledBodyIsCutAfterItsWholeTime()
    {
        RequestBudget budget(smallBudget());
        budget.opened(1, at(0));
        for (std::int64_t ms = 0; ms <= 10'000; ms += 100) {
            budget.received(1, 1, at(ms));
            CPPUNIT_ASSERT(!budget.nextCut(at(ms)));
        }
        budget.received(1, 1, at(11'000));
        const auto cut = budget.nextCut(at(11'000));
        CPPUNIT_ASSERT(cut);
        CPPUNIT_ASSERT(cut->reason == CutReason::Slow);
    }

    /// The load: clients ask for large answers and read none. A handled request may have run, so
    /// its caller gets the answer.
    void unreadAnswersAreCutAndHandledRequestsAreNot()
    {
        RequestBudget budget(smallBudget());
        for (RequestBudget::ConnectionId id = 1; id <= 4; ++id) {
            budget.opened(id, at(0));
            budget.received(id, 200 * kib, at(0));
            CPPUNIT_ASSERT(budget.handle(id, at(0)));
        }
        budget.answered(4, 200 * kib, at(0));
        budget.opened(5, at(100));
        budget.received(5, 500 * kib, at(100));
        const auto cut = budget.nextCut(at(5000));
        CPPUNIT_ASSERT(cut);
        const auto next = budget.nextCut(at(5000));
        const std::set<RequestBudget::ConnectionId> cuts{cut->connection,
                                                         next ? next->connection : 4};
        CPPUNIT_ASSERT(!cuts.contains(1) && !cuts.contains(2) && !cuts.contains(3));
    }

    /// The load: many requests at once, each with a large answer, which are all handled before the
    /// first answer is taken.
    void requestsWhoseAnswersHaveNoRoomAreRefused()
    {
        RequestBudget budget(smallBudget());
        budget.opened(1, at(0));
        budget.received(1, 0, at(0));
        CPPUNIT_ASSERT(budget.handle(1, at(0)));
        budget.answered(1, 300 * kib, at(0));
        budget.finished(1, at(1));
        std::size_t handled = 0;
        for (RequestBudget::ConnectionId id = 2; id <= 12; ++id) {
            budget.opened(id, at(2));
            budget.received(id, 0, at(2));
            handled += budget.handle(id, at(2)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, handled);
        CPPUNIT_ASSERT(budget.heldBytes() <= smallBudget().bytes);
    }

    void requestThatIsAloneIsServedBeyondTheBudget()
    {
        RequestBudget budget(smallBudget());
        budget.opened(1, at(0));
        budget.received(1, 4096 * kib, at(0));
        CPPUNIT_ASSERT(!budget.nextCut(at(0)));
        CPPUNIT_ASSERT(budget.handle(1, at(0)));
    }

    /// The load: connections that send nothing.
    void silentConnectionsMakeRoomForANewOne()
    {
        RequestBudget budget(smallBudget());
        for (RequestBudget::ConnectionId id = 1; id <= 20; ++id) {
            budget.opened(id, at(static_cast<std::int64_t>(id)));
            CPPUNIT_ASSERT(!budget.nextCut(at(20)));
        }
        budget.opened(ordinary, at(100));
        const auto cut = budget.nextCut(at(100));
        CPPUNIT_ASSERT(cut);
        CPPUNIT_ASSERT_EQUAL(RequestBudget::ConnectionId{1}, cut->connection);
        CPPUNIT_ASSERT(cut->reason == CutReason::Connections);
        CPPUNIT_ASSERT(!budget.nextCut(at(100)));
    }

    void memoryOfCutConnectionsCountsUntilItIsGivenBack()
    {
        RequestBudget budget(smallBudget());
        budget.opened(1, at(0));
        budget.received(1, 0, at(0));
        CPPUNIT_ASSERT(budget.handle(1, at(0)));
        budget.answered(1, 900 * kib, at(0));
        budget.opened(2, at(0));
        budget.received(2, 900 * kib, at(1));
        const auto cut = budget.nextCut(at(1000));
        CPPUNIT_ASSERT(cut);
        CPPUNIT_ASSERT_EQUAL(RequestBudget::ConnectionId{1}, cut->connection);
        CPPUNIT_ASSERT(!budget.handle(2, at(1000)));
        budget.closed(1);
        CPPUNIT_ASSERT(budget.handle(2, at(1000)));
    }

    void heldBytesReturnToZeroAfterAnyCourse()
    {
        RequestBudget budget(smallBudget());
        for (RequestBudget::ConnectionId id = 1; id <= 40; ++id) {
            const auto ms = static_cast<std::int64_t>(id);
            budget.opened(id, at(ms));
            budget.received(id, id * 10 * kib, at(ms));
            if (id % 3 == 0 && budget.handle(id, at(ms)))
                budget.answered(id, id * kib, at(ms));
            while (const auto cut = budget.nextCut(at(ms))) {
                if (cut->receiving)
                    budget.released(cut->connection);
            }
            CPPUNIT_ASSERT(budget.heldBytes() <= smallBudget().bytes);
        }
        for (RequestBudget::ConnectionId id = 1; id <= 40; ++id)
            budget.closed(id);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.heldBytes());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, budget.openConnections());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestBudgetTest);
