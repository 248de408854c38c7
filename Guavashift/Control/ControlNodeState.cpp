#include <Guavashift/Control/ControlNode.h>

// The part of ControlNode that applies committed entries and keeps snapshots.

namespace guavashift {

namespace {

constexpr Duration firstRebuildPause = std::chrono::seconds(1);
constexpr Duration maxRebuildPause = std::chrono::seconds(60);

Json outcomesToJson(std::span<const Outcome> outcomes)
{
    Json list = Json::array();
    for (const Outcome &outcome : outcomes)
        list.push_back(variantToJson(outcome));
    return list;
}

} // namespace

void ControlNode::applyEntries(const ApplyEntries &apply)
{
    for (const LogEntry &entry : apply.entries)
        applyEntry(entry);
}

void ControlNode::applyEntry(const LogEntry &entry)
{
    std::vector<Outcome> outcomes;
    if (entry.kind == EntryKind::Command) {
        try {
            outcomes = m_state.apply(CommandBatch::decode(entry.payload));
        } catch (const Json::exception &error) {
            // Decoding fails alike on every replica, so all of them skip the entry.
            logEvent(LogLevel::Error, "entry-unreadable",
                     {{"index", entry.index}, {"reason", error.what()}});
        }
    }
    const Json result = outcomesToJson(outcomes);
    m_digest = hashBytes(hexOf(m_digest) + hexOf(entry.index) + result.dump());
    if (entry.index % m_settings.digestInterval == 0) {
        constexpr std::size_t digestsKept = 64;
        m_digests[entry.index] = m_digest;
        if (m_digests.size() > digestsKept)
            m_digests.erase(m_digests.begin());
        m_replica->updateDigest({entry.index, m_digest});
    }
    const auto [first, last] = m_waiters.equal_range(entry.index);
    for (auto at = first; at != last; ++at) {
        Waiter &waiter = at->second;
        // Another leader's entry has this index: the proposal was not committed at it.
        if (waiter.term != entry.term) {
            waiter.promise->set_value(fail(ErrorCode::Timeout, "leadership was lost"));
            continue;
        }
        Json own = Json::array();
        for (std::size_t i = waiter.first; i < waiter.first + waiter.count; ++i)
            own.push_back(i < result.size() ? result[i] : Json());
        waiter.promise->set_value(std::move(own));
    }
    m_waiters.erase(first, last);
}

void ControlNode::installSnapshot(const InstallSnapshot &install)
{
    if (const Result<void> loaded = loadSnapshot(*install.snapshot); !loaded)
        storageFailed(loaded.error());
}

Result<void> ControlNode::loadSnapshot(const Snapshot &snapshot)
{
    const std::string_view data = snapshot.data;
    constexpr std::size_t digestLength = 16;
    if (data.size() < digestLength)
        return fail(ErrorCode::Io, "the snapshot is cut off");
    if (Result<void> decoded = SnapshotCodec::decode(data.substr(digestLength), m_state); !decoded)
        return decoded;
    m_digest = std::stoull(std::string(data.substr(0, digestLength)), nullptr, 16);
    m_digests.clear();
    m_snapshotIndex = snapshot.lastIndex;
    logEvent(LogLevel::Info, "snapshot-installed",
             {{"index", m_snapshotIndex}, {"bytes", data.size()}});
    return {};
}

void ControlNode::startSnapshot()
{
    // The snapshot must not contain a membership change that comes after its index.
    const LogIndex index = m_replica->appliedIndex();
    if (m_snapshotJob.valid() || m_replica->log().membershipIndex() > index || m_rebuildAt)
        return;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->lastIndex = index;
    snapshot->lastTerm = *m_replica->log().termAt(index);
    snapshot->membership = m_replica->membership();
    snapshot->data = hexOf(m_digest);
    // Encoding a large state takes longer than an election timeout, so another thread encodes a
    // copy.
    m_snapshotJob =
        std::async(std::launch::async, [snapshot, state = m_state]() -> SnapshotPointer {
            snapshot->data += SnapshotCodec::encode(state);
            return snapshot;
        });
}

void ControlNode::finishSnapshot()
{
    if (!m_snapshotJob.valid()
        || m_snapshotJob.wait_for(Duration::zero()) != std::future_status::ready)
        return;
    const SnapshotPointer snapshot = m_snapshotJob.get();
    // The leader may have sent a newer snapshot in the meantime, or the state was found to be
    // wrong.
    if (snapshot->lastIndex < m_replica->log().firstIndex() || m_rebuildAt)
        return;
    const Instant started = BootClock::now();
    m_snapshotIndex = snapshot->lastIndex;
    m_replica->compact(snapshot);
    const EntryLog &log = m_replica->log();
    const std::vector<LogEntry> tail = log.slice(log.firstIndex(), SIZE_MAX, SIZE_MAX);
    if (Result<void> stored = m_store->replaceBySnapshot(*snapshot, m_replica->hardState(), tail);
        !stored) {
        storageFailed(stored.error());
        return;
    }
    logEvent(LogLevel::Info, "snapshot-taken",
             {{"index", m_snapshotIndex},
              {"bytes", snapshot->data.size()},
              {"stored_ms", toMs(BootClock::now() - started)}});
}

void ControlNode::compareDigest(const CompareDigest &compare)
{
    const auto found = m_digests.find(compare.digest.index);
    if (found == m_digests.end() || m_rebuildAt
        || !StateDigest{found->first, found->second}.contradicts(compare.digest))
        return;
    const Instant now = BootClock::now();
    m_rebuildPause = std::clamp(m_rebuildPause * 2, firstRebuildPause, maxRebuildPause);
    m_rebuildAt = now + m_rebuildPause;
    logEvent(LogLevel::Error, "state-discarded",
             {{"reason", "a quorum of the voters has another state"},
              {"index", compare.digest.index},
              {"rebuilt_in_ms", toMs(m_rebuildPause)}});
    for (auto &[index, waiter] : m_waiters)
        waiter.promise->set_value(fail(ErrorCode::Timeout, "the state of this replica is wrong"));
    m_waiters.clear();
    m_replica->setStateUsable(now, false);
}

void ControlNode::rebuildState()
{
    if (!m_rebuildAt || BootClock::now() < *m_rebuildAt)
        return;
    m_rebuildAt.reset();
    stopReplica({ErrorCode::Conflict, "the state is built again"});
    m_reopenAt = BootClock::now();
}

} // namespace guavashift
