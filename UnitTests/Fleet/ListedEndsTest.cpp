#include <UnitTests/Fleet/FleetFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// A worker that lists only some of its ends at a time, in a fleet of real nodes.
class ListedEndsTest : public FleetFixture
{
    CPPUNIT_TEST_SUITE(ListedEndsTest);
    CPPUNIT_TEST(restartedAgentRunsNoEndedTaskAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against tasks that are started again although they are done, because their ends were
    /// not in the first part of the list that a restarted agent read.
    void restartedAgentRunsNoEndedTaskAgain()
    {
        constexpr std::uint32_t tasks = 12;
        for (const auto &worker : m_workers) {
            worker->setEndsPerList(2);
            worker->setTaskTime(std::chrono::seconds(60));
        }
        submit("j", planOf(tasks));
        until([this] { return running() == tasks; });
        for (std::size_t i = 0; i < m_agents.size(); ++i) {
            m_agents[i].reset();
            m_workers[i]->disconnect();
            m_workers[i]->finishAll();
        }
        startAgent(0);
        startAgent(1);
        until([this] { return stateOf("j") == "completed"; });
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(tasks), totalStarts());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ListedEndsTest);
