#include <UnitTests/Fleet/AgentFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// The agent of a worker whose list of ends is not complete.
class PartialListTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(PartialListTest);
    CPPUNIT_TEST(sendsNoInventoryBeforeAllEndsAreListed);
    CPPUNIT_TEST(givesUpNoStartBeforeAllEndsAreListed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against an inventory that lacks runs whose ends are only listed later.
    void sendsNoInventoryBeforeAllEndsAreListed()
    {
        report(factsOf(1000));
        m_worker.answerPolls(listing(1, false));
        until([this] { return m_leader->all<RunsEnded>().size() == 1; });
        m_leader->sendToAll(EndsCommitted{factsOf(1000).lifetime, 1});
        until([this] { return m_worker.polls().back().request.seenUpTo == 1; });
        CPPUNIT_ASSERT(m_leader->all<Inventory>().empty());
        m_worker.answerPolls(listing(2, true));
        until([this] { return !m_leader->all<Inventory>().empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_leader->all<RunsEnded>().size());
    }

    /// Guards against a start without an answer that is taken for one that never arrived, although
    /// the end of its run is only listed later.
    void givesUpNoStartBeforeAllEndsAreListed()
    {
        startOn(factsOf(1000));
        const std::uint64_t fence = m_worker.starts().back().request.fence;
        m_worker.starts().back().answer(WorkerReply{});
        until([&] { return m_worker.polls().back().request.fence > fence; });
        m_worker.answerPolls(listing(2, false));
        until([this] { return m_leader->all<RunsEnded>().size() == 1; });
        m_leader->sendToAll(EndsCommitted{factsOf(1000).lifetime, 2});
        until([this] { return m_worker.polls().back().request.seenUpTo == 2; });
        CPPUNIT_ASSERT(m_leader->all<StartRefused>().empty());
        m_worker.answerPolls(listing(3, true));
        until([this] { return !m_leader->all<StartRefused>().empty(); });
    }

private:
    /// The answer to a poll that lists one end, of a task with the same number.
    static WorkerReply listing(std::uint32_t number, bool isComplete)
    {
        WorkerReply reply = replyOf(1000);
        reply.listsAllEnds = isComplete;
        reply.ended.push_back({number, {{"j", 0, 0, number}, 1, RunEnd::Done, {}}});
        return reply;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PartialListTest);
