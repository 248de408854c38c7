#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// A round of decisions for many tasks, which takes long on many workers.
class LongDecisionTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(LongDecisionTest);
    CPPUNIT_TEST(otherWorkIsDoneBetweenTheTasksOfARound);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a replica that returns with an empty disk and does not catch up in time,
    /// because the leader sends it nothing while it places tasks: one block of decisions examined
    /// all workers for each of hundreds of tasks.
    void otherWorkIsDoneBetweenTheTasksOfARound()
    {
        constexpr int workers = 240;
        constexpr std::uint32_t placed = 200;
        JobTable jobTable(JobTableSettings{}, readAny);
        jobTable.apply(0, ReplaceConfiguration{"x"});
        Dispatcher dispatcher(DispatchSettings{}, jobTable);
        dispatcher.start(at(0));
        for (int i = 0; i < workers; ++i)
            dispatcher.workerReported(fmt::format("n{}", i), worker(fmt::format("w{}", i)), at(0));
        const AcceptJob accept{"j", "batch", plan(placed, 1000)};
        dispatcher.applied(accept, jobTable.apply(0, accept), at(0));
        // Each of these waits, and is another step.
        constexpr std::uint32_t waiting = 50;
        for (std::uint32_t i = 0; i < waiting; ++i) {
            const AcceptJob wide{fmt::format("wide{}", i), "batch", plan(1, 1'000'000)};
            dispatcher.applied(wide, jobTable.apply(0, wide), at(0));
        }
        std::uint32_t pauses = 0;
        const std::vector<StageCommand> commands =
            dispatcher.decide(at(1), 1, [&pauses] { ++pauses; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{placed}, commands.size());
        CPPUNIT_ASSERT(pauses >= placed + waiting);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(LongDecisionTest);
