#include "DispatchFixture.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The leader while a report suggests that a lifetime has ended, and nothing proves it.
class UnprovenEndTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(UnprovenEndTest);
    CPPUNIT_TEST(reportOfAnotherWorkerSettlesNothing);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        m_jobTable = std::make_unique<JobTable>(JobTableSettings{}, readAny);
        m_jobTable->apply(0, ReplaceConfiguration{"x"});
        m_dispatcher = std::make_unique<Dispatcher>(DispatchSettings{}, *m_jobTable);
        m_dispatcher->start(at(0));
        m_dispatcher->workerReported("n1", worker("w1"), at(0));
        m_dispatcher->inventoryReported({"w1", 1}, {}, at(0));
        m_dispatcher->workerReported("n2", worker("w2"), at(0));
        m_dispatcher->inventoryReported({"w2", 1}, {}, at(0));
        commit({AcceptJob{"j", "batch", plan(1, 10'000)}}, 0);
        decideAndCommit(1);
        CPPUNIT_ASSERT(TaskStage::Bound == task().stage);
    }

    /// Guards against runs that are started elsewhere while they work: a report of another worker
    /// from their worker's node was taken for the end of their lifetime.
    void reportOfAnotherWorkerSettlesNothing()
    {
        const std::string bound = task().lifetime.worker;
        m_dispatcher->workerReported(bound == "w1" ? "n1" : "n2", worker("w9", 2), at(10));
        assertBoundForTheLease(bound == "w1" ? "n2" : "n1");
    }

private:
    /// Asserts that the run stays bound until its worker's lease is over, and is bound anew then.
    /// The worker on `other` goes on.
    void assertBoundForTheLease(const std::string &other)
    {
        const auto lease = static_cast<int>(toMs(DispatchSettings{}.workerLease));
        for (int now = 100; now <= lease + 2000; now += 100) {
            CPPUNIT_ASSERT(m_dispatcher->leaseGranted(other, at(now)));
            decideAndCommit(now);
            CPPUNIT_ASSERT(now > lease || task().run == 1);
        }
        CPPUNIT_ASSERT_EQUAL(2U, task().run);
    }

    [[nodiscard]] const StageTask &task() const { return *m_jobTable->find({"j", 0, 0, 0}); }

    void commit(const std::vector<StageCommand> &commands, int milliseconds)
    {
        for (const StageCommand &command : commands) {
            const StageOutcome outcome = m_jobTable->apply(0, command);
            m_dispatcher->applied(command, outcome, at(milliseconds));
        }
    }

    void decideAndCommit(int milliseconds)
    {
        commit(m_dispatcher->decide(at(milliseconds), milliseconds), milliseconds);
    }

    std::unique_ptr<JobTable> m_jobTable;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UnprovenEndTest);
