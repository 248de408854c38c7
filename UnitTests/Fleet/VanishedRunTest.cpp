#include <UnitTests/Fleet/AgentFixture.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Runs that a worker's lists no longer name.
class VanishedRunTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(VanishedRunTest);
    CPPUNIT_TEST(keepsRunThatAPollFromBeforeItsStartDoesNotList);
    CPPUNIT_TEST(forgetsRunThatALaterPollDoesNotList);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a run that loses its traits: a waiting poll listed it, and then a shorter
    /// one was answered that was sent later, but carried out before the start.
    void keepsRunThatAPollFromBeforeItsStartDoesNotList()
    {
        const test::LogCapture log;
        const std::size_t waiting = listWhileAPollWaits();
        m_worker.polls()[waiting + 1].answer(replyOf(1000));
        CPPUNIT_ASSERT(log.text().find("run-vanished") == std::string::npos);
    }

    void forgetsRunThatALaterPollDoesNotList()
    {
        const test::LogCapture log;
        const std::size_t waiting = listWhileAPollWaits();
        m_worker.polls()[waiting + 1].answer(listing());
        until([&] { return m_worker.polls().size() > waiting + 2; });
        last().answer(replyOf(1000));
        CPPUNIT_ASSERT(log.text().find("event=run-vanished") != std::string::npos);
    }

private:
    HeldWorker::Call<PollRequest> &last() { return m_worker.polls().back(); }

    static WorkerReply listing()
    {
        WorkerReply reply = replyOf(1000);
        reply.running.push_back({task, 1, {}, 100, 0});
        return reply;
    }

    /// Sends a poll that waits and, after a stop of another run, one that does not. The first one's
    /// answer lists the run, whose start has no answer yet. Returns its number; the other follows.
    std::size_t listWhileAPollWaits()
    {
        report(factsOf(1000));
        grant();
        until([this] {
            if (last().callback && last().request.wait > Duration::zero())
                return true;
            m_worker.answerPolls(replyOf(1000));
            return false;
        });
        const std::size_t waiting = m_worker.polls().size() - 1;
        m_leader->sendToAll(orderFor(factsOf(1000)));
        m_leader->sendToAll(StopOrder{factsOf(1000).lifetime, {"other", 0, 0, 0}, 1});
        until([this] { return !m_worker.starts().empty() && !m_worker.stops().empty(); });
        m_worker.stops().back().answer(replyOf(1000));
        CPPUNIT_ASSERT_EQUAL(waiting + 2, m_worker.polls().size());
        m_worker.polls()[waiting].answer(listing());
        return waiting;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(VanishedRunTest);
