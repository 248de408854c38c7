#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// A worker that restarts under its name behind a silent path, in a fleet of real nodes.
class NextLifetimeTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(NextLifetimeTest);
    CPPUNIT_TEST(runsNoTaskAgainWhoseEndWasAcknowledgedForTheLifetimeBefore);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against tasks that are started again although they are done: the worker had forgotten
    /// their ends because of an acknowledgement for its lifetime before, and the leader was lost.
    void runsNoTaskAgainWhoseEndWasAcknowledgedForTheLifetimeBefore()
    {
        constexpr std::uint32_t tasks = 12;
        for (const auto &worker : m_workers)
            worker->setKeepsAcknowledgements(true);
        submit("first", planOf(tasks));
        until([this] { return stateOf("first") == "completed" && listed() == 0; });
        for (std::size_t i = 0; i < m_workers.size(); ++i) {
            m_workers[i]->restart();
            m_workers[i]->setTaskTime(std::chrono::seconds(60));
        }
        runUntil([] { return false; }, std::chrono::milliseconds(1500));
        for (std::size_t i = 0; i < m_workers.size(); ++i)
            m_agents[i]->node->workerReported({m_workers[i]->facts(), 1, {}});
        submit("second", planOf(tasks));
        until([this] { return running() == tasks; });
        stopLeader();
        for (const auto &worker : m_workers)
            worker->finishAll();
        until([this] { return stateOf("second") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(2 * tasks), totalStarts());
    }

private:
    [[nodiscard]] std::size_t listed() const
    {
        return m_workers[0]->listed() + m_workers[1]->listed();
    }

    void stopLeader()
    {
        for (auto &core : m_cores) {
            if (core->node->leads()) {
                core.reset();
                return;
            }
        }
        CPPUNIT_FAIL("no control process leads");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(NextLifetimeTest);
