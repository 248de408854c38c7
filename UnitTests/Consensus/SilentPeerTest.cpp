#include <Guavashift/Consensus/Replica.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

const ReplicaId self{"a"};
const ReplicaId second{"b"};
const ReplicaId silent{"c"};
constexpr Duration tickInterval = std::chrono::milliseconds(25);
constexpr int ticksOfSilence = 200;
constexpr std::size_t entryBytes = 1000;

} // namespace

/// A leader and a voter that does not answer for seconds while entries are committed.
class SilentPeerTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(SilentPeerTest);
    CPPUNIT_TEST(sendsEntriesToSilentPeerOnce);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        Membership membership;
        for (const ReplicaId &id : {self, second, silent})
            membership.members.push_back({id, id.value, {}, FailureDomain{}, true});
        PersistentState state;
        state.hardState = {1, {}};
        state.entries = {{1, 1, EntryKind::Membership, Json(membership).dump()}};
        m_replica.emplace(ReplicaSettings{}, self, std::move(state), 7, m_now);
        m_now += std::chrono::seconds(1);
        m_replica->tick(m_now);
        receive(second, VoteReply{2, true, true});
        receive(second, VoteReply{2, false, true});
        CPPUNIT_ASSERT(m_replica->isLeader());
    }

    /// Guards against a leader that sends all that a silent peer misses again and again: on the
    /// recorded day 3.7 MB a second.
    void sendsEntriesToSilentPeerOnce()
    {
        std::size_t requests = 0;
        std::uint64_t lastRound = 0;
        for (int i = 0; i < ticksOfSilence; ++i) {
            CPPUNIT_ASSERT(m_replica->propose(m_now, std::string(entryBytes, 'x')));
            m_replica->synced(m_now);
            for (const AppendRequest &request : answerAndTakeRequestsToSilent()) {
                requests += request.entries.empty() ? 0 : 1;
                lastRound = request.round;
            }
            m_now += tickInterval;
            m_replica->tick(m_now);
        }
        CPPUNIT_ASSERT_EQUAL(m_replica->log().lastIndex(), m_replica->matchIndex(second));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests);

        // Its first answer brings it everything at once.
        receive(silent, AppendReply{m_replica->term(), true, 0, lastRound});
        const std::vector<AppendRequest> requestsNow = answerAndTakeRequestsToSilent();
        CPPUNIT_ASSERT(!requestsNow.empty());
        CPPUNIT_ASSERT(requestsNow.back().entries.size() > ticksOfSilence);
    }

private:
    void receive(const ReplicaId &from, MessageBody body)
    {
        m_replica->receive(m_now, Envelope{from, self, std::move(body)});
    }

    /// Lets the second voter accept all requests to it, and returns those to the silent one.
    std::vector<AppendRequest> answerAndTakeRequestsToSilent()
    {
        std::vector<AppendRequest> toSilent;
        for (std::vector<Effect> effects = m_replica->takeEffects(); !effects.empty();
             effects = m_replica->takeEffects()) {
            for (const Effect &effect : effects) {
                const auto *message = std::get_if<SendMessage>(&effect);
                const auto *request = message == nullptr
                    ? nullptr
                    : std::get_if<AppendRequest>(&message->envelope.body);
                if (request == nullptr)
                    continue;
                if (message->envelope.to == silent)
                    toSilent.push_back(*request);
                else
                    receive(second,
                            AppendReply{request->term, true,
                                        request->prevIndex + request->entries.size(),
                                        request->round});
            }
        }
        return toSilent;
    }

    Instant m_now = Instant(std::chrono::seconds(1000));
    std::optional<Replica> m_replica;
};

CPPUNIT_TEST_SUITE_REGISTRATION(SilentPeerTest);
