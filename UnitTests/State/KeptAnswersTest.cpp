#include <Guavashift/State/State.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;
using namespace std::string_literals;

/// Answers that agents hand over when they are stopped as planned.
class KeptAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeptAnswersTest);
    CPPUNIT_TEST(claimOfAStoppedAgentReturnsItsAnswer);
    CPPUNIT_TEST(keepsNoAnswerOfAnotherIncarnation);
    CPPUNIT_TEST(limitsTheBytesOfAnswers);
    CPPUNIT_TEST(snapshotKeepsAnswers);
    CPPUNIT_TEST(claimsOfAClosedAgentThatItDidNotReportAreNotRun);
    CPPUNIT_TEST(claimMadeForAClosedAgentIsNotRun);
    CPPUNIT_TEST(closingEndsNoClaimOfAForgottenWindow);
    CPPUNIT_TEST(closingEndsNoClaimOfAnotherAgent);
    CPPUNIT_TEST(requestWhoseAnswerHasNoRoomMayHaveRun);
    CPPUNIT_TEST(movedClaimIsOpenAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusals as unknown of requests that had run to their end on an agent that
    /// was stopped as planned.
    void claimOfAStoppedAgentReturnsItsAnswer()
    {
        m_state.apply(1, ClaimKey{claim("k1", "r1")});
        m_state.apply(2, KeepAnswers{Incarnation{"i1"}, {answer("r1", 10)}, {}});
        const KeptAnswer expected = answer("r1", 10);
        CPPUNIT_ASSERT(expected == answerOf("k1"));
    }

    void keepsNoAnswerOfAnotherIncarnation()
    {
        m_state.apply(1, ClaimKey{claim("k1", "r1")});
        m_state.apply(2, KeepAnswers{Incarnation{"i2"}, {answer("r1", 10)}, {}});
        CPPUNIT_ASSERT(!answerOf("k1"));
    }

    void limitsTheBytesOfAnswers()
    {
        constexpr std::size_t megabyte = 1 << 20;
        std::size_t kept = 0;
        for (int i = 0; i < 12; ++i) {
            const std::string id = std::to_string(i);
            m_state.apply(1, ClaimKey{claim("k" + id, "r" + id)});
            m_state.apply(2, KeepAnswers{Incarnation{"i1"}, {answer("r" + id, megabyte)}, {}});
            kept += answerOf("k" + id) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, kept);
        // Expired claims make room again.
        const WallMs later = m_state.claims().begin()->second.expiresAt + 1;
        m_state.apply(later, ClaimKey{claim("late", "late")});
        m_state.apply(later, KeepAnswers{Incarnation{"i1"}, {answer("late", megabyte)}, {}});
        CPPUNIT_ASSERT(answerOf("late"));
    }

    void snapshotKeepsAnswers()
    {
        m_state.apply(1, ClaimKey{claim("k1", "r1")});
        m_state.apply(2, KeepAnswers{Incarnation{"i1"}, {answer("r1", 300)}, {}});
        StateMachine restored;
        CPPUNIT_ASSERT(SnapshotCodec::decode(SnapshotCodec::encode(m_state), restored));
        CPPUNIT_ASSERT(m_state.claims() == restored.claims());
    }

    /// Guards against refusals as unknown of requests that were claimed for an agent just before
    /// it was stopped as planned, and never reached it.
    void claimsOfAClosedAgentThatItDidNotReportAreNotRun()
    {
        announce();
        for (const char *number : {"1", "2", "3"})
            m_state.apply(2, ClaimKey{claim("k"s + number, "r"s + number)});
        m_state.apply(3, KeepAnswers{Incarnation{"i1"}, {answer("r1", 10)}, {RequestId{"r2"}}});
        CPPUNIT_ASSERT(endOf("k3") == ClaimEnd::Open);
        m_state.apply(4, CloseAgent{WorkerId{"w1"}, Incarnation{"i1"}, 1});
        CPPUNIT_ASSERT(answerOf("k1"));
        CPPUNIT_ASSERT(endOf("k1") == ClaimEnd::MayHaveRun);
        CPPUNIT_ASSERT(endOf("k2") == ClaimEnd::MayHaveRun);
        CPPUNIT_ASSERT(endOf("k3") == ClaimEnd::NotRun);
        StateMachine restored;
        CPPUNIT_ASSERT(SnapshotCodec::decode(SnapshotCodec::encode(m_state), restored));
        CPPUNIT_ASSERT(m_state.claims() == restored.claims());
    }

    /// The same for a claim of an entry that has not yet heard of the stop.
    void claimMadeForAClosedAgentIsNotRun()
    {
        announce();
        m_state.apply(2, CloseAgent{WorkerId{"w1"}, Incarnation{"i1"}, 1});
        m_state.apply(3, ClaimKey{claim("k1", "r1")});
        CPPUNIT_ASSERT(endOf("k1") == ClaimEnd::NotRun);
        Claim moved = claim("k1", "r2");
        m_state.apply(4, MoveClaim{RequestId{"r1"}, moved});
        CPPUNIT_ASSERT(endOf("k1") == ClaimEnd::NotRun);
        // Also after a restart of the control process.
        StateMachine restored;
        CPPUNIT_ASSERT(SnapshotCodec::decode(SnapshotCodec::encode(m_state), restored));
        const Outcome late = restored.apply(5, ClaimKey{claim("k2", "r3")});
        CPPUNIT_ASSERT(std::get<ClaimGranted>(late).claim.end == ClaimEnd::NotRun);
    }

    void closingEndsNoClaimOfAForgottenWindow()
    {
        announce();
        m_state.apply(2, ClaimKey{claim("k1", "r1")});
        m_state.apply(3, CloseAgent{WorkerId{"w1"}, Incarnation{"i1"}, 2});
        CPPUNIT_ASSERT(endOf("k1") == ClaimEnd::Open);
    }

    void closingEndsNoClaimOfAnotherAgent()
    {
        announce();
        Claim later = claim("k1", "r1");
        later.incarnation.value = "i2";
        m_state.apply(2, ClaimKey{later});
        m_state.apply(3, CloseAgent{WorkerId{"w1"}, Incarnation{"i1"}, 1});
        CPPUNIT_ASSERT(endOf("k1") == ClaimEnd::Open);
    }

    void requestWhoseAnswerHasNoRoomMayHaveRun()
    {
        announce();
        constexpr std::size_t tooMany = 9 << 20;
        m_state.apply(2, ClaimKey{claim("k1", "r1")});
        m_state.apply(3, KeepAnswers{Incarnation{"i1"}, {answer("r1", tooMany)}, {}});
        m_state.apply(4, CloseAgent{WorkerId{"w1"}, Incarnation{"i1"}, 1});
        CPPUNIT_ASSERT(!answerOf("k1"));
        CPPUNIT_ASSERT(endOf("k1") == ClaimEnd::MayHaveRun);
    }

    void movedClaimIsOpenAgain()
    {
        announce();
        m_state.apply(2, ClaimKey{claim("k1", "r1")});
        m_state.apply(3, CloseAgent{WorkerId{"w1"}, Incarnation{"i1"}, 1});
        Claim moved = claim("k1", "r2");
        moved.worker.value = "w2";
        m_state.apply(4, MoveClaim{RequestId{"r1"}, moved});
        CPPUNIT_ASSERT(endOf("k1") == ClaimEnd::Open);
    }

private:
    static Claim claim(const std::string &key, const std::string &request)
    {
        Claim claim;
        claim.service.value = "orders";
        claim.key = key;
        claim.requestId.value = request;
        claim.worker.value = "w1";
        claim.incarnation.value = "i1";
        claim.window = 1;
        return claim;
    }

    /// Its body holds all bytes, of which not every sequence is valid text.
    static KeptAnswer answer(const std::string &request, std::size_t bytes)
    {
        KeptAnswer answer{RequestId{request}, 201, {{"Content-Type", "image/png"}}, {}};
        for (std::size_t i = 0; i < bytes; ++i)
            answer.body.push_back(static_cast<std::uint8_t>(255 - i));
        return answer;
    }

    void announce()
    {
        WorkerFacts facts;
        facts.incarnation.value = "i1";
        m_state.apply(1, AnnounceWorker{WorkerId{"w1"}, facts});
    }

    ClaimEnd endOf(const std::string &key)
    {
        const Outcome outcome = m_state.apply(m_state.time(), ClaimKey{claim(key, "resent")});
        return std::get<ClaimGranted>(outcome).claim.end;
    }

    std::optional<KeptAnswer> answerOf(const std::string &key)
    {
        const Outcome outcome = m_state.apply(m_state.time(), ClaimKey{claim(key, "resent")});
        return std::get<ClaimGranted>(outcome).claim.answer;
    }

    StateMachine m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptAnswersTest);
