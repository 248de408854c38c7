#include <Guavashift/Fleet/ReplicaDriver.h>

namespace guavashift {

namespace {

/// Maximum number of commands after which a log entry takes no further proposal.
constexpr std::size_t maxCommandsPerEntry = 1024;
constexpr Duration planInterval = std::chrono::milliseconds(100);

/// About the size of what a command or a step holds beside its long texts.
constexpr std::size_t otherBytes = 256;

/// About the size of a command in an entry.
std::size_t bytesOf(const StageCommand &command)
{
    return std::visit(
        Overloaded{[](const ReplaceConfiguration &each) { return each.document.size(); },
                   [](const AcceptJob &each) {
                       return each.plan.payload.size() + otherBytes * (1 + each.plan.steps.size());
                   },
                   [](const EndRun &each) { return each.checkpoint.size() + otherBytes; },
                   [](const auto &) { return otherBytes; }},
        command);
}

std::size_t bytesOf(const std::vector<StageCommand> &commands)
{
    std::size_t bytes = 0;
    for (const StageCommand &command : commands)
        bytes += bytesOf(command);
    return bytes;
}

} // namespace

ReplicaDriver::ReplicaDriver(EventLoop &loop, const ReplicaDriverSettings &settings,
                             const FleetSettings &fleet, JobTable &jobTable, FleetMetrics &metrics,
                             Observer observer, std::uint64_t seed, LogStoreOpener openStore)
    : m_loop(loop)
    , m_settings(settings)
    , m_fleet(fleet)
    , m_jobTable(jobTable)
    , m_metrics(metrics)
    , m_observer(std::move(observer))
    , m_random(seed)
    , m_openStore(std::move(openStore))
    , m_recovery(settings.recovery)
    , m_planner(settings.membership)
    , m_monitor({settings.membership.targetVoters}, metrics)
{
}

// The owners of the Done callbacks are destroyed first, so the callbacks are not called.
ReplicaDriver::~ReplicaDriver() = default;

void ReplicaDriver::scheduleTick()
{
    // The timer only wakes the loop; endRound() does the work.
    m_loop.after(m_settings.tick, [this] { scheduleTick(); });
}

void ReplicaDriver::endRound()
{
    if (m_stopped && BootClock::now() >= m_reopenAt)
        reopen();
    if (m_stopped || !m_replica)
        return;
    if (BootClock::now() - m_servedReplicasAt >= m_settings.tick)
        m_observer.readReplicas();
    m_replica->tick(BootClock::now());
    applyDeferred();
    proposePending();
    processEffects();
    if (m_stopped)
        return;
    const Instant now = BootClock::now();
    // Everything committed is applied now, including entries of earlier leaders.
    if (m_replica->isLeader() && m_replica->hasLease(now))
        m_caughtUpTerm = m_replica->term();
    if (leads() && now >= m_nextPlan) {
        m_nextPlan = now + planInterval;
        observeVoters(now);
        reportDispute(now);
        planMembership();
    }
    if (now >= m_nextJoin) {
        m_nextJoin = now + m_settings.joinInterval;
        askToJoin();
    }
    recoverState();
    if (m_stopped)
        return;
    serveStates();
    if (m_bytesSinceSnapshot > m_settings.snapshotBytes && !m_recovery.isActive())
        (void)takeSnapshot();
}

void ReplicaDriver::serveReplicas()
{
    if (m_stopped || !m_replica)
        return;
    m_observer.readReplicas();
    m_replica->tick(BootClock::now());
    storeAndSend();
    sendQueued();
    m_servedReplicasAt = BootClock::now();
}

void ReplicaDriver::sendQueued()
{
    for (const auto &[address, peer] : m_peers) {
        if (peer.connection)
            peer.connection->sendQueued();
    }
}

void ReplicaDriver::serveReplicasIfDue()
{
    if (BootClock::now() - m_servedReplicasAt >= m_settings.tick)
        serveReplicas();
    else
        sendQueued();
}

bool ReplicaDriver::mayAnswer() const
{
    return leads() && m_caughtUpTerm == m_replica->term() && m_replica->hasLease(BootClock::now());
}

void ReplicaDriver::receive(const ReplicaMessages &messages)
{
    if (m_stopped || !m_replica)
        return;
    for (const Envelope &envelope : messages.envelopes) {
        m_reportedAddresses[envelope.from] = messages.address;
        // Messages to an earlier incarnation of this machine's disk are not for this one.
        if (envelope.to == m_self.id)
            m_replica->receive(BootClock::now(), envelope);
    }
}

void ReplicaDriver::joinRequested(const Member &member)
{
    const Instant now = BootClock::now();
    m_monitor.joinHeard(now, member, leads(), leaderAddress());
    if (leads())
        m_planner.joinRequested(member, now);
}

void ReplicaDriver::propose(std::vector<StageCommand> commands, Done done)
{
    m_proposals.push_back({std::move(commands), std::move(done), BootClock::now()});
}

void ReplicaDriver::proposePending()
{
    std::vector<Proposal> proposals = std::exchange(m_proposals, {});
    std::size_t next = 0;
    while (next < proposals.size()) {
        StageBatch batch;
        batch.time = wallNow();
        std::vector<Waiter> waiters;
        const Instant oldest = proposals[next].proposedAt;
        std::size_t bytes = 0;
        do {
            Proposal &proposal = proposals[next++];
            bytes += bytesOf(proposal.commands);
            waiters.push_back({m_replica->term(), batch.commands.size(), proposal.commands.size(),
                               std::move(proposal.done)});
            std::move(proposal.commands.begin(), proposal.commands.end(),
                      std::back_inserter(batch.commands));
        } while (next < proposals.size() && batch.commands.size() < maxCommandsPerEntry
                 && bytes < m_settings.maxEntryBytes);
        const bool isEmpty = batch.commands.empty();
        // During a transfer it fails, since commands proposed before may have failed too.
        const Result<LogIndex> index = isEmpty && leads() && !m_replica->isTransferring()
            ? Result<LogIndex>(m_replica->log().lastIndex())
            : m_replica->propose(BootClock::now(), batch.encode());
        if (index && !isEmpty)
            m_entryTimes[*index] = {batch.commands.size(), oldest, BootClock::now(),
                                    Duration::zero()};
        for (Waiter &waiter : waiters) {
            if (!index)
                waiter.done(false, {});
            else if (isEmpty && *index <= m_replica->appliedIndex())
                waiter.done(true, {});
            else
                m_waiters.emplace(*index, std::move(waiter));
        }
    }
}

void ReplicaDriver::processEffects()
{
    storeAndSend();
    do {
        applyDeferred();
        storeAndSend();
    } while (!m_stopped && !m_deferred.empty());
}

void ReplicaDriver::storeAndSend()
{
    for (;;) {
        std::vector<Effect> effects = m_replica->takeEffects();
        if (effects.empty() || m_stopped)
            return;
        // The leader sends entries while its own disk still writes them.
        sendMessages(effects, false);
        storeAll(effects);
        if (m_stopped)
            return;
        m_replica->synced(BootClock::now());
        sendMessages(effects, true);
        std::move(effects.begin(), effects.end(), std::back_inserter(m_deferred));
    }
}

void ReplicaDriver::applyDeferred()
{
    while (!m_deferred.empty() && !m_stopped) {
        const Effect effect = std::move(m_deferred.front());
        m_deferred.pop_front();
        std::visit(
            Overloaded{[this](const ApplyEntries &committed) { applyAll(committed.entries); },
                       [this](const InstallSnapshot &each) { installSnapshot(each.snapshot); },
                       [this](const CompareDigest &each) { checkDigest(each.digest); },
                       [this](const RoleChanged &change) { handleRoleChange(change); },
                       [](const auto &) {}},
            effect);
    }
}

void ReplicaDriver::applyAll(std::span<const LogEntry> entries)
{
    // They are applied to the state that replaces this one.
    if (m_recovery.isActive() && !m_isCopyAdopted)
        return;
    for (const LogEntry &entry : entries) {
        apply(entry);
        serveReplicasIfDue();
        if (m_stopped)
            return;
    }
}

void ReplicaDriver::stopOnError(const Result<void> &stored)
{
    if (stored || m_stopped)
        return;
    m_stopped = true;
    m_reopenPause = m_settings.reopenPause;
    m_reopenAt = BootClock::now() + m_reopenPause;
    m_metrics.setReplicaAvailable(false);
    logEvent(LogLevel::Error, "replica-stopped",
             {{"replica", m_self.id},
              {"reason", stored.error().message},
              {"term", m_replica->term()},
              {"last_index", m_replica->log().lastIndex()},
              {"leads", m_wasLeader}});
    endLeadership();
}

void ReplicaDriver::endLeadership()
{
    failWaiters();
    if (std::exchange(m_wasLeader, false)) {
        m_metrics.setSilentVoters(0);
        m_monitor.leadershipEnded();
        m_observer.roleChanged(false);
    }
}

void ReplicaDriver::storeAll(const std::vector<Effect> &effects)
{
    bool needsSync = false;
    const bool installs = std::any_of(effects.begin(), effects.end(), [](const Effect &effect) {
        return std::holds_alternative<InstallSnapshot>(effect);
    });
    if (installs) {
        // The stored state is replaced by the current one, which includes all other effects.
        const EntryLog &log = m_replica->log();
        const std::vector<LogEntry> tail = log.slice(log.firstIndex(), SIZE_MAX, SIZE_MAX);
        // It may be stored without the entries after it.
        m_synced.index = std::min(m_synced.index, log.snapshot()->lastIndex);
        stopOnError(m_store->replaceBySnapshot(*log.snapshot(), m_replica->hardState(), tail));
        needsSync = true;
        m_bytesSinceSnapshot = 0;
    } else {
        for (const Effect &effect : effects) {
            std::visit(Overloaded{[&](const SaveHardState &save) {
                                      stopOnError(m_store->saveHardState(save.hardState));
                                      needsSync = true;
                                  },
                                  [&](const TruncateLog &truncate) {
                                      stopOnError(m_store->truncateFrom(truncate.from));
                                      // It may be stored without the entries after it.
                                      m_synced.index = std::min(m_synced.index, truncate.from - 1);
                                      needsSync = true;
                                  },
                                  [&](const AppendToLog &append) {
                                      stopOnError(m_store->append(append.entries));
                                      for (const LogEntry &entry : append.entries)
                                          m_bytesSinceSnapshot += entry.payload.size();
                                      needsSync = true;
                                  },
                                  [](const auto &) {}},
                       effect);
        }
    }
    if (!needsSync || m_stopped)
        return;
    const Instant started = BootClock::now();
    stopOnError(m_store->sync());
    if (!m_stopped)
        recordSynced();
    const Duration took = BootClock::now() - started;
    for (auto &[index, times] : m_entryTimes) {
        if (times.sync == Duration::zero())
            times.sync = took;
    }
    if (took >= m_settings.maxLeaderSync && leads())
        yieldSlowDisk(took);
}

void ReplicaDriver::yieldSlowDisk(Duration syncTook)
{
    // The disk of the leader before was slow as well.
    const bool keeps = m_replica->tookOver()
        && BootClock::now() - m_replica->leaderSince() < m_settings.minTransferredLeadership;
    logEvent(LogLevel::Warning, "disk-slow",
             {{"sync_ms", toMs(syncTook)}, {"keeps_leading", keeps}});
    if (!keeps)
        transferLeadership();
}

void ReplicaDriver::sendMessages(const std::vector<Effect> &effects, bool afterSync)
{
    std::map<std::string, ReplicaMessages> byAddress;
    for (const Effect &effect : effects) {
        const auto *message = std::get_if<SendMessage>(&effect);
        if (message == nullptr || message->afterSync != afterSync)
            continue;
        // The address that a replica sent itself is newer than the one in the membership.
        const ReplicaId &to = message->envelope.to;
        std::string address;
        if (const auto reported = m_reportedAddresses.find(to);
            reported != m_reportedAddresses.end())
            address = reported->second;
        else if (const Member *member = m_replica->membership().find(to))
            address = member->address;
        if (!address.empty())
            byAddress[address].envelopes.push_back(message->envelope);
    }
    for (auto &[address, messages] : byAddress) {
        messages.address = m_self.address;
        sendTo(address, std::move(messages));
    }
}

void ReplicaDriver::sendTo(const std::string &address, const FleetMessage &message)
{
    Peer &peer = m_peers[address];
    const Instant now = BootClock::now();
    if (!peer.connection) {
        if (now < peer.retryAt)
            return;
        peer.connection = std::make_unique<FrameConnection>(m_loop, m_settings.channel);
        peer.connection->setHandlers({}, [this, address](std::string_view) {
            Peer &lost = m_peers[address];
            lost.connection.reset();
            lost.retryAt = BootClock::now() + m_settings.reconnectPause;
        });
        peer.connection->connect(address);
    }
    peer.connection->send(encodeFrame(message));
}

void ReplicaDriver::apply(const LogEntry &entry)
{
    std::vector<StageOutcome> outcomes;
    if (entry.kind == EntryKind::Command) {
        try {
            const StageBatch batch = StageBatch::decode(entry.payload);
            for (const StageCommand &command : batch.commands) {
                outcomes.push_back(m_jobTable.apply(batch.time, command));
                if (m_wasLeader)
                    m_observer.applied(command, outcomes.back());
            }
        } catch (const Json::exception &error) {
            // The entry is unreadable on every replica, so all of them skip it.
            logEvent(LogLevel::Error, "entry-unreadable",
                     {{"index", entry.index}, {"reason", error.what()}});
        }
    }
    if (entry.index % m_settings.digestInterval == 0) {
        constexpr std::size_t digestsKept = 64;
        const StateDigest digest{entry.index, m_jobTable.stateDigest(),
                                 JobTable::stateDigestFormat};
        m_digests[entry.index] = digest;
        if (m_digests.size() > digestsKept)
            m_digests.erase(m_digests.begin());
        m_replica->updateDigest(digest);
    }
    logCommitted(entry.index);
    completeWaiters(entry.index, entry.term, outcomes);
}

void ReplicaDriver::logCommitted(LogIndex index)
{
    const auto found = m_entryTimes.find(index);
    if (found == m_entryTimes.end())
        return;
    const EntryTimes times = found->second;
    m_entryTimes.erase(found);
    const Duration commit = BootClock::now() - times.appendedAt;
    m_metrics.committed(times.commands, commit, times.sync);
    logEvent(LogLevel::Info, "entry-committed",
             {{"index", index},
              {"commands", times.commands},
              {"queued_ms", toMs(times.appendedAt - times.proposedAt)},
              {"sync_ms", toMs(times.sync)},
              {"commit_ms", toMs(commit)}});
}

void ReplicaDriver::completeWaiters(LogIndex index, Term term,
                                    std::span<const StageOutcome> outcomes)
{
    while (!m_waiters.empty() && m_waiters.begin()->first <= index) {
        const Waiter waiter = std::move(m_waiters.begin()->second);
        m_waiters.erase(m_waiters.begin());
        // If another leader's entry is at this index, the commands were not committed at it.
        const bool committed = waiter.count == 0
            || (waiter.term == term && waiter.first + waiter.count <= outcomes.size());
        waiter.done(committed,
                    committed && waiter.count > 0 ? outcomes.subspan(waiter.first, waiter.count)
                                                  : std::span<const StageOutcome>());
    }
}

void ReplicaDriver::failWaiters()
{
    m_entryTimes.clear();
    std::multimap<LogIndex, Waiter> waiters = std::exchange(m_waiters, {});
    for (auto &[index, waiter] : waiters)
        waiter.done(false, {});
    std::vector<Proposal> proposals = std::exchange(m_proposals, {});
    for (Proposal &proposal : proposals)
        proposal.done(false, {});
}

void ReplicaDriver::handleRoleChange(const RoleChanged &change)
{
    logEvent(LogLevel::Info, "role-changed",
             {{"replica", m_self.id},
              {"leads", change.role == ReplicaRole::Leader},
              {"term", change.term},
              {"leader", change.leader},
              {"reason", nameOf(change.reason)},
              {change.quorumContactAge ? "quorum_contact_ms" : "leader_contact_ms",
               toMs(change.quorumContactAge.value_or(change.leaderContactAge))}});
    // Without a state, it leads only until another replica has its log.
    const bool leadsNow = change.role == ReplicaRole::Leader && !m_recovery.isActive();
    if (leadsNow == m_wasLeader)
        return;
    m_wasLeader = leadsNow;
    m_metrics.leadershipChanged();
    m_silentVoters.clear();
    m_metrics.setSilentVoters(0);
    m_monitor.leadershipEnded();
    if (!leadsNow)
        failWaiters();
    m_observer.roleChanged(leadsNow);
}

bool ReplicaDriver::takeSnapshot()
{
    // The snapshot stores the current membership, so the entry of that must be applied.
    const LogIndex index = m_replica->appliedIndex();
    if (m_replica->log().membershipIndex() > index || index < m_replica->log().firstIndex())
        return false;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = index;
    snapshot->lastTerm = *m_replica->log().termAt(index);
    snapshot->membership = m_replica->membership();
    snapshot->data = m_jobTable.save();
    m_replica->compact(snapshot);
    const EntryLog &log = m_replica->log();
    const std::vector<LogEntry> tail = log.slice(log.firstIndex(), SIZE_MAX, SIZE_MAX);
    stopOnError(m_store->replaceBySnapshot(*snapshot, m_replica->hardState(), tail));
    if (m_stopped)
        return false;
    m_bytesSinceSnapshot = 0;
    logEvent(LogLevel::Info, "snapshot-taken",
             {{"index", index}, {"bytes", snapshot->data.size()}});
    return true;
}

} // namespace guavashift
