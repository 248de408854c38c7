#include <Guavashift/Consensus/Replica.h>

#include <algorithm>
#include <tuple>

// Part of Replica: the election of leaders.

namespace guavashift {

void Replica::becomeFollower(Instant now, Term term, const ReplicaId &leader,
                             RoleChangeReason reason)
{
    const bool changed =
        m_role != ReplicaRole::Follower || m_leader != leader || m_hardState.term != term;
    const bool wasLeader = isLeader();
    // Read before the peers are removed.
    const std::optional<Duration> contactAge =
        wasLeader ? std::optional(quorumContactAge(now)) : std::nullopt;
    if (term > m_hardState.term) {
        m_hardState = {term, {}};
        saveHardState();
    }
    m_role = ReplicaRole::Follower;
    m_leader = leader;
    m_votes.clear();
    if (wasLeader) {
        m_peers.clear();
        m_transferDeadline.reset();
        resetElectionTimer(now);
    }
    if (changed)
        emitRoleChange(now, reason, contactAge);
}

void Replica::follow(Instant now, Term term, const ReplicaId &leader)
{
    becomeFollower(now, term, leader,
                   isLeader() ? RoleChangeReason::HigherTerm : RoleChangeReason::FollowsLeader);
    m_lastLeaderContact = now;
    resetElectionTimer(now);
}

void Replica::resetElectionTimer(Instant now)
{
    std::uniform_int_distribution<std::int64_t> spread(m_settings.electionTimeoutMin.count(),
                                                       m_settings.electionTimeoutMax.count());
    m_electionDeadline = now + Duration(spread(m_random));
}

void Replica::startPreVote(Instant now)
{
    if (!m_settings.preVote) {
        startElection(now, RoleChangeReason::LeaderSilent);
        return;
    }
    m_role = ReplicaRole::PreCandidate;
    m_leader = {};
    m_preVoteTerm = m_hardState.term + 1;
    m_votes = {m_self};
    resetElectionTimer(now);
    requestVotes(m_preVoteTerm, true, false);
    emitRoleChange(now, RoleChangeReason::LeaderSilent);
    countVotes(now);
}

void Replica::startElection(Instant now, RoleChangeReason reason)
{
    m_role = ReplicaRole::Candidate;
    m_isTransferReceived = reason == RoleChangeReason::TransferReceived;
    m_leader = {};
    m_hardState = {m_hardState.term + 1, m_self};
    m_votes = {m_self};
    saveHardState();
    resetElectionTimer(now);
    requestVotes(m_hardState.term, false, reason == RoleChangeReason::TransferReceived);
    emitRoleChange(now, reason);
    countVotes(now);
}

void Replica::requestVotes(Term term, bool preVote, bool transfer)
{
    const VoteRequest request{term, m_log.lastIndex(), m_log.lastTerm(), preVote, transfer};
    for (const Member &member : membership().members) {
        if (member.voter && member.id != m_self)
            send(member.id, request, true);
    }
}

void Replica::countVotes(Instant now)
{
    std::size_t votes = 0;
    for (const ReplicaId &voter : m_votes)
        votes += membership().isVoter(voter) ? 1 : 0;
    if (votes < membership().quorum())
        return;
    if (m_role == ReplicaRole::PreCandidate)
        startElection(now, RoleChangeReason::PreVoteWon);
    else if (m_role == ReplicaRole::Candidate)
        becomeLeader(now);
}

void Replica::becomeLeader(Instant now)
{
    m_role = ReplicaRole::Leader;
    m_leader = m_self;
    m_leaderSince = now;
    m_nextHeartbeat = now;
    m_termStartIndex = m_log.lastIndex() + 1;
    m_transferDeadline.reset();
    m_peers.clear();
    updatePeers(now);
    m_agreement.clear();
    m_agreement.record(m_self, m_digest, membership());
    emitRoleChange(now, RoleChangeReason::Elected, quorumContactAge(now));
    // Entries of earlier terms are committed only together with one of this leader's term.
    appendAsLeader(now, EntryKind::NoOp, {});
}

bool Replica::hasRecentLeaderContact(Instant now) const
{
    if (!m_settings.leaderStickiness)
        return false;
    if (isLeader())
        return !m_transferDeadline
            && now - std::max(quorumContactTime(now), m_leaderSince)
            < m_settings.electionTimeoutMin;
    return now - m_lastLeaderContact < m_settings.electionTimeoutMin;
}

bool Replica::isUpToDate(const VoteRequest &request) const
{
    return std::tuple(request.lastTerm, request.lastIndex)
        >= std::tuple(m_log.lastTerm(), m_log.lastIndex());
}

void Replica::handle(Instant now, const ReplicaId &from, const VoteRequest &request)
{
    // An empty data folder may have lost its log, so a replica without a log does not vote.
    if (m_log.isEmpty() && m_settings.refuseVoteWithEmptyLog)
        return;
    // A voter with recent contact to a leader votes for no other; the leader's lease relies on
    // this.
    if (!request.transfer && hasRecentLeaderContact(now)) {
        send(from, VoteReply{m_hardState.term, request.preVote, false}, true);
        return;
    }
    if (request.preVote) {
        const bool granted = request.term > m_hardState.term && isUpToDate(request);
        send(from, VoteReply{granted ? request.term : m_hardState.term, true, granted}, true);
        return;
    }
    if (request.term > m_hardState.term)
        becomeFollower(now, request.term, {}, RoleChangeReason::HigherTerm);
    const bool mayVote = m_hardState.votedFor.isEmpty() || m_hardState.votedFor == from;
    const bool granted = request.term == m_hardState.term && m_role == ReplicaRole::Follower
        && mayVote && isUpToDate(request);
    if (granted) {
        if (m_hardState.votedFor.isEmpty()) {
            m_hardState.votedFor = from;
            saveHardState();
        }
        resetElectionTimer(now);
    }
    send(from, VoteReply{m_hardState.term, false, granted}, true);
}

void Replica::handle(Instant now, const ReplicaId &from, const VoteReply &reply)
{
    if (reply.term > m_hardState.term && !(reply.preVote && reply.granted)) {
        becomeFollower(now, reply.term, {}, RoleChangeReason::HigherTerm);
        return;
    }
    const bool current = reply.preVote
        ? m_role == ReplicaRole::PreCandidate && reply.term == m_preVoteTerm
        : m_role == ReplicaRole::Candidate && reply.term == m_hardState.term;
    if (!current || !reply.granted)
        return;
    m_votes.insert(from);
    countVotes(now);
}

void Replica::handle(Instant now, const ReplicaId &, const TimeoutNow &request)
{
    if (request.term == m_hardState.term && !isLeader() && membership().isVoter(m_self)
        && m_isStateUsable)
        startElection(now, RoleChangeReason::TransferReceived);
}

} // namespace guavashift
