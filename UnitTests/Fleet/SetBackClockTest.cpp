#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Workers that restart under their names while their clocks are set back, in a fleet of real
/// nodes.
class SetBackClockTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(SetBackClockTest);
    CPPUNIT_TEST(usesLifetimesThatWereBornBeforeTheOneBefore);
    CPPUNIT_TEST(endsNoLifetimeByALateReportThatWasBornLater);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against workers that get no work, and tasks that run twice, because the next lifetime
    /// of a worker looks like an earlier one.
    void usesLifetimesThatWereBornBeforeTheOneBefore()
    {
        constexpr int restarts = 3;
        constexpr std::uint32_t tasks = 8;
        for (int i = 0; i < restarts; ++i) {
            for (const auto &worker : m_workers)
                worker->setTaskTime(std::chrono::seconds(60));
            const std::string job = fmt::format("j{}", i);
            submit(job, planOf(tasks));
            until([this] { return running() == tasks; });
            restartAll(-10);
            // The runs of the lifetimes that ended start again.
            until([this] { return running() == tasks; });
            for (const auto &worker : m_workers)
                worker->finishAll();
            until([&] { return stateOf(job) == "completed"; });
        }
        assertNoDuplicates();
    }

    /// Guards against runs that are started elsewhere while they work: a report of the lifetime
    /// before arrives late, and names a later birth.
    void endsNoLifetimeByALateReportThatWasBornLater()
    {
        constexpr std::uint32_t tasks = 8;
        std::vector<WorkerFacts> earlier;
        for (const auto &worker : m_workers)
            earlier.push_back(worker->facts());
        restartAll(-10);
        for (const auto &worker : m_workers)
            worker->setTaskTime(std::chrono::seconds(60));
        submit("j", planOf(tasks));
        until([this] { return running() == tasks; });
        for (std::size_t i = 0; i < m_workers.size(); ++i)
            m_agents[i]->node->workerReported({earlier[i], 900, {}});
        runUntil([] { return false; }, std::chrono::milliseconds(1500));
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(tasks), totalStarts());
        for (const auto &worker : m_workers)
            worker->finishAll();
        until([this] { return stateOf("j") == "completed"; });
        assertNoDuplicates();
    }

private:
    /// Restarts all workers, which report at once, with births that lie `step` after the last.
    void restartAll(std::int64_t step)
    {
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            m_workers[i]->setBirthStep(step);
            m_workers[i]->restart();
            m_agents[i]->node->workerReported({m_workers[i]->facts(), 1, {}});
        }
    }

    void assertNoDuplicates()
    {
        for (const auto &worker : m_workers)
            CPPUNIT_ASSERT(!worker->sawDuplicateRun());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SetBackClockTest);
