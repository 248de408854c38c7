#include <Guavashift/Control/ControlNode.h>

// The methods of ControlNode that answer other processes.

namespace guavashift {

namespace {

constexpr Duration commitTimeout = std::chrono::seconds(2);
/// Limit of jobs or configuration versions in one answer.
constexpr std::size_t maxListed = 1000;

Json describe(const Worker &worker)
{
    return {{"worker", worker.id},
            {"status", worker.status},
            {"failureDomain", worker.facts.failureDomain},
            {"rack", worker.facts.rack},
            {"capacity", worker.facts.capacity},
            {"reserved", worker.reserved},
            {"tasks", worker.tasks},
            {"backends", worker.backends},
            {"quarantinedUntil", worker.quarantinedUntil}};
}

Json describe(const Task &task)
{
    return {{"task", task.id},       {"phase", task.phase},         {"attempt", task.attempt},
            {"worker", task.worker}, {"evictions", task.evictions}, {"doneMs", task.doneMs}};
}

} // namespace

Result<Json> ControlNode::receive(const Json &parameters)
{
    auto address = parameters.at("address").get<std::string>();
    auto messages = parameters.at("messages").get<std::vector<Envelope>>();
    post([this, address = std::move(address), messages = std::move(messages)] {
        if (m_stopped)
            return;
        for (const Envelope &message : messages) {
            m_addresses[message.from] = address;
            m_replica->receive(BootClock::now(), message);
        }
    });
    return Json(true);
}

Result<Json> ControlNode::join(const Json &parameters)
{
    auto member = parameters.at("member").get<Member>();
    return postAndWait([this, member = std::move(member)]() -> Result<Json> {
        if (!m_replica->isLeader())
            return fail(ErrorCode::NotLeader, notLeaderMessage(leaderAddress()));
        m_planner.joinRequested(member, BootClock::now());
        return Json(true);
    });
}

Result<Json> ControlNode::bootstrap()
{
    return postAndWait([this]() -> Result<Json> {
        if (!m_replica->log().isEmpty())
            return fail(ErrorCode::Conflict, "this replica already belongs to a cluster");
        Member first = m_self;
        first.voter = true;
        const LogEntry entry{1, 1, EntryKind::Membership, Json(Membership{{first}}).dump()};
        const std::vector<LogEntry> entries{entry};
        PersistentState state;
        state.hardState = {1, {}};
        state.entries = entries;
        Result<void> stored = m_store->saveHardState(state.hardState);
        if (stored)
            stored = m_store->append(entries);
        if (stored)
            stored = m_store->sync();
        if (!stored) {
            storageFailed(stored.error());
            return tl::unexpected(stored.error());
        }
        makeReplica(std::move(state));
        logEvent(LogLevel::Info, "cluster-bootstrapped", {{"replica", m_self.id}});
        return Json{{"replica", m_self.id}};
    });
}

Result<Json> ControlNode::execute(const Json &parameters)
{
    std::vector<CommandBody> commands;
    for (const Json &command : parameters.at("commands"))
        commands.push_back(variantFromJson<CommandBody>(command));
    if (commands.empty())
        return Json::array();
    auto promise = std::make_shared<OutcomePromise>();
    std::future<Result<Json>> future = promise->get_future();
    post([this, promise, commands = std::move(commands)]() mutable {
        if (m_stopped)
            promise->set_value(fail(ErrorCode::Unavailable, m_stopReason));
        else if (!m_replica->isLeader())
            promise->set_value(fail(ErrorCode::NotLeader, notLeaderMessage(leaderAddress())));
        else
            m_proposals.push_back({std::move(commands), promise});
    });
    if (future.wait_for(commitTimeout) != std::future_status::ready)
        return fail(ErrorCode::Timeout, "not committed in time");
    return future.get();
}

Result<Json> ControlNode::heartbeat(const Json &parameters)
{
    auto request = parameters.get<HeartbeatRequest>();
    return postAndWait([this, request = std::move(request)] { return answerHeartbeat(request); });
}

Result<Json> ControlNode::answerHeartbeat(const HeartbeatRequest &request)
{
    if (Result<void> lease = requireLease(); !lease)
        return tl::unexpected(lease.error());
    std::vector<CommandBody> commands;
    const HeartbeatReply reply = m_duties.heartbeat(m_state, request, BootClock::now(), commands);
    if (!commands.empty())
        m_proposals.push_back({std::move(commands), nullptr});
    return Json(reply);
}

Result<Json> ControlNode::query(const Json &parameters)
{
    auto query = parameters.get<Query>();
    return postAndWait([this, query = std::move(query)]() -> Result<Json> {
        if (query.current) {
            if (Result<void> lease = requireLease(); !lease)
                return tl::unexpected(lease.error());
        }
        return answerQuery(query);
    });
}

Result<Json> ControlNode::answerQuery(const Query &query)
{
    if (query.what == "status")
        return describeStatus();
    if (query.what == "members")
        return Json(m_replica->membership().members);
    if (query.what == "config")
        return Json{{"version", m_state.configuration().version()},
                    {"document", m_state.configuration().json()}};
    if (query.what == "history") {
        Json list = Json::array();
        const auto &history = m_state.configuration().history();
        const std::size_t skipped = history.size() > maxListed ? history.size() - maxListed : 0;
        for (std::size_t i = skipped; i < history.size(); ++i)
            list.push_back(history[i]);
        return list;
    }
    if (query.what == "check") {
        return Json{{"findings",
                     m_state.configuration().check(Json::parse(query.argument, nullptr, false))}};
    }
    if (query.what == "workers") {
        Json list = Json::array();
        for (const auto &[id, worker] : m_state.workers())
            list.push_back(describe(worker));
        return list;
    }
    if (query.what == "jobs") {
        Json list = Json::array();
        for (const auto &[key, job] : m_state.jobs()) {
            const bool wanted = query.argument.empty() || job.spec.team.value == query.argument;
            if (wanted && list.size() < maxListed)
                list.push_back(job);
        }
        return list;
    }
    if (query.what == "job") {
        const auto found = m_state.jobs().find(query.argument);
        if (found == m_state.jobs().end())
            return fail(ErrorCode::NotFound, "there is no job " + query.argument);
        Json json = found->second;
        json["tasks"] = Json::array();
        const std::string prefix = query.argument + "/";
        for (auto at = m_state.tasks().lower_bound(TaskId{prefix});
             at != m_state.tasks().end() && at->first.value.starts_with(prefix); ++at)
            json["tasks"].push_back(describe(at->second));
        return json;
    }
    return fail(ErrorCode::InvalidArgument, "unknown query " + query.what);
}

Json ControlNode::describeStatus() const
{
    const Instant now = BootClock::now();
    Json members = Json::array();
    for (const Member &member : m_replica->membership().members) {
        Json json = member;
        json["matchIndex"] = m_replica->matchIndex(member.id);
        if (m_replica->isLeader() && member.id != m_self.id)
            json["silentMs"] = toMs(now - m_replica->lastContact(member.id));
        members.push_back(std::move(json));
    }
    std::map<TaskPhase, std::size_t> phases;
    for (const auto &[id, task] : m_state.tasks())
        ++phases[task.phase];
    return {{"replica", m_self.id},
            {"leader", m_replica->leader()},
            {"isLeader", m_replica->isLeader()},
            {"term", m_replica->term()},
            {"commitIndex", m_replica->commitIndex()},
            {"appliedIndex", m_replica->appliedIndex()},
            {"snapshotIndex", m_snapshotIndex},
            {"digest", hexOf(m_digest)},
            {"members", std::move(members)},
            {"configVersion", m_state.configuration().version()},
            {"versionInForce", m_duties.versionInForce(m_state.configuration().version(), now)},
            {"nodes", m_duties.describeNodes(now)},
            {"workers", m_state.workers().size()},
            {"jobs", m_state.jobs().size()},
            {"claims", m_state.claims().size()},
            {"tasks",
             {{"queued", phases[TaskPhase::Queued]},
              {"starting", phases[TaskPhase::Starting]},
              {"running", phases[TaskPhase::Running]},
              {"stopping", phases[TaskPhase::Stopping]}}}};
}

Result<Json> ControlNode::changeMember(const Json &parameters)
{
    auto change = parameters.get<MemberChange>();
    return postAndWait([this, change = std::move(change)]() -> Result<Json> {
        if (Result<void> lease = requireLease(); !lease)
            return tl::unexpected(lease.error());
        Membership next = m_replica->membership();
        const Member *member = next.findVm(change.vm);
        if (member == nullptr)
            return fail(ErrorCode::NotFound, "there is no control VM " + change.vm);
        const ReplicaId id = member->id;
        if (change.remove)
            std::erase_if(next.members, [&](const Member &each) { return each.id == id; });
        for (Member &each : next.members)
            each.voter = each.voter || each.id == id;
        const Result<LogIndex> proposed = m_replica->proposeMembership(BootClock::now(), next);
        if (!proposed)
            return tl::unexpected(proposed.error());
        return Json(next);
    });
}

} // namespace guavashift
