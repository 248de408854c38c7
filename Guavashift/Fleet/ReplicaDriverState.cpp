#include <Guavashift/Consensus/DataFolder.h>
#include <Guavashift/Fleet/ReplicaDriver.h>

// The part of ReplicaDriver that compares the state with that of other replicas, and replaces it.

namespace guavashift {

namespace {

/// Time after which a copy is given up that the log does not reach.
constexpr Duration maxCopyAge = std::chrono::seconds(2);
constexpr Duration disputeReportInterval = std::chrono::seconds(5);

} // namespace

void ReplicaDriver::checkDigest(const StateDigest &agreed)
{
    const auto found = m_digests.find(agreed.index);
    if (found == m_digests.end() || !found->second.contradicts(agreed))
        return;
    if (!m_recovery.isActive()) {
        markStoredState(true);
        return discardState("a quorum of the voters has another state", agreed.index);
    }
    m_digests.clear();
    rejectCopy("a quorum of the voters has another state");
}

void ReplicaDriver::discardState(std::string_view reason, LogIndex index)
{
    if (m_recovery.isActive())
        return;
    const Instant now = BootClock::now();
    m_recovery.begin(now);
    m_isCopyAdopted = false;
    m_digests.clear();
    m_supply.clear();
    m_metrics.setStateUsable(false);
    logEvent(LogLevel::Error, "state-discarded",
             {{"replica", m_self.id},
              {"reason", reason},
              {"index", index},
              {"term", m_replica->term()},
              {"applied_index", m_replica->appliedIndex()},
              {"leads", m_wasLeader}});
    endLeadership();
    m_replica->setStateUsable(now, false);
}

void ReplicaDriver::markStoredState(bool isWrong)
{
    if (const Result<void> marked = DataFolder::markState(m_fleet.dataFolder, isWrong); !marked)
        logEvent(LogLevel::Error, "state-not-marked",
                 {{"replica", m_self.id}, {"wrong", isWrong}, {"reason", marked.error().message}});
}

void ReplicaDriver::useState(LogIndex index)
{
    const Instant now = BootClock::now();
    markStoredState(false);
    logEvent(LogLevel::Info, "state-recovered",
             {{"replica", m_self.id},
              {"index", index},
              {"applied_index", m_replica->appliedIndex()},
              {"after_ms", toMs(now - m_recovery.since())}});
    m_recovery.end(now);
    m_replica->setStateUsable(now, true);
    m_metrics.setStateUsable(true);
    // It was elected without a state, and nobody was told that it leads.
    if (m_replica->isLeader())
        (void)m_replica->transferLeadership(now);
}

void ReplicaDriver::installSnapshot(const SnapshotPointer &snapshot)
{
    m_digests.clear();
    if (const Result<void> loaded = m_jobTable.load(snapshot->data); !loaded) {
        // A copy that was adopted before lacks the entries that the snapshot covers.
        if (m_recovery.isActive())
            return rejectCopy(loaded.error().message);
        return discardState(loaded.error().message, snapshot->lastIndex);
    }
    logEvent(LogLevel::Info, "snapshot-installed",
             {{"index", snapshot->lastIndex}, {"bytes", snapshot->data.size()}});
    if (m_recovery.isActive())
        useState(snapshot->lastIndex);
}

void ReplicaDriver::recoverState()
{
    if (!m_recovery.isActive())
        return;
    if (m_isCopyAdopted)
        return storeAdoptedState();
    if (const StateCopy *copy = m_recovery.copy())
        return adoptState(*copy);
    std::vector<std::string> others = addresses();
    std::erase(others, m_self.address);
    const std::optional<StateRecovery::Request> request =
        m_recovery.nextRequest(BootClock::now(), others);
    if (!request)
        return;
    if (request->offset == 0)
        logEvent(LogLevel::Info, "state-requested",
                 {{"replica", m_self.id},
                  {"from", request->address},
                  {"waits_ms", toMs(BootClock::now() - m_recovery.since())}});
    sendTo(request->address, StateRequest{m_self.address, request->index, request->offset});
}

void ReplicaDriver::rejectCopy(std::string_view reason)
{
    logEvent(LogLevel::Warning, "state-rejected", {{"replica", m_self.id}, {"reason", reason}});
    m_isCopyAdopted = false;
    m_recovery.rejectCopy(BootClock::now());
}

void ReplicaDriver::adoptState(const StateCopy &copy)
{
    const EntryLog &log = m_replica->log();
    if (copy.index > log.lastIndex()) {
        // The leader still sends the entries up to the copy, or a snapshot in their place.
        if (m_recovery.copyAge(BootClock::now()) > maxCopyAge)
            rejectCopy("the log does not reach it");
        return;
    }
    if (!m_replica->replaceState(copy.index, copy.term))
        return rejectCopy("the log does not continue it");
    if (const Result<void> loaded = m_jobTable.load(copy.data); !loaded)
        return rejectCopy(loaded.error().message);
    const StateDigest digest{copy.index, m_jobTable.stateDigest(), JobTable::stateDigestFormat};
    if (digest.contradicts({copy.index, copy.digest, copy.format}))
        return rejectCopy("it is not the state that was sent");
    // Copies, since a snapshot of the leader may shorten the log meanwhile.
    const LogIndex applied = m_replica->appliedIndex();
    const std::vector<LogEntry> entries = applied > copy.index
        ? log.slice(copy.index + 1, applied - copy.index, SIZE_MAX)
        : std::vector<LogEntry>();
    m_isCopyAdopted = true;
    applyAll(entries);
    if (!m_stopped)
        processEffects();
}

void ReplicaDriver::storeAdoptedState()
{
    // What the disk holds leads to the state that was discarded, until a snapshot replaces it.
    const LogIndex index = m_replica->appliedIndex();
    if (takeSnapshot())
        useState(index);
}

void ReplicaDriver::stateRequested(const StateRequest &request)
{
    // Answered at the end of the round, when everything committed is applied.
    m_stateRequests.push_back(request);
}

void ReplicaDriver::stateReceived(const StatePart &part)
{
    m_recovery.receive(BootClock::now(), part);
}

bool ReplicaDriver::maySupplyState() const
{
    return !m_recovery.isActive() && m_replica->appliedIndex() > 0
        && m_replica->membership().find(m_self.id) != nullptr;
}

void ReplicaDriver::serveStates()
{
    const Instant now = BootClock::now();
    m_supply.removeUnused(now);
    const std::vector<StateRequest> requests = std::exchange(m_stateRequests, {});
    if (!maySupplyState())
        return;
    const auto makeCopy = [this] {
        const LogIndex index = m_replica->appliedIndex();
        return StateCopy{index, *m_replica->log().termAt(index), m_jobTable.save(),
                         m_jobTable.stateDigest(), JobTable::stateDigestFormat};
    };
    for (const StateRequest &request : requests)
        sendTo(request.address, m_supply.answer(now, request, makeCopy));
}

void ReplicaDriver::reportDispute(Instant now)
{
    const std::optional<LogIndex> disputed = m_replica->disputedState();
    if (!disputed || *disputed <= m_disputedIndex || now < m_nextDisputeReport)
        return;
    m_disputedIndex = *disputed;
    m_nextDisputeReport = now + disputeReportInterval;
    logEvent(LogLevel::Error, "states-differ",
             {{"index", *disputed}, {"reason", "no quorum of the voters has the same state"}});
}

} // namespace guavashift
