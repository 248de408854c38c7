#include <UnitTests/Fleet/AgentFixture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Ends that a worker has listed when its agent loses the leader, or is told to stop their runs.
class UncommittedEndsTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(UncommittedEndsTest);
    CPPUNIT_TEST(tellsTheNextLeaderOfEndsThatTheWorkerListsNoMore);
    CPPUNIT_TEST(tellsTheNextLeaderOfEndsOfALifetimeThatIsOver);
    CPPUNIT_TEST(sendsNoCommittedEndAgain);
    CPPUNIT_TEST(reportsNoEndedRunThatALateAnswerLists);
    CPPUNIT_TEST(stopsNoRunWhoseEndItHasListed);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a task that is started again although it is done: the leader was lost before
    /// it had committed the end, and the worker did not list it for the next one.
    void tellsTheNextLeaderOfEndsThatTheWorkerListsNoMore()
    {
        listAnEnd();
        loseLeader();
        until([this] {
            m_worker.answerPolls(replyOf(1000));
            return m_leader->all<Inventory>().size() == 2;
        });
        assertSentBeforeTheInventory();
    }

    /// Guards against the same if the worker has restarted meanwhile.
    void tellsTheNextLeaderOfEndsOfALifetimeThatIsOver()
    {
        listAnEnd();
        report(factsOf(2000));
        loseLeader();
        until([this] {
            m_worker.answerPolls(replyOf(2000));
            return m_leader->all<Inventory>().size() == 2;
        });
        assertSentBeforeTheInventory();
    }

    void sendsNoCommittedEndAgain()
    {
        listAnEnd();
        m_leader->sendToAll(EndsCommitted{factsOf(1000).lifetime, 1});
        until([this] {
            m_worker.answerPolls(replyOf(1000));
            return m_worker.polls().back().request.seenUpTo == 1;
        });
        loseLeader();
        until([this] {
            m_worker.answerPolls(replyOf(1000));
            return m_leader->all<Inventory>().size() == 2;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<RunsEnded>().size());
    }

    /// Guards against a task that is started again although it is done, because an answer from
    /// before its end arrived after that which lists the end.
    void reportsNoEndedRunThatALateAnswerLists()
    {
        listAnEnd();
        WorkerReply late = replyOf(1000);
        late.running.push_back({task, 1, {}, 100, 0});
        const std::size_t before = m_worker.polls().size();
        until([this] { return static_cast<bool>(m_worker.polls().back().callback); });
        m_worker.polls().back().answer(late);
        until([&] {
            m_worker.answerPolls(replyOf(1000));
            return m_worker.polls().size() > before + 4;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_leader->all<RunsEnded>().size());
    }

    /// Guards against a worker that gets no new runs for a while because the leader, which did not
    /// know of the end yet, had a run stopped that was gone.
    void stopsNoRunWhoseEndItHasListed()
    {
        listAnEnd();
        const Lifetime lifetime = factsOf(1000).lifetime;
        m_leader->sendToAll(StopOrder{lifetime, task, 1});
        // The orders arrive in turn.
        m_leader->sendToAll(StopOrder{lifetime, task, 2});
        until([this] {
            m_worker.answerPolls(replyOf(1000));
            return !m_worker.stops().empty();
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_worker.stops().size());
        CPPUNIT_ASSERT(m_leader->all<StartRefused>().empty());
    }

private:
    /// Has the first lifetime list an end, which the leader is told.
    void listAnEnd()
    {
        report(factsOf(1000));
        WorkerReply reply = replyOf(1000);
        reply.ended.push_back({1, {task, 1, RunEnd::Done, {}}});
        m_worker.answerPolls(reply);
        until([this] {
            return !m_leader->all<RunsEnded>().empty() && !m_leader->all<Inventory>().empty();
        });
    }

    void loseLeader()
    {
        const std::size_t sessions = m_leader->all<OpenSession>().size();
        m_leader->disconnect();
        until([&] { return m_leader->all<OpenSession>().size() > sessions; });
    }

    void assertSentBeforeTheInventory()
    {
        std::size_t sentAt = 0;
        std::size_t inventoryAt = 0;
        for (std::size_t i = 0; i < m_leader->messages().size(); ++i) {
            const FleetMessage &message = m_leader->messages()[i];
            if (const auto *ended = std::get_if<RunsEnded>(&message)) {
                CPPUNIT_ASSERT(ended->lifetime == factsOf(1000).lifetime);
                CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended->ends.size());
                CPPUNIT_ASSERT(ended->ends.front().end.task == task);
                sentAt = i;
            } else if (std::holds_alternative<Inventory>(message)) {
                inventoryAt = i;
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, m_leader->all<RunsEnded>().size());
        CPPUNIT_ASSERT(sentAt < inventoryAt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UncommittedEndsTest);
