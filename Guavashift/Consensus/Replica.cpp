#include <Guavashift/Consensus/Replica.h>

#include <algorithm>

namespace guavashift {

Replica::Replica(const ReplicaSettings &settings, ReplicaId self, PersistentState state,
                 std::uint64_t seed, Instant now)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_random(seed)
    , m_hardState(std::move(state.hardState))
    , m_log(std::move(state.snapshot), std::move(state.entries))
    , m_lastLeaderContact(now)
{
    GUAVASHIFT_CHECK(settings.leaderLease < settings.electionTimeoutMin);
    // Everything found on disk is synced; what the snapshot covers is committed and applied.
    m_syncedIndex = m_log.lastIndex();
    m_commitIndex = m_log.firstIndex() - 1;
    m_appliedIndex = m_commitIndex;
    resetElectionTimer(now);
}

void Replica::tick(Instant now)
{
    if (m_role == ReplicaRole::Leader) {
        checkQuorum(now);
        if (m_role != ReplicaRole::Leader)
            return;
        // It leads only to pass on its log.
        if (!m_isStateUsable && !m_transferDeadline && m_commitIndex >= m_termStartIndex)
            (void)transferLeadership(now);
        // The TimeoutNow message may still arrive late, so this leader must not resume its lease in
        // this term.
        if (m_transferDeadline && now >= *m_transferDeadline) {
            becomeFollower(now, m_hardState.term, {}, RoleChangeReason::TransferTimeout);
            return;
        }
        replicate(now, now >= m_nextHeartbeat);
        return;
    }
    if (now < m_electionDeadline)
        return;
    // A replica that is no voter starts no election, but must not keep a silent leader: it may have
    // been removed, and asks to join again only while it knows no leader.
    if (membership().isVoter(m_self) && mayStartElection(now))
        startPreVote(now);
    else
        becomeFollower(now, m_hardState.term, {}, RoleChangeReason::LeaderSilent);
}

void Replica::receive(Instant now, const Envelope &envelope)
{
    if (envelope.to != m_self)
        return;
    std::visit([&](const auto &body) { handle(now, envelope.from, body); }, envelope.body);
}

Result<LogIndex> Replica::propose(Instant now, std::string payload)
{
    if (!isLeader())
        return fail(ErrorCode::NotLeader, "this replica does not lead");
    if (m_transferDeadline)
        return fail(ErrorCode::Unavailable, "leadership is being handed over");
    appendAsLeader(now, EntryKind::Command, std::move(payload));
    return m_log.lastIndex();
}

Result<LogIndex> Replica::proposeMembership(Instant now, const Membership &next)
{
    if (!isLeader())
        return fail(ErrorCode::NotLeader, "this replica does not lead");
    if (m_transferDeadline)
        return fail(ErrorCode::Unavailable, "leadership is being handed over");
    if (m_commitIndex < m_termStartIndex || m_log.membershipIndex() > m_commitIndex)
        return fail(ErrorCode::Conflict, "an earlier change is not committed yet");
    if (!membership().isSingleChangeTo(next))
        return fail(ErrorCode::InvalidArgument, "more than one voter would change");
    // A new voter counts towards commits from now on, so it must hold everything committed.
    for (const Member &member : next.members) {
        const bool added = member.voter && !membership().isVoter(member.id);
        if (added && member.id != m_self && matchIndex(member.id) < m_commitIndex)
            return fail(ErrorCode::Conflict, member.id.value + " has not caught up yet");
    }
    appendAsLeader(now, EntryKind::Membership, Json(next).dump());
    updatePeers(now);
    return m_log.lastIndex();
}

Result<void> Replica::transferLeadership(Instant now)
{
    if (!isLeader())
        return fail(ErrorCode::NotLeader, "this replica does not lead");
    const PeerProgress *best = nullptr;
    for (const auto &[id, peer] : m_peers) {
        const bool reachable = now - peer.lastReplyAt < m_settings.electionTimeoutMin;
        if (membership().isVoter(id) && reachable
            && (best == nullptr || peer.matchIndex > best->matchIndex))
            best = &peer;
    }
    if (best == nullptr)
        return fail(ErrorCode::Unavailable, "no other voter can be reached");
    // The lease ends here: hasLease() is false and propose() fails until the transfer is over.
    m_transferDeadline = now + m_settings.transferTimeout;
    if (best->matchIndex == m_log.lastIndex())
        send(best->id, TimeoutNow{m_hardState.term}, false);
    return {};
}

void Replica::synced(Instant now)
{
    m_syncedIndex = m_log.lastIndex();
    if (isLeader())
        advanceCommit(now);
}

void Replica::compact(SnapshotPointer snapshot)
{
    GUAVASHIFT_CHECK(snapshot->lastIndex <= m_appliedIndex);
    if (snapshot->lastIndex >= m_log.firstIndex())
        m_log.compact(std::move(snapshot));
}

bool Replica::mayStartElection(Instant now) const
{
    // One without a state may have entries that all others lack, so that none of them is elected.
    return m_isStateUsable || now - m_lastLeaderContact >= m_settings.electionWithoutState;
}

void Replica::updateDigest(const StateDigest &digest)
{
    m_digest = digest;
    if (isLeader())
        recordDigest(m_self, digest);
}

void Replica::setStateUsable(Instant now, bool isUsable)
{
    m_isStateUsable = isUsable;
    if (isUsable)
        return;
    // This replica vouches for no state any more.
    m_digest = {};
    if (m_role == ReplicaRole::Follower || (isLeader() && transferLeadership(now)))
        return;
    becomeFollower(now, m_hardState.term, {}, RoleChangeReason::StateDiscarded);
}

bool Replica::replaceState(LogIndex index, Term term)
{
    if (m_log.termAt(index) != term)
        return false;
    // What another replica has applied is committed.
    m_commitIndex = std::max(m_commitIndex, index);
    m_appliedIndex = std::max(m_appliedIndex, index);
    return true;
}

std::optional<LogIndex> Replica::disputedState() const
{
    return isLeader() ? m_agreement.disputed(membership()) : std::nullopt;
}

std::vector<Effect> Replica::takeEffects()
{
    return std::exchange(m_effects, {});
}

bool Replica::hasLease(Instant now) const
{
    if (!isLeader() || m_transferDeadline || m_commitIndex < m_termStartIndex)
        return false;
    return now < quorumContactTime(now) + m_settings.leaderLease;
}

LogIndex Replica::matchIndex(const ReplicaId &peer) const
{
    if (peer == m_self)
        return m_syncedIndex;
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? 0 : found->second.matchIndex;
}

Instant Replica::lastContact(const ReplicaId &peer) const
{
    const auto found = m_peers.find(peer);
    return found == m_peers.end() ? Instant() : found->second.lastReplyAt;
}

void Replica::saveHardState()
{
    m_effects.emplace_back(SaveHardState{m_hardState});
}

void Replica::send(const ReplicaId &to, MessageBody body, bool afterSync)
{
    m_effects.emplace_back(SendMessage{Envelope{m_self, to, std::move(body)},
                                       afterSync && m_settings.syncBeforeReply});
}

void Replica::emitRoleChange(Instant now, RoleChangeReason reason,
                             std::optional<Duration> contactAge)
{
    m_effects.emplace_back(RoleChanged{m_role, m_hardState.term, m_leader, reason, contactAge,
                                       now - m_lastLeaderContact});
}

std::string_view nameOf(RoleChangeReason reason)
{
    switch (reason) {
    case RoleChangeReason::LeaderSilent:
        return "leader-silent";
    case RoleChangeReason::PreVoteWon:
        return "pre-vote-won";
    case RoleChangeReason::TransferReceived:
        return "transfer-received";
    case RoleChangeReason::Elected:
        return "elected";
    case RoleChangeReason::HigherTerm:
        return "higher-term";
    case RoleChangeReason::FollowsLeader:
        return "follows-leader";
    case RoleChangeReason::QuorumLost:
        return "quorum-lost";
    case RoleChangeReason::TransferTimeout:
        return "transfer-timeout";
    case RoleChangeReason::StateDiscarded:
        return "state-discarded";
    case RoleChangeReason::NoLongerVoter:
        break;
    }
    return "no-longer-voter";
}

} // namespace guavashift
