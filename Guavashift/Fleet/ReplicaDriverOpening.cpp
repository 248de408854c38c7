#include <Guavashift/Fleet/ReplicaDriver.h>

#include <Guavashift/Consensus/DataFolder.h>
#include <Guavashift/Core/Address.h>

// The part of ReplicaDriver that opens the replica, at the start and after its disk failed.

namespace guavashift {

namespace {

constexpr std::string_view clusterName = "fleet";
/// Incarnation of the seeds' disks at the first start. A constant, so that each seed can work out
/// the replica ids of the others.
constexpr std::string_view firstIncarnation = "first";

std::string ipOf(const std::string &address)
{
    const Result<Address> parsed = Address::parse(address);
    return parsed ? parsed->ip : std::string();
}

LogIndex lastIndexOf(const PersistentState &state)
{
    if (!state.entries.empty())
        return state.entries.back().index;
    return state.snapshot ? state.snapshot->lastIndex : 0;
}

} // namespace

bool ReplicaDriver::isSeed() const
{
    return std::find(m_fleet.seeds.begin(), m_fleet.seeds.end(), m_fleet.channelAddress())
        != m_fleet.seeds.end();
}

Membership ReplicaDriver::initialMembership() const
{
    // All seeds have the same list of seeds in their settings, so they write the same entry.
    std::vector<std::string> seeds = m_fleet.seeds;
    std::sort(seeds.begin(), seeds.end());
    Membership membership;
    for (const std::string &seed : seeds) {
        const std::string ip = ipOf(seed);
        membership.members.push_back({ReplicaId{fmt::format("{}/{}", ip, firstIncarnation)}, ip,
                                      seed, FailureDomain{}, true});
    }
    return membership;
}

Result<PersistentState> ReplicaDriver::loadOrBootstrap()
{
    const std::filesystem::path path(m_fleet.dataFolder);
    const bool isNew = !std::filesystem::exists(path / "identity");
    const bool isFirst = isNew && m_fleet.firstStart && isSeed();
    Result<DataFolder> folder = isFirst
        ? DataFolder::openWithIncarnation(path, clusterName, m_fleet.ip, firstIncarnation)
        : DataFolder::open(path, clusterName, m_fleet.ip, m_random());
    if (!folder)
        return tl::unexpected(folder.error());
    m_self = {folder->replica(), m_fleet.ip, m_fleet.channelAddress(), FailureDomain{m_fleet.zone},
              false};
    Result<PersistentState> opened = openStore();
    if (!opened)
        return opened;
    PersistentState &state = *opened;
    const bool wasFirst = m_self.id.value.ends_with(fmt::format("/{}", firstIncarnation));
    // Repeats a first start that was interrupted before its entry was stored.
    if (wasFirst && !state.snapshot && state.entries.empty()) {
        state.hardState = {1, {}};
        state.entries = {{1, 1, EntryKind::Membership, Json(initialMembership()).dump()}};
        Result<void> stored = m_store->saveHardState(state.hardState);
        if (stored)
            stored = m_store->append(state.entries);
        if (stored)
            stored = m_store->sync();
        if (!stored)
            return tl::unexpected(stored.error());
    }
    return opened;
}

Result<PersistentState> ReplicaDriver::openStore()
{
    PersistentState state;
    Result<std::unique_ptr<LogStore>> store = m_openStore(m_fleet.dataFolder, state);
    if (!store)
        return tl::unexpected(store.error());
    m_store = std::move(*store);
    return state;
}

Result<PersistentState> ReplicaDriver::openAsNewReplica()
{
    const Result<DataFolder> folder =
        DataFolder::renew(m_fleet.dataFolder, clusterName, m_fleet.ip, m_random());
    if (!folder)
        return tl::unexpected(folder.error());
    // What is left in the folder is older than what was confirmed under the old name, and as good
    // as what any new replica receives first.
    m_self.id = folder->replica();
    return openStore();
}

Result<void> ReplicaDriver::open()
{
    Result<PersistentState> state = loadOrBootstrap();
    if (!state)
        return tl::unexpected(state.error());
    startReplica(std::move(*state));
    scheduleTick();
    return {};
}

void ReplicaDriver::startReplica(PersistentState state)
{
    m_jobTable.clear();
    const LogIndex snapshotIndex = state.snapshot ? state.snapshot->lastIndex : 0;
    const Result<void> loaded =
        state.snapshot ? m_jobTable.load(state.snapshot->data) : Result<void>();
    m_bytesSinceSnapshot = 0;
    for (const LogEntry &entry : state.entries)
        m_bytesSinceSnapshot += entry.payload.size();
    logEvent(LogLevel::Info, "replica-opened",
             {{"replica", m_self.id},
              {"term", state.hardState.term},
              {"entries", state.entries.size()},
              {"has_snapshot", state.snapshot != nullptr}});
    m_replica = std::make_unique<Replica>(m_settings.replica, m_self.id, std::move(state),
                                          m_random(), BootClock::now());
    recordSynced();
    m_stopped = false;
    m_hasLostEntries = false;
    m_isCopyAdopted = false;
    if (!loaded)
        discardState(loaded.error().message, snapshotIndex);
    else if (DataFolder::isStateWrong(m_fleet.dataFolder))
        discardState("the data folder leads to a state that was discarded", snapshotIndex);
    m_replica->setStateUsable(BootClock::now(), !m_recovery.isActive());
    m_metrics.setReplicaAvailable(m_replica->membership().find(m_self.id) != nullptr);
}

void ReplicaDriver::recordSynced()
{
    m_synced = {m_replica->term(), m_replica->log().lastIndex()};
}

void ReplicaDriver::reopen()
{
    // Nothing that the replica held in memory may be used: it may not be on the disk.
    m_deferred.clear();
    m_digests.clear();
    m_stateRequests.clear();
    m_supply.clear();
    m_store.reset();
    Result<PersistentState> state = m_hasLostEntries ? openAsNewReplica() : openStore();
    // A replica that has forgotten its votes or entries must not take part under its name.
    if (state && !m_hasLostEntries
        && (state->hardState.term < m_synced.term || lastIndexOf(*state) < m_synced.index)) {
        m_hasLostEntries = true;
        logEvent(LogLevel::Error, "replica-renamed",
                 {{"replica", m_self.id},
                  {"reason", "the data folder has lost what was synced"},
                  {"term", state->hardState.term},
                  {"last_index", lastIndexOf(*state)},
                  {"synced_term", m_synced.term},
                  {"synced_index", m_synced.index}});
        m_store.reset();
        state = openAsNewReplica();
    }
    if (state)
        return startReplica(std::move(*state));
    m_reopenPause = std::min(m_reopenPause * 2, m_settings.maxReopenPause);
    m_reopenAt = BootClock::now() + m_reopenPause;
    logEvent(LogLevel::Warning, "replica-not-reopened",
             {{"replica", m_self.id},
              {"reason", state.error().message},
              {"next_ms", toMs(m_reopenPause)}});
}

} // namespace guavashift
