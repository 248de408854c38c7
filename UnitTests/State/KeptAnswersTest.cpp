#include <Guavashift/State/State.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

/// Answers that agents hand over when they are stopped as planned.
class KeptAnswersTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(KeptAnswersTest);
    CPPUNIT_TEST(claimOfAStoppedAgentReturnsItsAnswer);
    CPPUNIT_TEST(keepsNoAnswerOfAnotherIncarnation);
    CPPUNIT_TEST(limitsTheBytesOfAnswers);
    CPPUNIT_TEST(snapshotKeepsAnswers);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against refusals as unknown of requests that had run to their end on an agent that
    /// was stopped as planned.
    void claimOfAStoppedAgentReturnsItsAnswer()
    {
        m_state.apply(1, ClaimKey{claim("k1", "r1")});
        m_state.apply(2, KeepAnswers{Incarnation{"i1"}, {answer("r1", 10)}});
        const KeptAnswer expected = answer("r1", 10);
        CPPUNIT_ASSERT(expected == answerOf("k1"));
    }

    void keepsNoAnswerOfAnotherIncarnation()
    {
        m_state.apply(1, ClaimKey{claim("k1", "r1")});
        m_state.apply(2, KeepAnswers{Incarnation{"i2"}, {answer("r1", 10)}});
        CPPUNIT_ASSERT(!answerOf("k1"));
    }

    void limitsTheBytesOfAnswers()
    {
        constexpr std::size_t megabyte = 1 << 20;
        std::size_t kept = 0;
        for (int i = 0; i < 12; ++i) {
            const std::string id = std::to_string(i);
            m_state.apply(1, ClaimKey{claim("k" + id, "r" + id)});
            m_state.apply(2, KeepAnswers{Incarnation{"i1"}, {answer("r" + id, megabyte)}});
            kept += answerOf("k" + id) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, kept);
        // Expired claims make room again.
        const WallMs later = m_state.claims().begin()->second.expiresAt + 1;
        m_state.apply(later, ClaimKey{claim("late", "late")});
        m_state.apply(later, KeepAnswers{Incarnation{"i1"}, {answer("late", megabyte)}});
        CPPUNIT_ASSERT(answerOf("late"));
    }

    void snapshotKeepsAnswers()
    {
        m_state.apply(1, ClaimKey{claim("k1", "r1")});
        m_state.apply(2, KeepAnswers{Incarnation{"i1"}, {answer("r1", 300)}});
        StateMachine restored;
        CPPUNIT_ASSERT(SnapshotCodec::decode(SnapshotCodec::encode(m_state), restored));
        CPPUNIT_ASSERT(m_state.claims() == restored.claims());
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

    std::optional<KeptAnswer> answerOf(const std::string &key)
    {
        const Outcome outcome = m_state.apply(m_state.time(), ClaimKey{claim(key, "resent")});
        return std::get<ClaimGranted>(outcome).claim.answer;
    }

    StateMachine m_state;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeptAnswersTest);
