#include <Guavashift/Fleet/CallAttempts.h>

#include <cppunit/extensions/HelperMacros.h>

namespace guavashift {

/// A refusal may only cover calls that no leader can have proposed.
class CallAttemptsTest final : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(CallAttemptsTest);
    CPPUNIT_TEST(callWithoutAttemptIsNotDone);
    CPPUNIT_TEST(callThatStayedInTheQueueIsNotDone);
    CPPUNIT_TEST(callIsInDoubtFromItsFirstByte);
    CPPUNIT_TEST(callInTheQueueOfLiveSessionIsInDoubt);
    CPPUNIT_TEST(callThatAllReceiversRefusedIsNotDone);
    CPPUNIT_TEST(refusalDoesNotCoverUnansweredAttempt);
    CPPUNIT_TEST(refusalDoesNotCoverUndecidedAttempt);
    CPPUNIT_TEST_SUITE_END();

    CallAttempts m_attempts;

    void callWithoutAttemptIsNotDone() { CPPUNIT_ASSERT(m_attempts.certainlyNotDone()); }

    void callThatStayedInTheQueueIsNotDone()
    {
        m_attempts.sent(1, 500);
        m_attempts.sessionEnded(500);
        CPPUNIT_ASSERT(m_attempts.certainlyNotDone());
        CPPUNIT_ASSERT_EQUAL(1U, m_attempts.count());
    }

    void callIsInDoubtFromItsFirstByte()
    {
        m_attempts.sent(1, 500);
        m_attempts.sessionEnded(501);
        CPPUNIT_ASSERT(!m_attempts.certainlyNotDone());
        // What happens in later sessions does not end the doubt.
        m_attempts.sent(2, 0);
        m_attempts.sessionEnded(0);
        CPPUNIT_ASSERT(!m_attempts.certainlyNotDone());
    }

    /// Guards against refusals of calls whose frame is sent later, when the peer reads again.
    void callInTheQueueOfLiveSessionIsInDoubt()
    {
        m_attempts.sent(1, 500);
        CPPUNIT_ASSERT(!m_attempts.certainlyNotDone());
    }

    void callThatAllReceiversRefusedIsNotDone()
    {
        m_attempts.sent(1, 0);
        m_attempts.sent(2, 100);
        m_attempts.refused(2);
        CPPUNIT_ASSERT(!m_attempts.certainlyNotDone());
        m_attempts.refused(1);
        CPPUNIT_ASSERT(m_attempts.certainlyNotDone());
    }

    void refusalDoesNotCoverUnansweredAttempt()
    {
        m_attempts.sent(1, 0);
        m_attempts.sessionEnded(100);
        m_attempts.sent(2, 0);
        m_attempts.refused(2);
        CPPUNIT_ASSERT(!m_attempts.certainlyNotDone());
    }

    void refusalDoesNotCoverUndecidedAttempt()
    {
        m_attempts.sent(1, 0);
        m_attempts.undecided(1);
        m_attempts.sent(2, 100);
        m_attempts.refused(2);
        CPPUNIT_ASSERT(!m_attempts.certainlyNotDone());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallAttemptsTest);

} // namespace guavashift
