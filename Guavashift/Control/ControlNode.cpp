#include <Guavashift/Control/ControlNode.h>

namespace guavashift {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds(10);
constexpr Duration dutiesInterval = std::chrono::milliseconds(50);
constexpr Duration answerTimeout = std::chrono::seconds(2);
/// Pause between attempts to open the data folder again after it failed.
constexpr Duration reopenInterval = std::chrono::seconds(1);
/// Limit of commands in one log entry; a larger proposal has an entry of its own.
constexpr std::size_t maxCommandsPerEntry = 512;

} // namespace

ControlNode::ControlNode(const ControlNodeSettings &settings, DataFolder folder, Member self,
                         std::vector<std::string> controlAddresses, Telemetry &telemetry,
                         std::uint64_t seed)
    : m_settings(settings)
    , m_folder(std::move(folder))
    , m_self(std::move(self))
    , m_telemetry(telemetry)
    , m_random(seed)
    , m_joinLoop(settings.rpc, m_self, std::move(controlAddresses))
    , m_planner(settings.membership)
    , m_duties(settings.leases, settings.scheduler, seed)
{
}

ControlNode::~ControlNode()
{
    stop();
}

Result<void> ControlNode::start()
{
    if (Result<void> opened = openReplica(); !opened)
        return opened;
    m_thread = std::thread([this] { run(); });
    return {};
}

Result<void> ControlNode::openReplica()
{
    PersistentState state;
    Result<std::unique_ptr<FileLogStore>> store = FileLogStore::open(m_folder.path(), state);
    if (!store)
        return tl::unexpected(store.error());
    m_store = std::move(*store);
    // A replica that has forgotten its votes or entries must not take part under its name.
    const LogIndex last = !state.entries.empty() ? state.entries.back().index
        : state.snapshot                         ? state.snapshot->lastIndex
                                                 : 0;
    if (state.hardState.term < m_syncedTerm || last < m_syncedIndex)
        return fail(ErrorCode::Conflict, "the data folder has lost what was synced");
    m_state = StateMachine();
    m_digest = 0;
    m_digests.clear();
    m_snapshotIndex = 0;
    if (state.snapshot) {
        if (Result<void> loaded = loadSnapshot(*state.snapshot); !loaded)
            return loaded;
    }
    makeReplica(std::move(state));
    logEvent(LogLevel::Info, "replica-opened",
             {{"replica", m_self.id},
              {"term", m_replica->term()},
              {"last_index", m_replica->log().lastIndex()},
              {"snapshot_index", m_snapshotIndex}});
    return {};
}

void ControlNode::reopenReplica()
{
    if (!m_reopenAt || BootClock::now() < *m_reopenAt)
        return;
    // The snapshot that is being made may contain entries that the disk does not hold.
    if (m_snapshotJob.valid())
        (void)m_snapshotJob.get();
    m_needsSync = false;
    m_store.reset();
    if (const Result<void> opened = openReplica(); !opened) {
        logEvent(LogLevel::Warning, "replica-not-reopened", {{"reason", opened.error().message}});
        // What is lost does not come back.
        if (opened.error().code == ErrorCode::Conflict)
            m_reopenAt.reset();
        else
            m_reopenAt = BootClock::now() + reopenInterval;
        return;
    }
    m_reopenAt.reset();
    m_rebuildAt.reset();
    m_stopped = false;
    m_hasFailed = false;
}

void ControlNode::makeReplica(PersistentState state)
{
    m_replica = std::make_unique<Replica>(m_settings.replica, m_self.id, std::move(state),
                                          m_random(), BootClock::now());
    recordSynced();
}

void ControlNode::recordSynced()
{
    m_syncedTerm = m_replica->term();
    m_syncedIndex = m_replica->log().lastIndex();
}

void ControlNode::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping)
            return;
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void ControlNode::post(Work work)
{
    {
        const std::lock_guard lock(m_mutex);
        m_posted.push_back(std::move(work));
    }
    m_wakeUp.notify_one();
}

Result<Json> ControlNode::postAndWait(std::function<Result<Json>()> work)
{
    auto promise = std::make_shared<OutcomePromise>();
    std::future<Result<Json>> future = promise->get_future();
    post([this, promise, work = std::move(work)] {
        promise->set_value(m_stopped ? Result<Json>(fail(ErrorCode::Unavailable, m_stopReason))
                                     : work());
    });
    if (future.wait_for(answerTimeout) != std::future_status::ready)
        return fail(ErrorCode::Timeout, "the control process did not answer in time");
    return future.get();
}

void ControlNode::run()
{
    for (;;) {
        {
            std::unique_lock lock(m_mutex);
            m_wakeUp.wait_for(lock, tickInterval,
                              [this] { return m_stopping || !m_posted.empty(); });
            if (m_stopping)
                break;
        }
        runPosted();
        rebuildState();
        if (m_stopped)
            reopenReplica();
        if (m_stopped)
            continue;
        const Instant now = BootClock::now();
        m_replica->tick(now);
        proposePending();
        processEffects();
        if (!m_stopped && m_replica->isLeader() && now >= m_nextDuties) {
            m_nextDuties = now + dutiesInterval;
            doLeaderDuties(now);
        }
        updateJoinLoop();
        if (m_stopped)
            continue;
        if (m_replica->appliedIndex() >= m_snapshotIndex + m_settings.snapshotInterval)
            startSnapshot();
        finishSnapshot();
    }
    // The outcome of commands that are not committed yet is unknown: their callers get Timeout.
    for (auto &[index, waiter] : m_waiters)
        waiter.promise->set_value(fail(ErrorCode::Timeout, "the control process stops"));
    m_waiters.clear();
    runPosted();
}

void ControlNode::runPosted()
{
    std::deque<Work> posted;
    {
        const std::lock_guard lock(m_mutex);
        posted.swap(m_posted);
    }
    for (const Work &work : posted)
        work();
}

void ControlNode::proposePending()
{
    std::vector<Proposal> proposals = std::exchange(m_proposals, {});
    std::size_t next = 0;
    while (next < proposals.size()) {
        // Proposals that arrived since the last round share a log entry.
        CommandBatch batch;
        batch.time = wallNow();
        std::vector<Waiter> waiters;
        while (next < proposals.size()
               && (batch.commands.empty()
                   || batch.commands.size() + proposals[next].commands.size()
                       <= maxCommandsPerEntry)) {
            Proposal &proposal = proposals[next++];
            waiters.push_back({m_replica->term(), batch.commands.size(), proposal.commands.size(),
                               proposal.promise});
            std::move(proposal.commands.begin(), proposal.commands.end(),
                      std::back_inserter(batch.commands));
        }
        const Result<LogIndex> index = m_replica->propose(BootClock::now(), batch.encode());
        for (Waiter &waiter : waiters) {
            if (!waiter.promise)
                continue;
            if (index)
                m_waiters.emplace(*index, std::move(waiter));
            else
                waiter.promise->set_value(
                    fail(index.error().code, notLeaderMessage(leaderAddress())));
        }
    }
}

void ControlNode::processEffects()
{
    for (;;) {
        const std::vector<Effect> effects = m_replica->takeEffects();
        if (effects.empty() || m_stopped)
            return;
        // The leader sends new entries to its followers while its own disk writes them.
        sendMessages(effects, false);
        const bool installs = std::any_of(effects.begin(), effects.end(), [](const Effect &effect) {
            return std::holds_alternative<InstallSnapshot>(effect);
        });
        if (installs) {
            // The current state replaces the stored one and includes all other effects.
            const EntryLog &log = m_replica->log();
            const std::vector<LogEntry> tail = log.slice(log.firstIndex(), SIZE_MAX, SIZE_MAX);
            if (Result<void> stored =
                    m_store->replaceBySnapshot(*log.snapshot(), m_replica->hardState(), tail);
                !stored)
                storageFailed(stored.error());
            m_needsSync = true;
        } else {
            for (const Effect &effect : effects)
                store(effect);
        }
        if (m_needsSync && !m_stopped) {
            if (Result<void> synced = m_store->sync(); !synced)
                storageFailed(synced.error());
            m_needsSync = false;
        }
        if (m_stopped)
            return;
        recordSynced();
        m_replica->synced(BootClock::now());
        sendMessages(effects, true);
        for (const Effect &effect : effects) {
            std::visit(
                Overloaded{[this](const ApplyEntries &apply) { applyEntries(apply); },
                           [this](const InstallSnapshot &install) { installSnapshot(install); },
                           [this](const CompareDigest &compare) { compareDigest(compare); },
                           [this](const RoleChanged &change) { roleChanged(change); },
                           [](const auto &) {}},
                effect);
        }
    }
}

void ControlNode::store(const Effect &effect)
{
    const auto check = [this](const Result<void> &stored) {
        m_needsSync = true;
        if (!stored)
            storageFailed(stored.error());
    };
    std::visit(
        Overloaded{
            [&](const SaveHardState &save) { check(m_store->saveHardState(save.hardState)); },
            [&](const TruncateLog &truncate) {
                m_syncedIndex = std::min(m_syncedIndex, truncate.from - 1);
                check(m_store->truncateFrom(truncate.from));
            },
            [&](const AppendToLog &append) { check(m_store->append(append.entries)); },
            [](const auto &) {}},
        effect);
}

void ControlNode::storageFailed(const Error &error)
{
    stopReplica(error);
    m_reopenAt = BootClock::now() + reopenInterval;
}

void ControlNode::stopReplica(const Error &error)
{
    m_stopped = true;
    m_hasFailed = true;
    m_hasLeader = false;
    m_stopReason = "this replica does not take part: " + error.message;
    leaderGauge().Set(0);
    logEvent(LogLevel::Error, "replica-stopped", {{"reason", error.message}});
    for (auto &[index, waiter] : m_waiters)
        waiter.promise->set_value(fail(ErrorCode::Timeout, m_stopReason));
    m_waiters.clear();
}

PeerLink *ControlNode::linkTo(const ReplicaId &id)
{
    // The address in a replica's own messages is newer than that in the membership.
    std::string text;
    if (const auto sent = m_addresses.find(id); sent != m_addresses.end())
        text = sent->second;
    else if (const Member *member = m_replica->membership().find(id))
        text = member->address;
    const Result<Address> address = Address::parse(text);
    if (!address)
        return nullptr;
    std::unique_ptr<PeerLink> &link = m_peers[id];
    if (!link || link->address() != *address) {
        // The destructor waits for the link's last call, which must not block this thread.
        if (link)
            std::thread([old = std::move(link)] {}).detach();
        link = std::make_unique<PeerLink>(m_settings.rpc, *address, m_self.address);
    }
    return link.get();
}

void ControlNode::sendMessages(const std::vector<Effect> &effects, bool afterSync)
{
    for (const Effect &effect : effects) {
        const auto *message = std::get_if<SendMessage>(&effect);
        if (message == nullptr || message->afterSync != afterSync)
            continue;
        if (PeerLink *link = linkTo(message->envelope.to))
            link->send(message->envelope);
    }
}

void ControlNode::roleChanged(const RoleChanged &change)
{
    m_hasLeader = !change.leader.isEmpty();
    logEvent(LogLevel::Info, "role-changed",
             {{"replica", m_self.id},
              {"role", static_cast<int>(change.role)},
              {"term", change.term},
              {"leader", change.leader},
              {"reason", nameOf(change.reason)},
              {change.quorumContactAge ? "quorum_contact_ms" : "leader_contact_ms",
               toMs(change.quorumContactAge.value_or(change.leaderContactAge))}});
    leaderGauge().Set(change.role == ReplicaRole::Leader ? 1 : 0);
    if (change.role == ReplicaRole::Leader)
        m_duties.start(BootClock::now(), change.term);
}

prometheus::Gauge &ControlNode::leaderGauge()
{
    return m_telemetry.metrics().gauge("guavashift_control_is_leader",
                                       "1 while this replica leads");
}

void ControlNode::updateJoinLoop()
{
    const bool isMember = m_replica->membership().find(m_self.id) != nullptr;
    m_joinLoop.setEnabled(!m_stopped && (!isMember || m_replica->leader().isEmpty()));
}

std::string ControlNode::leaderAddress() const
{
    if (const auto sent = m_addresses.find(m_replica->leader()); sent != m_addresses.end())
        return sent->second;
    const Member *member = m_replica->membership().find(m_replica->leader());
    return member == nullptr ? std::string() : member->address;
}

Result<void> ControlNode::requireLease() const
{
    if (!m_replica->isLeader())
        return fail(ErrorCode::NotLeader, notLeaderMessage(leaderAddress()));
    if (!m_replica->hasLease(BootClock::now()))
        return fail(ErrorCode::Unavailable, "the leader has no contact with a quorum");
    return {};
}

void ControlNode::doLeaderDuties(Instant now)
{
    if (!m_replica->hasLease(now))
        return;
    // Decisions are based on the applied state, so none are made while log entries are pending.
    if (m_replica->appliedIndex() == m_replica->log().lastIndex()) {
        std::vector<CommandBody> commands = m_duties.decide(m_state, now, wallNow());
        if (!commands.empty())
            m_proposals.push_back({std::move(commands), nullptr});
    }
    const std::optional<Membership> next = m_planner.plan(
        m_replica->membership(), m_self.id, m_replica->commitIndex(), now,
        [this](const ReplicaId &id) {
            return ReplicaHealth{m_replica->matchIndex(id), m_replica->lastContact(id)};
        });
    if (next && m_replica->proposeMembership(now, *next))
        logEvent(LogLevel::Info, "membership-proposed",
                 {{"members", next->members.size()}, {"voters", next->voterCount()}});
}

void ControlNode::transferLeadership(Duration timeout)
{
    const Instant deadline = BootClock::now() + timeout;
    for (bool isRequested = false; BootClock::now() < deadline;) {
        const Result<Json> isLeader = postAndWait([this, isRequested]() -> Result<Json> {
            if (m_replica->isLeader() && !isRequested)
                (void)m_replica->transferLeadership(BootClock::now());
            return Json(m_replica->isLeader());
        });
        if (!isLeader || !isLeader->get<bool>())
            return;
        isRequested = true;
        std::this_thread::sleep_for(tickInterval);
    }
}

} // namespace guavashift
