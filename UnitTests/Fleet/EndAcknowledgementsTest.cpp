#include <UnitTests/Fleet/AgentFixture.h>
#include <UnitTests/Support/LogCapture.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Acknowledgements of ends to a worker that closes each connection after its answer, so that
/// nothing ties a call to one of its lifetimes.
class EndAcknowledgementsTest : public AgentFixture
{
    CPPUNIT_TEST_SUITE(EndAcknowledgementsTest);
    CPPUNIT_TEST(acknowledgesOnlyWhatIsNewRightAfterAnAnswer);
    CPPUNIT_TEST(acknowledgesNothingWhilePollsFail);
    CPPUNIT_TEST(startsNothingWhereEndsMayBeHidden);
    CPPUNIT_TEST(startsNothingWhereAnAcknowledgementWasCarriedOut);
    CPPUNIT_TEST(usesTheNextLifetimeAfterAnAnsweredAcknowledgement);
    CPPUNIT_TEST(usesTheNextLifetimeLongAfterAnAcknowledgement);
    CPPUNIT_TEST(usesALaterLifetime);
    CPPUNIT_TEST(usesNoNextLifetimeWhoseClockWasSetBack);
    CPPUNIT_TEST(logsEndsThatALifetimeHides);
    CPPUNIT_TEST(hidesNothingOnceTheAcknowledgementIsAccountedFor);
    CPPUNIT_TEST_SUITE_END();

public:
    EndAcknowledgementsTest()
    {
        m_agentSettings.retryPause = std::chrono::milliseconds(1);
        m_agentSettings.longestCallDelay = callDelay;
    }

    /// Guards against a next lifetime that forgets ends before they are listed, because each poll
    /// acknowledged the ends of the lifetime before.
    void acknowledgesOnlyWhatIsNewRightAfterAnAnswer()
    {
        commitAnEnd();
        const std::size_t first = pollsWith(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, first);
        CPPUNIT_ASSERT(last().request.wait == Duration::zero());
        const std::size_t before = m_worker.polls().size();
        answerAndClose(replyOf(1000), [&] { return m_worker.polls().size() > before + 4; });
        CPPUNIT_ASSERT_EQUAL(first, pollsWith(1));
        CPPUNIT_ASSERT(last().request.untilMs > 0);
        CPPUNIT_ASSERT(last().request.wait > Duration::zero());
    }

    /// Guards against the same while the worker's path is silent.
    void acknowledgesNothingWhilePollsFail()
    {
        constexpr std::size_t rounds = 200;
        listAnEnd();
        m_leader->sendToAll(EndsCommitted{factsOf(1000).lifetime, 1});
        const std::size_t before = m_worker.polls().size();
        until([&] {
            if (last().callback)
                last().answer(failed(WorkerCallResult::NoAnswer));
            return m_worker.polls().size() > before + rounds;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, pollsWith(1));
        answerAndClose(listing(), [this] { return isOpenWith(1); });
    }

    /// Guards against tasks that are started again although they are done: the next lifetime may
    /// have carried out an acknowledgement without an answer, and forgets what ends there.
    void startsNothingWhereEndsMayBeHidden()
    {
        commitAnEnd();
        last().answer(failed(WorkerCallResult::NoAnswer));
        assertDrains(2000);
        // A later report does not change that.
        m_agent->workerReported({factsOf(2000), 2, {}});
        m_leader->sendToAll(orderFor(factsOf(2000)));
        until([this] { return !m_leader->all<StartRefused>().empty(); });
        CPPUNIT_ASSERT(m_worker.starts().empty());
    }

    /// Guards against the same if the answer shows that the next lifetime carried it out.
    void startsNothingWhereAnAcknowledgementWasCarriedOut()
    {
        commitAnEnd();
        last().answer(replyOf(2000));
        assertDrains(2000);
    }

    void usesTheNextLifetimeAfterAnAnsweredAcknowledgement()
    {
        commitAnEnd();
        const std::size_t before = m_worker.polls().size();
        answerAndClose(replyOf(1000), [&] { return m_worker.polls().size() > before + 1; });
        assertUsed(2000);
    }

    /// An acknowledgement that is not carried out for so long is lost.
    void usesTheNextLifetimeLongAfterAnAcknowledgement()
    {
        commitAnEnd();
        last().answer(failed(WorkerCallResult::NoAnswer));
        answerLongAfter(1000);
        assertUsed(2000);
    }

    /// Guards against ends that stay hidden because the time of day was set back between the
    /// lifetime of an acknowledgement and the next one, which may take it.
    void usesNoNextLifetimeWhoseClockWasSetBack()
    {
        commitAnEnd();
        last().answer(failed(WorkerCallResult::NoAnswer));
        CPPUNIT_ASSERT(drains(500));
    }

    void usesALaterLifetime()
    {
        commitAnEnd();
        last().answer(failed(WorkerCallResult::NoAnswer));
        assertDrains(2000);
        answerLongAfter(2000);
        assertUsed(3000);
    }

    /// Guards against ends that are hidden without a trace in the log.
    void logsEndsThatALifetimeHides()
    {
        const test::LogCapture log;
        WorkerReply reply = replyOf(1000);
        reply.ended.push_back({7, {task, 1, RunEnd::Done, {}}});
        report(factsOf(1000));
        m_worker.answerPolls(reply);
        // An earlier process of the agent may have acknowledged the ends before.
        CPPUNIT_ASSERT(log.text().find("ends-hidden") == std::string::npos);
        reply.born = 2000;
        report(factsOf(2000));
        m_worker.answerPolls(reply);
        CPPUNIT_ASSERT(log.text().find("event=ends-hidden worker=w1 born=2000 first_listed=7")
                       != std::string::npos);
    }

    /// Guards against a worker that stays unused although the acknowledgement which its lifetime
    /// could have taken was refused.
    void hidesNothingOnceTheAcknowledgementIsAccountedFor()
    {
        EndAcknowledgements acknowledgements(std::chrono::seconds(15));
        const Lifetime first{"w1", 1000};
        const Lifetime next{"w1", 2000};
        const EndAcknowledgements::Id id = acknowledgements.sent(first, 7, BootClock::now());
        acknowledgements.lifetimeFound(next);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, acknowledgements.hiddenUpTo(next));
        acknowledgements.returned(id, true);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, acknowledgements.hiddenUpTo(next));
    }

private:
    static constexpr Duration callDelay = std::chrono::milliseconds(50);

    static WorkerReply failed(WorkerCallResult result)
    {
        WorkerReply reply;
        reply.result = result;
        return reply;
    }

    /// The answer of the first lifetime that lists its first end.
    static WorkerReply listing()
    {
        WorkerReply reply = replyOf(1000);
        reply.ended.push_back({1, {task, 1, RunEnd::Done, {}}});
        return reply;
    }

    HeldWorker::Call<PollRequest> &last() { return m_worker.polls().back(); }

    /// Whether the last poll is open and acknowledges ends up to that number.
    bool isOpenWith(std::uint64_t upTo)
    {
        return last().callback && !last().request.connections && last().request.seenUpTo == upTo;
    }

    /// Number of polls on any connection that acknowledge ends up to that number.
    std::size_t pollsWith(std::uint64_t upTo)
    {
        return static_cast<std::size_t>(
            std::count_if(m_worker.polls().begin(), m_worker.polls().end(), [&](const auto &each) {
                return !each.request.connections && each.request.seenUpTo == upTo;
            }));
    }

    /// Has the worker answer each poll and close its connection, until the condition holds.
    void answerAndClose(const WorkerReply &answer, const std::function<bool()> &condition)
    {
        until([&] {
            for (std::size_t i = 0; i < m_worker.polls().size() && !condition(); ++i) {
                WorkerReply reply = answer;
                if (m_worker.polls()[i].request.connections)
                    reply = failed(WorkerCallResult::NotSent);
                reply.connection = ++m_lastConnection;
                m_worker.polls()[i].answer(reply);
            }
            return condition();
        });
    }

    /// Has a worker that closes its connections list an end.
    void listAnEnd()
    {
        report(factsOf(1000));
        grant();
        answerAndClose(replyOf(1000), [this] {
            return !last().request.connections && last().request.untilMs > 0;
        });
        answerAndClose(listing(), [this] { return !m_leader->all<RunsEnded>().empty(); });
    }

    /// The same, and waits until the agent acknowledges the end.
    void commitAnEnd()
    {
        listAnEnd();
        m_leader->sendToAll(EndsCommitted{factsOf(1000).lifetime, 1});
        answerAndClose(listing(), [this] { return isOpenWith(1); });
    }

    /// Has a lifetime answer a poll that is sent later than a call without an answer can arrive.
    void answerLongAfter(std::int64_t born)
    {
        const Instant sent = BootClock::now() + 2 * callDelay;
        const auto answered = [&] {
            const std::size_t before = m_worker.polls().size();
            answerAndClose(replyOf(born), [&] { return m_worker.polls().size() > before; });
        };
        until([&] {
            answered();
            return BootClock::now() > sent;
        });
        answered();
        answered();
    }

    bool drains(std::int64_t born)
    {
        report(factsOf(born));
        until([&] {
            return !m_leader->workers().empty()
                && m_leader->workers().back().lifetime.startedAt == born;
        });
        return m_leader->workers().back().draining;
    }
    void assertDrains(std::int64_t born)
    {
        const test::LogCapture log;
        CPPUNIT_ASSERT(drains(born));
        CPPUNIT_ASSERT(log.text().find("event=lifetime-unused worker=w1 born=2000 may_hide_up_to=1")
                       != std::string::npos);
    }
    void assertUsed(std::int64_t born) { CPPUNIT_ASSERT(!drains(born)); }

    WorkerConnection m_lastConnection = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndAcknowledgementsTest);
