#include <Guavashift/Entry/RoutingTable.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

const ServiceId quotes{"quotes"};

RoutingUpdate twoWorkers()
{
    RoutingUpdate update;
    update.version = 1;
    update.complete = true;
    for (const char *name : {"w0", "w1"}) {
        WorkerRoute entry;
        entry.worker.value = name;
        entry.backends.push_back({quotes, TaskId{name}, 1, false});
        update.workers.push_back(std::move(entry));
    }
    return update;
}

} // namespace

/// Tests waiting for a backend server, and acquiring one without waiting for a hedge.
class RoutingTableTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoutingTableTest);
    CPPUNIT_TEST(findsASecondWorkerForAHedge);
    CPPUNIT_TEST(refusesWhenAllStayBusy);
    CPPUNIT_TEST(refusesAServiceThatNoneOffers);
    CPPUNIT_TEST_SUITE_END();

public:
    void findsASecondWorkerForAHedge()
    {
        RoutingTable table({}, 1);
        table.update(twoWorkers());
        const auto first =
            table.acquire(quotes, BootClock::now() + std::chrono::seconds(5), 10, {});
        CPPUNIT_ASSERT(first.has_value());
        const std::optional<RouteTarget> second =
            table.tryAcquire(quotes, std::span(&first->worker, 1));
        CPPUNIT_ASSERT(second.has_value());
        CPPUNIT_ASSERT(second->worker != first->worker);
    }

    void refusesWhenAllStayBusy()
    {
        RouterSettings settings;
        settings.slotOversubscription = 1;
        RoutingTable table(settings, 1);
        table.update(twoWorkers());
        CPPUNIT_ASSERT(table.tryAcquire(quotes, {}).has_value());
        CPPUNIT_ASSERT(table.tryAcquire(quotes, {}).has_value());
        CPPUNIT_ASSERT(!table.tryAcquire(quotes, {}));
        const auto late =
            table.acquire(quotes, BootClock::now() + std::chrono::milliseconds(20), 10, {});
        CPPUNIT_ASSERT(late.error() == RoutingTable::Refusal::DeadlineExceeded);
        const auto full = table.acquire(quotes, BootClock::now() + std::chrono::seconds(5), 0, {});
        CPPUNIT_ASSERT(full.error() == RoutingTable::Refusal::Overloaded);
    }

    void refusesAServiceThatNoneOffers()
    {
        RoutingTable table({}, 1);
        table.update(twoWorkers());
        const auto none =
            table.acquire(ServiceId{"orders"}, BootClock::now() + std::chrono::seconds(1), 10, {});
        CPPUNIT_ASSERT(none.error() == RoutingTable::Refusal::NoBackend);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoutingTableTest);
