#include <UnitTests/Consensus/SimulatedCluster.h>

#include <algorithm>

namespace guavashift {

namespace {

constexpr Duration stepLength = std::chrono::milliseconds(10);

std::string describeEntry(const LogEntry &entry)
{
    return fmt::format("{}:{}:{}", entry.term, static_cast<int>(entry.kind), entry.payload);
}

} // namespace

SimulatedCluster::SimulatedCluster(const SimulatedClusterSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed)
    , m_planner(settings.planner)
{
    m_vms.resize(settings.vms);
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        m_vms[i].name = fmt::format("vm{}", i);
        m_vms[i].id.value = m_vms[i].name + "/1";
    }
    // The first VM is bootstrapped; the others join.
    Member first = memberOf(m_vms[0]);
    first.voter = true;
    m_vms[0].disk.replace(nullptr, {1, {}},
                          {{1, 1, EntryKind::Membership, Json(Membership{{first}}).dump()}});
    for (Vm &vm : m_vms)
        start(vm);
}

Member SimulatedCluster::memberOf(const Vm &vm) const
{
    return {vm.id, vm.name, vm.name, FailureDomain{vm.name}, false};
}

SimulatedCluster::Vm *SimulatedCluster::find(const ReplicaId &id)
{
    const auto found =
        std::find_if(m_vms.begin(), m_vms.end(), [&](const Vm &vm) { return vm.id == id; });
    return found == m_vms.end() ? nullptr : &*found;
}

void SimulatedCluster::reportViolation(std::string text)
{
    if (m_violations.size() < 20)
        m_violations.push_back(fmt::format("{} ms: {}", toMs(m_now.time_since_epoch()), text));
}

void SimulatedCluster::start(Vm &vm)
{
    const PersistentState &state = vm.disk.durable();
    vm.applied.clear();
    vm.appliedIndex = 0;
    if (state.snapshot)
        install(vm, *state.snapshot);
    vm.replica.emplace(m_settings.replica, vm.id, state, m_random(), m_now);
}

void SimulatedCluster::run(Duration duration)
{
    for (const Instant end = m_now + duration; m_now < end;)
        step();
}

void SimulatedCluster::step()
{
    m_now += stepLength;
    deliver();
    for (Vm &vm : m_vms) {
        if (!vm.replica || vm.paused)
            continue;
        vm.replica->tick(m_now);
        processEffects(vm);
    }
    manageMembership();
    check();
}

bool SimulatedCluster::crashAtRandom(Vm &vm)
{
    if (m_settings.crashAtStoragePermille == 0
        || m_random() % 1000 >= m_settings.crashAtStoragePermille)
        return false;
    vm.disk.crash(m_random);
    vm.replica.reset();
    return true;
}

void SimulatedCluster::processEffects(Vm &vm)
{
    while (vm.replica) {
        const std::vector<Effect> effects = vm.replica->takeEffects();
        if (effects.empty())
            return;
        for (const Effect &effect : effects) {
            if (const auto *message = std::get_if<SendMessage>(&effect);
                message != nullptr && !message->afterSync)
                send(vm, message->envelope);
        }
        const bool installs = std::any_of(effects.begin(), effects.end(), [](const Effect &effect) {
            return std::holds_alternative<InstallSnapshot>(effect);
        });
        if (installs) {
            const EntryLog &log = vm.replica->log();
            vm.disk.replace(log.snapshot(), vm.replica->hardState(),
                            log.slice(log.firstIndex(), SIZE_MAX, SIZE_MAX));
        } else {
            for (const Effect &effect : effects)
                vm.disk.write(effect);
        }
        if (crashAtRandom(vm))
            return;
        vm.disk.sync();
        if (crashAtRandom(vm))
            return;
        vm.replica->synced(m_now);
        for (const Effect &effect : effects) {
            std::visit(Overloaded{[&](const SendMessage &message) {
                                      if (message.afterSync)
                                          send(vm, message.envelope);
                                  },
                                  [&](const ApplyEntries &entries) {
                                      for (const LogEntry &entry : entries.entries)
                                          apply(vm, entry);
                                  },
                                  [&](const InstallSnapshot &snapshot) {
                                      install(vm, *snapshot.snapshot);
                                  },
                                  [](const auto &) {}},
                       effect);
        }
    }
}

void SimulatedCluster::send(const Vm &from, const Envelope &envelope)
{
    if (from.cutOff || m_random() % 100 < m_settings.lossPercent)
        return;
    const int copies = m_random() % 100 < m_settings.duplicatePercent ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        // Most messages arrive within 15 ms, a few up to 2 s late and out of order.
        const std::uint64_t delayMs =
            m_random() % 50 == 0 ? m_random() % 2000 : 1 + m_random() % 15;
        m_network.push_back({m_now + std::chrono::milliseconds(delayMs), envelope});
    }
}

void SimulatedCluster::deliver()
{
    std::vector<MessageInTransit> due;
    std::erase_if(m_network, [&](const MessageInTransit &message) {
        const Vm *target = find(message.envelope.to);
        if (message.at > m_now || (target != nullptr && target->paused))
            return false;
        due.push_back(message);
        return true;
    });
    for (const MessageInTransit &message : due) {
        Vm *target = find(message.envelope.to);
        if (target == nullptr || !target->replica || target->cutOff)
            continue;
        target->replica->receive(m_now, message.envelope);
        processEffects(*target);
    }
}

void SimulatedCluster::apply(Vm &vm, const LogEntry &entry)
{
    const std::string text = describeEntry(entry);
    if (entry.index != vm.appliedIndex + 1)
        reportViolation(
            fmt::format("{} applies index {} after {}", vm.id, entry.index, vm.appliedIndex));
    vm.appliedIndex = entry.index;
    vm.applied.push_back(text);
    const auto [known, added] = m_committed.emplace(entry.index, text);
    if (!added && known->second != text)
        reportViolation(fmt::format("index {} is '{}' at {} but was '{}'", entry.index, text, vm.id,
                                    known->second));
    // A leader acknowledges the proposals that it commits in its own term.
    const auto proposed = m_proposed.find(entry.payload);
    if (proposed != m_proposed.end() && vm.replica->isLeader()
        && entry.term == vm.replica->term()) {
        m_acknowledged.insert(entry.payload);
        m_highestAcknowledged = std::max(m_highestAcknowledged, entry.index);
    }
}

void SimulatedCluster::install(Vm &vm, const Snapshot &snapshot)
{
    vm.applied = Json::parse(snapshot.data).get<std::vector<std::string>>();
    vm.appliedIndex = snapshot.lastIndex;
}

void SimulatedCluster::takeSnapshots()
{
    for (Vm &vm : m_vms) {
        if (!vm.replica || vm.replica->appliedIndex() == 0)
            continue;
        const LogIndex index = vm.replica->appliedIndex();
        if (vm.replica->log().membershipIndex() > index || index < vm.replica->log().firstIndex())
            continue;
        auto snapshot = std::make_shared<Snapshot>();
        snapshot->lastIndex = index;
        snapshot->lastTerm = *vm.replica->log().termAt(index);
        snapshot->membership = vm.replica->membership();
        snapshot->data = Json(vm.applied).dump();
        vm.replica->compact(snapshot);
        const EntryLog &log = vm.replica->log();
        vm.disk.replace(snapshot, vm.replica->hardState(),
                        log.slice(log.firstIndex(), SIZE_MAX, SIZE_MAX));
    }
}

void SimulatedCluster::manageMembership()
{
    for (Vm &vm : m_vms) {
        if (!vm.replica || vm.paused || !vm.replica->hasLease(m_now))
            continue;
        // Replicas that are not members, or know no leader, request to join.
        for (Vm &other : m_vms) {
            if (other.replica && !other.cutOff && !other.paused && !vm.cutOff
                && (other.replica->membership().find(other.id) == nullptr
                    || other.replica->leader().isEmpty()))
                m_planner.joinRequested(memberOf(other), m_now);
        }
        const auto next = m_planner.plan(
            vm.replica->membership(), vm.id, vm.replica->commitIndex(), m_now,
            [&](const ReplicaId &id) {
                return ReplicaHealth{vm.replica->matchIndex(id), vm.replica->lastContact(id)};
            });
        if (next)
            (void)vm.replica->proposeMembership(m_now, *next);
        processEffects(vm);
    }
}

void SimulatedCluster::check()
{
    for (const Vm &vm : m_vms) {
        if (!vm.replica || !vm.replica->isLeader())
            continue;
        const auto [known, added] = m_leaders.emplace(vm.replica->term(), vm.id);
        if (!added && known->second != vm.id)
            reportViolation(
                fmt::format("{} and {} lead in term {}", known->second, vm.id, vm.replica->term()));
        // A leader with a lease may answer reads, so it must know every acknowledged entry.
        if (!vm.paused && vm.replica->hasLease(m_now)
            && vm.replica->commitIndex() < m_highestAcknowledged)
            reportViolation(fmt::format("{} has a lease at index {} but {} was acknowledged", vm.id,
                                        vm.replica->commitIndex(), m_highestAcknowledged));
    }
}

void SimulatedCluster::crash(std::size_t index)
{
    Vm &vm = m_vms[index];
    vm.disk.crash(m_random);
    vm.replica.reset();
    vm.paused = false;
}

void SimulatedCluster::restart(std::size_t index)
{
    Vm &vm = m_vms[index];
    if (!vm.replica)
        start(vm);
}

void SimulatedCluster::loseNewestEntries(std::size_t index, std::size_t count)
{
    crash(index);
    m_vms[index].disk.dropNewest(count);
}

void SimulatedCluster::loseDisk(std::size_t index)
{
    Vm &vm = m_vms[index];
    crash(index);
    vm.disk.wipe();
    if (!m_settings.reuseIdentity)
        vm.id.value = fmt::format("{}/{}", vm.name, ++vm.incarnation);
}

void SimulatedCluster::heal()
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        m_vms[i].cutOff = false;
        m_vms[i].paused = false;
        restart(i);
    }
}

void SimulatedCluster::propose(std::size_t count)
{
    for (Vm &vm : m_vms) {
        if (!vm.replica || vm.paused || !vm.replica->isLeader())
            continue;
        for (std::size_t i = 0; i < count; ++i) {
            const std::string payload = fmt::format("p{}", m_nextProposal++);
            const Result<LogIndex> index = vm.replica->propose(m_now, payload);
            if (index)
                m_proposed[payload] = *index;
        }
        processEffects(vm);
    }
}

void SimulatedCluster::transferLeadership()
{
    for (Vm &vm : m_vms) {
        if (vm.replica && !vm.paused && vm.replica->isLeader()) {
            (void)vm.replica->transferLeadership(m_now);
            processEffects(vm);
        }
    }
}

std::optional<std::size_t> SimulatedCluster::leader() const
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (m_vms[i].replica && !m_vms[i].paused && m_vms[i].replica->isLeader()
            && (!best || m_vms[*best].replica->term() < m_vms[i].replica->term()))
            best = i;
    }
    return best;
}

std::optional<std::size_t> SimulatedCluster::leaseHolder() const
{
    for (std::size_t i = 0; i < m_vms.size(); ++i) {
        if (m_vms[i].replica && !m_vms[i].paused && m_vms[i].replica->hasLease(m_now))
            return i;
    }
    return std::nullopt;
}

std::size_t SimulatedCluster::healthyVoters() const
{
    const std::optional<std::size_t> current = leaseHolder();
    if (!current)
        return 0;
    const Replica &replica = *m_vms[*current].replica;
    std::size_t count = 0;
    for (const Vm &vm : m_vms) {
        if (vm.replica && !vm.paused && !vm.cutOff && replica.membership().isVoter(vm.id)
            && replica.matchIndex(vm.id) >= replica.commitIndex())
            ++count;
    }
    // The membership counts as repaired only if all its voters are healthy.
    return count == replica.membership().voterCount() ? count : 0;
}

bool SimulatedCluster::converged() const
{
    const Vm *reference = nullptr;
    for (const Vm &vm : m_vms) {
        if (!vm.replica)
            return false;
        if (reference != nullptr && vm.applied != reference->applied)
            return false;
        reference = &vm;
    }
    std::size_t found = 0;
    for (const std::string &text : reference->applied) {
        const std::string payload = text.substr(text.rfind(':') + 1);
        found += m_acknowledged.contains(payload) ? 1 : 0;
    }
    return found == m_acknowledged.size();
}

} // namespace guavashift
