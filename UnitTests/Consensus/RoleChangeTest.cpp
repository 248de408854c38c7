#include <Guavashift/Consensus/Replica.h>

#include <cppunit/extensions/HelperMacros.h>

using namespace guavashift;

namespace {

const ReplicaId self{"a"};
const ReplicaId second{"b"};
const ReplicaId third{"c"};
constexpr Term firstTerm = 1;
constexpr int longestSilenceMs = 1000;

Instant at(int milliseconds)
{
    return Instant(std::chrono::seconds(1000) + std::chrono::milliseconds(milliseconds));
}

/// State of a voter of three that has only the entry of the membership.
PersistentState firstState()
{
    Membership membership;
    for (const ReplicaId &id : {self, second, third})
        membership.members.push_back({id, id.value, {}, FailureDomain{}, true});
    PersistentState state;
    state.hardState = {firstTerm, {}};
    state.entries = {{1, firstTerm, EntryKind::Membership, Json(membership).dump()}};
    return state;
}

} // namespace

/// The reason and the age of the last contact that come with each change of role. Without them, the
/// log does not tell a leader that was too slow from a network that failed.
class RoleChangeTest : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(RoleChangeTest);
    CPPUNIT_TEST(namesEachStageOfAnElection);
    CPPUNIT_TEST(leaderWithoutQuorumNamesIt);
    CPPUNIT_TEST(leaderThatSeesAHigherTermNamesIt);
    CPPUNIT_TEST(followerNamesItsLeaderAndTheSilenceBefore);
    CPPUNIT_TEST(lateTransferIsNamed);
    CPPUNIT_TEST(receivedTransferIsNamed);
    CPPUNIT_TEST(removedVoterNamesIt);
    CPPUNIT_TEST(learnerForgetsItsSilentLeader);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override { m_replica.emplace(ReplicaSettings{}, self, firstState(), 7, at(0)); }

    /// Guards against an election whose cause is not logged.
    void namesEachStageOfAnElection()
    {
        m_replica->tick(at(longestSilenceMs));
        const RoleChanged silent = onlyChange();
        assertReason(RoleChangeReason::LeaderSilent, silent);
        CPPUNIT_ASSERT(ReplicaRole::PreCandidate == silent.role);
        CPPUNIT_ASSERT(std::chrono::milliseconds(longestSilenceMs) == silent.leaderContactAge);
        CPPUNIT_ASSERT(!silent.quorumContactAge);
        receive(longestSilenceMs + 10, second, VoteReply{firstTerm + 1, true, true});
        assertReason(RoleChangeReason::PreVoteWon, onlyChange());
        receive(longestSilenceMs + 20, second, VoteReply{firstTerm + 1, false, true});
        const RoleChanged elected = onlyChange();
        assertReason(RoleChangeReason::Elected, elected);
        CPPUNIT_ASSERT(ReplicaRole::Leader == elected.role);
        CPPUNIT_ASSERT(Duration::zero() == elected.quorumContactAge);
    }

    /// Guards against a lost quorum that looks like any other end of leadership.
    void leaderWithoutQuorumNamesIt()
    {
        const int since = becomeLeader();
        m_replica->tick(at(since + longestSilenceMs));
        CPPUNIT_ASSERT(changes().empty());
        m_replica->tick(at(since + longestSilenceMs + 1));
        const RoleChanged lost = onlyChange();
        assertReason(RoleChangeReason::QuorumLost, lost);
        CPPUNIT_ASSERT(std::chrono::milliseconds(longestSilenceMs + 1) == lost.quorumContactAge);
    }

    /// Guards against a leader replaced by another that seems to have lost its quorum.
    void leaderThatSeesAHigherTermNamesIt()
    {
        const int since = becomeLeader();
        const Term next = m_replica->term() + 1;
        receive(since + 30, second, AppendReply{next, false, 0, 0});
        const RoleChanged deposed = onlyChange();
        assertReason(RoleChangeReason::HigherTerm, deposed);
        CPPUNIT_ASSERT(std::chrono::milliseconds(30) == deposed.quorumContactAge);
        // The next leader may also be the first to send the new term.
        setUp();
        becomeLeader();
        receive(2000, second, AppendRequest{next, 1, firstTerm, {}, 0, 1, {}});
        const RoleChanged replaced = onlyChange();
        assertReason(RoleChangeReason::HigherTerm, replaced);
        CPPUNIT_ASSERT(second == replaced.leader);
    }

    /// Guards against a follower whose time without a leader cannot be read from the log.
    void followerNamesItsLeaderAndTheSilenceBefore()
    {
        receive(300, second, AppendRequest{firstTerm, 1, firstTerm, {}, 0, 1, {}});
        const RoleChanged follows = onlyChange();
        assertReason(RoleChangeReason::FollowsLeader, follows);
        CPPUNIT_ASSERT(second == follows.leader);
        CPPUNIT_ASSERT(std::chrono::milliseconds(300) == follows.leaderContactAge);
        CPPUNIT_ASSERT(!follows.quorumContactAge);
        // Further heartbeats change nothing.
        receive(400, second, AppendRequest{firstTerm, 1, firstTerm, {}, 0, 2, {}});
        CPPUNIT_ASSERT(changes().empty());
    }

    /// Guards against a transfer without a successor that looks like a lost quorum.
    void lateTransferIsNamed()
    {
        const int since = becomeLeader();
        CPPUNIT_ASSERT(m_replica->transferLeadership(at(since)));
        m_replica->tick(at(since + longestSilenceMs));
        assertReason(RoleChangeReason::TransferTimeout, onlyChange());
    }

    /// Guards against a planned change of leader that looks like a failure.
    void receivedTransferIsNamed()
    {
        receive(10, second, TimeoutNow{firstTerm});
        assertReason(RoleChangeReason::TransferReceived, onlyChange());
    }

    /// Guards against a replaced leader that looks like one that failed.
    void removedVoterNamesIt()
    {
        const int since = becomeLeader();
        acknowledgeAll(since + 10);
        Membership without = m_replica->membership();
        std::erase_if(without.members, [](const Member &member) { return member.id == self; });
        CPPUNIT_ASSERT(m_replica->proposeMembership(at(since + 20), without));
        acknowledgeAll(since + 30);
        assertReason(RoleChangeReason::NoLongerVoter, onlyChange());
    }

    /// Guards against a learner that keeps a leader which has fallen silent, and with it never asks
    /// to join again.
    void learnerForgetsItsSilentLeader()
    {
        PersistentState state = firstState();
        Membership membership = Json::parse(state.entries.front().payload).get<Membership>();
        membership.members.front().voter = false;
        state.entries.front().payload = Json(membership).dump();
        m_replica.emplace(ReplicaSettings{}, self, std::move(state), 7, at(0));
        receive(10, second, AppendRequest{firstTerm, 1, firstTerm, {}, 0, 1, {}});
        assertReason(RoleChangeReason::FollowsLeader, onlyChange());
        const Duration shortest = ReplicaSettings{}.electionTimeoutMin;
        m_replica->tick(at(10) + shortest - std::chrono::milliseconds(1));
        CPPUNIT_ASSERT(changes().empty());
        m_replica->tick(at(10 + longestSilenceMs));
        const RoleChanged silent = onlyChange();
        assertReason(RoleChangeReason::LeaderSilent, silent);
        CPPUNIT_ASSERT(ReplicaRole::Follower == silent.role);
        CPPUNIT_ASSERT(silent.leader.isEmpty());
        CPPUNIT_ASSERT(std::chrono::milliseconds(longestSilenceMs) == silent.leaderContactAge);
        CPPUNIT_ASSERT_EQUAL(firstTerm, m_replica->term());
        // The silence is reported once.
        m_replica->tick(at(10 + 3 * longestSilenceMs));
        CPPUNIT_ASSERT(changes().empty());
        receive(5000, second, AppendRequest{firstTerm, 1, firstTerm, {}, 0, 2, {}});
        assertReason(RoleChangeReason::FollowsLeader, onlyChange());
    }

private:
    /// Makes the replica the leader and returns the time of its election.
    int becomeLeader()
    {
        const int time = longestSilenceMs + 20;
        m_replica->tick(at(longestSilenceMs));
        receive(time, second, VoteReply{firstTerm + 1, true, true});
        receive(time, second, VoteReply{firstTerm + 1, false, true});
        CPPUNIT_ASSERT(m_replica->isLeader());
        (void)m_replica->takeEffects();
        return time;
    }

    /// Both other voters and this replica's disk have everything.
    void acknowledgeAll(int time)
    {
        m_replica->synced(at(time));
        const LogIndex last = m_replica->log().lastIndex();
        for (const ReplicaId &peer : {second, third})
            receive(time, peer, AppendReply{m_replica->term(), true, last, 0});
    }

    void receive(int time, const ReplicaId &from, MessageBody body)
    {
        m_replica->receive(at(time), Envelope{from, self, std::move(body)});
    }

    std::vector<RoleChanged> changes()
    {
        std::vector<RoleChanged> found;
        for (const Effect &effect : m_replica->takeEffects())
            std::visit(Overloaded{[&](const RoleChanged &change) { found.push_back(change); },
                                  [](const auto &) {}},
                       effect);
        return found;
    }

    RoleChanged onlyChange()
    {
        const std::vector<RoleChanged> found = changes();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, found.size());
        return found.front();
    }

    static void assertReason(RoleChangeReason expected, const RoleChanged &change)
    {
        CPPUNIT_ASSERT_EQUAL(std::string(nameOf(expected)), std::string(nameOf(change.reason)));
    }

    std::optional<Replica> m_replica;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RoleChangeTest);
