#include <Guavashift/Consensus/Replica.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

const ReplicaId first{"a"};
const ReplicaId second{"b"};
const ReplicaId third{"c"};
const ReplicaId learner{"d"};

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

Membership threeVoters()
{
    Membership membership;
    for (const ReplicaId &id : {first, second, third, learner})
        membership.members.push_back({id, id.value, {}, FailureDomain{}, id != learner});
    return membership;
}

} // namespace

/// Which of the voters' states counts, and what a replica does whose own does not.
class StateAgreementTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(StateAgreementTest);
    CPPUNIT_TEST(oneReplicaDecidesNothing);
    CPPUNIT_TEST(quorumOutvotesTheLeader);
    CPPUNIT_TEST(learnersDoNotCount);
    CPPUNIT_TEST(formatsAreNotCompared);
    CPPUNIT_TEST(namesAnIndexWithoutAQuorum);
    CPPUNIT_TEST(replicaWithoutAStateVotesAndDoesNotLead);
    CPPUNIT_TEST(replicaWithoutAStatePassesItsLogOn);
    CPPUNIT_TEST(replicaWithoutAStateStoresAndVouchesForNothing);
    CPPUNIT_TEST(leaderWithoutAStateStepsDown);
    CPPUNIT_TEST(leaderWithoutAStateSendsNoSnapshot);
    CPPUNIT_TEST(readsMessagesOfEarlierVersions);
    CPPUNIT_TEST(earlierVersionsFindNoDigestToCompare);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a state that counts as wrong because one other replica has a different one.
    void oneReplicaDecidesNothing()
    {
        record(first, 64, 1);
        CPPUNIT_ASSERT_EQUAL(LogIndex{0}, m_agreement.agreed().index);
        record(second, 64, 2);
        CPPUNIT_ASSERT_EQUAL(LogIndex{0}, m_agreement.agreed().index);
    }

    /// Guards against a leader whose state counts though all others have another one.
    void quorumOutvotesTheLeader()
    {
        record(first, 64, 1);
        record(second, 64, 2);
        record(third, 64, 2);
        CPPUNIT_ASSERT((StateDigest{64, 2, 0} == m_agreement.agreed()));
        // Older indices do not replace it.
        record(first, 32, 5);
        record(second, 32, 5);
        CPPUNIT_ASSERT_EQUAL(LogIndex{64}, m_agreement.agreed().index);
    }

    void learnersDoNotCount()
    {
        record(first, 64, 1);
        record(learner, 64, 1);
        CPPUNIT_ASSERT_EQUAL(LogIndex{0}, m_agreement.agreed().index);
    }

    /// Guards against replicas of two versions that discard each other's states.
    void formatsAreNotCompared()
    {
        record(first, 64, 1, 1);
        record(second, 64, 1, 2);
        CPPUNIT_ASSERT_EQUAL(LogIndex{0}, m_agreement.agreed().index);
        CPPUNIT_ASSERT(!m_agreement.disputed(threeVoters()));
        CPPUNIT_ASSERT((!StateDigest{64, 1, 1}.contradicts({64, 2, 2})));
        CPPUNIT_ASSERT((StateDigest{64, 1, 1}.contradicts({64, 2, 1})));
    }

    /// Guards against states that differ without any sign of it.
    void namesAnIndexWithoutAQuorum()
    {
        record(first, 64, 1);
        CPPUNIT_ASSERT(!m_agreement.disputed(threeVoters()));
        record(second, 64, 2);
        CPPUNIT_ASSERT_EQUAL(LogIndex{64}, *m_agreement.disputed(threeVoters()));
        record(third, 64, 2);
        CPPUNIT_ASSERT(!m_agreement.disputed(threeVoters()));
    }

    /// Guards against a replica that neither votes nor stores because of its state, and against one
    /// that leads with a wrong state.
    void replicaWithoutAStateVotesAndDoesNotLead()
    {
        m_replica->setStateUsable(at(0), false);
        for (int now = 0; now < 4000; now += 100)
            m_replica->tick(at(now));
        CPPUNIT_ASSERT(sent<VoteRequest>().empty());
        m_replica->receive(at(3900), {second, first, TimeoutNow{1}});
        CPPUNIT_ASSERT(sent<VoteRequest>().empty());
        m_replica->receive(at(3900), {second, first, VoteRequest{2, 1, 1, false, false}});
        const std::vector<VoteReply> votes = sent<VoteReply>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, votes.size());
        CPPUNIT_ASSERT(votes[0].granted);
        // With a state, it may lead again.
        m_replica->setStateUsable(at(3950), true);
        m_replica->tick(at(5000));
        CPPUNIT_ASSERT(!sent<VoteRequest>().empty());
    }

    /// Guards against voters of which none is ever elected: one whose state must not be used holds
    /// entries that the others lack.
    void replicaWithoutAStatePassesItsLogOn()
    {
        m_replica->setStateUsable(at(0), false);
        m_replica->tick(at(4000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sent<VoteRequest>().size());
        m_replica->receive(at(4001), {second, first, VoteReply{2, true, true}});
        m_replica->receive(at(4002), {second, first, VoteReply{2, false, true}});
        CPPUNIT_ASSERT(m_replica->isLeader());
        m_replica->synced(at(4003));
        m_replica->receive(at(4004), {second, first, AppendReply{2, true, 2, 1}});
        CPPUNIT_ASSERT_EQUAL(LogIndex{2}, m_replica->commitIndex());
        (void)m_replica->takeEffects();
        m_replica->tick(at(4005));
        CPPUNIT_ASSERT(m_replica->isTransferring());
        CPPUNIT_ASSERT(!m_replica->hasLease(at(4005)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent<TimeoutNow>().size());
    }

    void replicaWithoutAStateStoresAndVouchesForNothing()
    {
        m_replica->updateDigest({1, 5, 1});
        m_replica->setStateUsable(at(0), false);
        AppendRequest request;
        request.term = 1;
        request.prevIndex = 1;
        request.prevTerm = 1;
        request.entries = {{1, 2, EntryKind::Command, "x"}};
        request.commitIndex = 2;
        m_replica->receive(at(10), {second, first, request});
        const std::vector<AppendReply> replies = sent<AppendReply>();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, replies.size());
        CPPUNIT_ASSERT(replies[0].success);
        CPPUNIT_ASSERT_EQUAL(LogIndex{2}, replies[0].index);
        CPPUNIT_ASSERT_EQUAL(LogIndex{0}, replies[0].state.index);
    }

    /// Guards against a wrong state that spreads with a snapshot.
    void leaderWithoutAStateSendsNoSnapshot()
    {
        PersistentState state = firstState();
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->lastIndex = 5;
        snapshot->lastTerm = 1;
        snapshot->membership = threeVoters();
        snapshot->data = "wrong";
        state.snapshot = std::move(snapshot);
        state.entries.clear();
        for (const bool isUsable : {true, false}) {
            m_replica.emplace(ReplicaSettings{}, first, state, 7U, at(0));
            m_replica->setStateUsable(at(0), isUsable);
            m_replica->tick(at(4000));
            m_replica->receive(at(4001), {second, first, VoteReply{2, true, true}});
            m_replica->receive(at(4002), {second, first, VoteReply{2, false, true}});
            CPPUNIT_ASSERT(m_replica->isLeader());
            m_replica->synced(at(4002));
            // The other one lacks what the snapshot covers.
            m_replica->receive(at(4003), {third, first, AppendReply{2, false, 1, 2}});
            m_replica->tick(at(4500));
            CPPUNIT_ASSERT_EQUAL(isUsable, !sent<SnapshotChunk>().empty());
        }
    }

    /// Guards against a leader that goes on with a wrong state because no voter can take over.
    void leaderWithoutAStateStepsDown()
    {
        m_replica->tick(at(1000));
        m_replica->receive(at(1001), {second, first, VoteReply{2, true, true}});
        m_replica->receive(at(1002), {second, first, VoteReply{2, false, true}});
        CPPUNIT_ASSERT(m_replica->isLeader());
        m_replica->setStateUsable(at(9000), false);
        CPPUNIT_ASSERT(!m_replica->isLeader());
        m_replica->tick(at(12'000));
        CPPUNIT_ASSERT(!m_replica->isLeader());
    }

    /// Guards against control processes of two versions that cannot read each other's messages.
    void readsMessagesOfEarlierVersions()
    {
        Json request = AppendRequest{3, 1, 1, {}, 1, 7, {64, 9, 1}};
        request.erase("agreed");
        request["digest"] = {{"index", 64}, {"digest", 5}};
        CPPUNIT_ASSERT_EQUAL(LogIndex{0}, request.get<AppendRequest>().agreed.index);
        Json reply = AppendReply{3, true, 5, 7, {64, 9, 1}};
        CPPUNIT_ASSERT((StateDigest{64, 9, 1} == reply.get<AppendReply>().state));
        reply.erase("state");
        CPPUNIT_ASSERT_EQUAL(LogIndex{0}, reply.get<AppendReply>().state.index);
    }

    /// Guards against replicas of the version before that stop because they compare digests of
    /// another kind.
    void earlierVersionsFindNoDigestToCompare()
    {
        const Json request = AppendRequest{3, 1, 1, {}, 1, 7, {64, 9, 1}};
        CPPUNIT_ASSERT_EQUAL(0, request.at("digest").at("index").get<int>());
        CPPUNIT_ASSERT(request.at("digest").contains("digest"));
        CPPUNIT_ASSERT((StateDigest{64, 9, 1} == request.get<AppendRequest>().agreed));
    }

private:
    static PersistentState firstState()
    {
        PersistentState state;
        state.hardState = {1, {}};
        state.entries = {{1, 1, EntryKind::Membership, Json(threeVoters()).dump()}};
        return state;
    }

    void record(const ReplicaId &replica, LogIndex index, std::uint64_t digest,
                std::uint32_t format = 0)
    {
        m_agreement.record(replica, {index, digest, format}, threeVoters());
    }

    /// Messages of one kind that the replica has sent since the last call.
    template <typename Body> std::vector<Body> sent()
    {
        std::vector<Body> bodies;
        for (const Effect &effect : m_replica->takeEffects()) {
            const auto *message = std::get_if<SendMessage>(&effect);
            if (message == nullptr)
                continue;
            if (const auto *body = std::get_if<Body>(&message->envelope.body))
                bodies.push_back(*body);
        }
        return bodies;
    }

    StateAgreement m_agreement;
    std::optional<Replica> m_replica{std::in_place, ReplicaSettings{}, first, firstState(), 7U,
                                     at(0)};
};

CPPUNIT_TEST_SUITE_REGISTRATION(StateAgreementTest);
