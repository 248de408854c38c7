#include <Guavashift/Consensus/Replica.h>

#include <algorithm>

// Part of Replica: the replication of the log from the leader to the others.

namespace guavashift {

void Replica::appendAsLeader(Instant now, EntryKind kind, std::string payload)
{
    LogEntry entry{m_hardState.term, m_log.lastIndex() + 1, kind, std::move(payload)};
    m_effects.emplace_back(AppendToLog{{entry}});
    m_log.append(std::move(entry));
    replicate(now, false);
}

void Replica::updatePeers(Instant now)
{
    for (const Member &member : membership().members) {
        if (member.id == m_self || m_peers.contains(member.id))
            continue;
        PeerProgress progress;
        progress.id = member.id;
        progress.nextIndex = m_log.lastIndex() + 1;
        // A new peer counts as contacted now, so that it does not count as lost at once.
        progress.lastReplyAt = now;
        m_peers.emplace(member.id, std::move(progress));
    }
    std::erase_if(m_peers, [&](const auto &item) { return !membership().find(item.first); });
}

void Replica::replicate(Instant now, bool heartbeat)
{
    if (heartbeat)
        m_nextHeartbeat = now + m_settings.heartbeatInterval;
    for (auto &[id, peer] : m_peers) {
        // A request whose reply is overdue is sent again once the peer answers anything: a silent
        // peer gets heartbeats only.
        if (peer.inFlight && now - peer.sentAt >= m_settings.resendInterval
            && peer.lastReplyAt > peer.sentAt)
            peer.inFlight = false;
        const bool behind = peer.nextIndex <= m_log.lastIndex();
        if (heartbeat || (behind && !peer.inFlight))
            sendTo(now, peer);
    }
}

void Replica::sendTo(Instant now, PeerProgress &peer)
{
    const bool needsSnapshot = peer.nextIndex < m_log.firstIndex();
    // The snapshot of a replica without a state may be of the state that was discarded.
    if (needsSnapshot && !peer.inFlight && m_isStateUsable) {
        sendSnapshotChunk(now, peer);
        return;
    }
    AppendRequest request;
    request.term = m_hardState.term;
    // While entries are in flight, a heartbeat refers only to what is known to match.
    request.prevIndex = peer.inFlight || needsSnapshot ? peer.matchIndex : peer.nextIndex - 1;
    if (const std::optional<Term> term = m_log.termAt(request.prevIndex)) {
        request.prevTerm = *term;
    } else {
        request.prevIndex = m_log.firstIndex() - 1;
        request.prevTerm = *m_log.termAt(request.prevIndex);
    }
    if (!peer.inFlight && !needsSnapshot) {
        peer.snapshotIndex = 0;
        request.entries = m_log.slice(peer.nextIndex, m_settings.maxEntriesPerAppend,
                                      m_settings.maxBytesPerAppend);
    }
    request.commitIndex = m_commitIndex;
    request.round = ++m_round;
    request.agreed = m_agreement.agreed();
    recordSentRound(now, peer);
    if (!request.entries.empty()) {
        peer.inFlight = true;
        peer.sentAt = now;
    }
    send(peer.id, std::move(request), false);
}

void Replica::sendSnapshotChunk(Instant now, PeerProgress &peer)
{
    const SnapshotPointer &snapshot = m_log.snapshot();
    if (peer.snapshotIndex != snapshot->lastIndex) {
        peer.snapshotIndex = snapshot->lastIndex;
        peer.snapshotOffset = 0;
    }
    SnapshotChunk chunk;
    chunk.term = m_hardState.term;
    chunk.lastIndex = snapshot->lastIndex;
    chunk.lastTerm = snapshot->lastTerm;
    chunk.membership = snapshot->membership;
    chunk.offset = std::min<std::uint64_t>(peer.snapshotOffset, snapshot->data.size());
    chunk.totalBytes = snapshot->data.size();
    chunk.data = snapshot->data.substr(chunk.offset, m_settings.snapshotChunkBytes);
    chunk.round = ++m_round;
    recordSentRound(now, peer);
    peer.inFlight = true;
    peer.sentAt = now;
    send(peer.id, std::move(chunk), false);
}

void Replica::recordSentRound(Instant now, PeerProgress &peer)
{
    constexpr std::size_t maxUnansweredRounds = 256;
    peer.rounds.push_back({m_round, now});
    if (peer.rounds.size() > maxUnansweredRounds)
        peer.rounds.pop_front();
}

void Replica::recordContact(Instant now, PeerProgress &peer, std::uint64_t round)
{
    peer.lastReplyAt = now;
    while (!peer.rounds.empty() && peer.rounds.front().round <= round) {
        if (peer.rounds.front().round == round)
            peer.lastAnsweredSendAt = std::max(peer.lastAnsweredSendAt, peer.rounds.front().sentAt);
        peer.rounds.pop_front();
    }
}

Instant Replica::quorumContactTime(Instant now) const
{
    // This leader's own contact is `now`; the quorum's is the latest that a majority reaches.
    std::vector<Instant> contacts;
    for (const Member &member : membership().members) {
        if (!member.voter)
            continue;
        const auto peer = m_peers.find(member.id);
        contacts.push_back(peer == m_peers.end() ? now : peer->second.lastAnsweredSendAt);
    }
    if (contacts.empty())
        return now;
    std::sort(contacts.begin(), contacts.end(), std::greater<>());
    return contacts[membership().quorum() - 1];
}

Duration Replica::quorumContactAge(Instant now) const
{
    return now - std::max(quorumContactTime(now), m_leaderSince);
}

void Replica::checkQuorum(Instant now)
{
    if (m_settings.quorumCheck && quorumContactAge(now) > m_settings.electionTimeoutMax)
        becomeFollower(now, m_hardState.term, {}, RoleChangeReason::QuorumLost);
}

void Replica::advanceCommit(Instant now)
{
    std::vector<LogIndex> matches;
    for (const Member &member : membership().members) {
        if (member.voter)
            matches.push_back(matchIndex(member.id));
    }
    if (matches.empty())
        return;
    std::sort(matches.begin(), matches.end(), std::greater<>());
    const LogIndex candidate = matches[membership().quorum() - 1];
    // Only entries of this leader's own term are committed by counting replicas.
    if (candidate <= m_commitIndex || m_log.termAt(candidate) != m_hardState.term)
        return;
    m_commitIndex = candidate;
    emitCommitted();
    // A leader that is no longer a voter steps down once that membership is committed.
    if (!membership().isVoter(m_self) && m_log.membershipIndex() <= m_commitIndex) {
        becomeFollower(now, m_hardState.term, {}, RoleChangeReason::NoLongerVoter);
        return;
    }
    replicate(now, false);
}

void Replica::emitCommitted()
{
    if (m_appliedIndex >= m_commitIndex)
        return;
    ApplyEntries apply;
    for (LogIndex index = m_appliedIndex + 1; index <= m_commitIndex; ++index)
        apply.entries.push_back(m_log.at(index));
    m_appliedIndex = m_commitIndex;
    m_effects.emplace_back(std::move(apply));
}

void Replica::handle(Instant now, const ReplicaId &from, const AppendRequest &request)
{
    if (request.term < m_hardState.term) {
        send(from, AppendReply{m_hardState.term, false, m_log.lastIndex(), request.round}, true);
        return;
    }
    follow(now, request.term, from);

    // Entries that the snapshot covers are committed and therefore match.
    const std::optional<Term> prevTerm = m_log.termAt(request.prevIndex);
    const bool covered = request.prevIndex < m_log.firstIndex() - 1;
    if (!covered && prevTerm != request.prevTerm) {
        const LogIndex retryFrom = std::min(request.prevIndex - 1, m_log.lastIndex());
        send(from, AppendReply{m_hardState.term, false, retryFrom, request.round}, true);
        return;
    }
    acceptEntries(request);
    const LogIndex matched =
        std::max(request.prevIndex + request.entries.size(), covered ? m_log.firstIndex() - 1 : 0);
    if (request.commitIndex > m_commitIndex) {
        m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, matched));
        emitCommitted();
    }
    if (request.agreed.index != 0)
        m_effects.emplace_back(CompareDigest{request.agreed});
    send(from, AppendReply{m_hardState.term, true, matched, request.round, m_digest}, true);
}

void Replica::acceptEntries(const AppendRequest &request)
{
    AppendToLog append;
    for (const LogEntry &entry : request.entries) {
        const std::optional<Term> known = m_log.termAt(entry.index);
        if (entry.index < m_log.firstIndex() || known == entry.term)
            continue;
        // A conflicting tail was never committed; the leader's entries replace it.
        if (known) {
            GUAVASHIFT_CHECK(entry.index > m_commitIndex);
            m_log.truncateFrom(entry.index);
            m_syncedIndex = std::min(m_syncedIndex, entry.index - 1);
            m_effects.emplace_back(TruncateLog{entry.index});
        }
        m_log.append(entry);
        append.entries.push_back(entry);
    }
    if (!append.entries.empty())
        m_effects.emplace_back(std::move(append));
}

void Replica::recordDigest(const ReplicaId &replica, const StateDigest &digest)
{
    const LogIndex before = m_agreement.agreed().index;
    m_agreement.record(replica, digest, membership());
    if (m_agreement.agreed().index > before)
        m_effects.emplace_back(CompareDigest{m_agreement.agreed()});
}

PeerProgress *Replica::recordReply(Instant now, const ReplicaId &from, Term term,
                                   std::uint64_t round)
{
    if (term > m_hardState.term) {
        becomeFollower(now, term, {}, RoleChangeReason::HigherTerm);
        return nullptr;
    }
    const auto found = m_peers.find(from);
    if (!isLeader() || term != m_hardState.term || found == m_peers.end())
        return nullptr;
    recordContact(now, found->second, round);
    return &found->second;
}

void Replica::handle(Instant now, const ReplicaId &from, const AppendReply &reply)
{
    PeerProgress *answering = recordReply(now, from, reply.term, reply.round);
    if (answering == nullptr)
        return;
    PeerProgress &peer = *answering;
    if (!reply.success) {
        // A snapshot in transfer replaces the missing entries.
        if (peer.snapshotIndex != 0)
            return;
        // A replica whose disk lost the end of its log answers a newer round with a lower index.
        if (reply.index < peer.matchIndex && reply.round > peer.successRound)
            peer.matchIndex = reply.index;
        // Otherwise nextIndex never goes back to entries known to be synced on the peer.
        peer.nextIndex = std::max(peer.matchIndex + 1, std::min(peer.nextIndex, reply.index + 1));
        peer.inFlight = false;
        replicate(now, false);
        return;
    }
    recordDigest(from, reply.state);
    peer.successRound = std::max(peer.successRound, reply.round);
    if (reply.index > peer.matchIndex) {
        peer.matchIndex = reply.index;
        advanceCommit(now);
        if (!isLeader())
            return;
    }
    if (reply.index + 1 >= peer.nextIndex || peer.matchIndex + 1 > peer.nextIndex) {
        peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
        peer.inFlight = false;
    }
    if (m_transferDeadline && peer.matchIndex == m_log.lastIndex() && membership().isVoter(from))
        send(from, TimeoutNow{m_hardState.term}, false);
    replicate(now, false);
}

void Replica::handle(Instant now, const ReplicaId &from, const SnapshotChunk &chunk)
{
    if (chunk.term < m_hardState.term) {
        send(from, AppendReply{m_hardState.term, false, m_log.lastIndex(), chunk.round}, true);
        return;
    }
    follow(now, chunk.term, from);
    // A snapshot of entries that are already committed here is reported as installed.
    if (chunk.lastIndex <= m_commitIndex) {
        send(from,
             SnapshotReply{m_hardState.term, chunk.lastIndex, chunk.totalBytes, true, chunk.round},
             true);
        return;
    }
    // A partly received snapshot is continued only if it is the same one.
    if (m_receivedIndex != chunk.lastIndex || m_receivedTerm != chunk.lastTerm) {
        m_receivedData.clear();
        m_receivedIndex = chunk.lastIndex;
        m_receivedTerm = chunk.lastTerm;
    }
    if (chunk.offset == m_receivedData.size())
        m_receivedData += chunk.data;
    if (m_receivedData.size() == chunk.totalBytes) {
        installReceivedSnapshot(now, from, chunk);
        return;
    }
    send(
        from,
        SnapshotReply{m_hardState.term, chunk.lastIndex, m_receivedData.size(), false, chunk.round},
        true);
}

void Replica::installReceivedSnapshot(Instant, const ReplicaId &from, const SnapshotChunk &chunk)
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = chunk.lastIndex;
    snapshot->lastTerm = chunk.lastTerm;
    snapshot->membership = chunk.membership;
    snapshot->data = std::move(m_receivedData);
    m_receivedData.clear();
    m_receivedIndex = 0;
    m_log.compact(snapshot);
    m_commitIndex = chunk.lastIndex;
    m_appliedIndex = chunk.lastIndex;
    m_syncedIndex = std::max(m_syncedIndex, chunk.lastIndex);
    m_effects.emplace_back(InstallSnapshot{std::move(snapshot)});
    send(from,
         SnapshotReply{m_hardState.term, chunk.lastIndex, chunk.totalBytes, true, chunk.round},
         true);
}

void Replica::handle(Instant now, const ReplicaId &from, const SnapshotReply &reply)
{
    PeerProgress *answering = recordReply(now, from, reply.term, reply.round);
    if (answering == nullptr)
        return;
    PeerProgress &peer = *answering;
    peer.inFlight = false;
    if (reply.installed) {
        peer.matchIndex = std::max(peer.matchIndex, reply.lastIndex);
        peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
        peer.snapshotIndex = 0;
    } else if (reply.lastIndex == peer.snapshotIndex) {
        peer.snapshotOffset = reply.nextOffset;
    }
    replicate(now, false);
}

} // namespace guavashift
