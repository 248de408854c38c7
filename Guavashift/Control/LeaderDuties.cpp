#include <Guavashift/Control/LeaderDuties.h>

#include <algorithm>

namespace guavashift {

namespace {

/// An entry without a heartbeat for this long is not counted among the entries that share the
/// agents' connections.
constexpr Duration entryTimeout = std::chrono::seconds(10);

TaskOrder orderOf(const Task &task, const ConfigurationDocument &document)
{
    TaskOrder order;
    order.task = task.id;
    order.attempt = task.attempt;
    order.run = task.phase != TaskPhase::Stopping;
    order.kind = task.kind;
    order.service = task.service;
    order.family = task.family;
    order.size = task.size;
    order.checkpoint = task.checkpoint;
    order.doneMs = task.doneMs;
    order.runtimeMs = task.declaredRuntimeMs;
    order.speedPercent = task.speedPercent;
    if (const auto service = document.services.find(task.service);
        service != document.services.end())
        order.slots = service->second.slots;
    return order;
}

/// Whether the report is about a placed task's current attempt and would change the state.
bool isNewToState(const StateMachine &state, const ReportAttempt &report)
{
    const auto found = state.tasks().find(report.task);
    if (found == state.tasks().end())
        return false;
    const Task &task = found->second;
    if (!task.isPlaced() || task.worker != report.worker || task.attempt != report.attempt)
        return false;
    return report.event != AttemptEvent::Started || task.phase == TaskPhase::Starting;
}

} // namespace

LeaderDuties::LeaderDuties(const LeaseSettings &leases, const SchedulerSettings &scheduler,
                           std::uint64_t seed)
    : m_leases(leases)
    , m_scheduler(scheduler, seed)
{
}

void LeaderDuties::start(Instant now, std::uint64_t epoch)
{
    m_leases.start(now);
    m_epoch = epoch;
    m_nodes.clear();
    m_lossProposed.clear();
}

HeartbeatReply LeaderDuties::heartbeat(const StateMachine &state, const HeartbeatRequest &request,
                                       Instant now, std::vector<CommandBody> &commands)
{
    HeartbeatReply reply;
    reply.epoch = m_epoch;
    reply.configLeaseMs = toMs(m_leases.settings().configLease);
    reply.configVersion = state.configuration().version();
    // An entry and an agent may share a VM.
    const char *prefix = request.nodeKind == NodeKind::Entry ? "entry/" : "agent/";
    m_nodes[prefix + request.node] = {request.nodeKind, request.configVersion, now};
    // A node with an older version gets the whole document. No node gets a lower version.
    if (request.configVersion < reply.configVersion)
        reply.configuration = state.configuration().json();
    if (request.nodeKind == NodeKind::Entry) {
        if (request.routingVersion != state.routingVersion())
            reply.routing = routingSince(state, request.routingVersion, now);
        return reply;
    }

    const auto found = state.workers().find(WorkerId{request.node});
    if (found == state.workers().end() || found->second.status == WorkerStatus::Lost
        || found->second.facts.incarnation != request.incarnation) {
        reply.announceNeeded = true;
        return reply;
    }
    const Worker &worker = found->second;
    // Its tasks are started elsewhere once the loss is committed.
    if (m_lossProposed.contains(worker.id))
        return reply;
    m_leases.recordGrant(worker.id, now);
    reply.workerLeaseMs = toMs(m_leases.settings().workerLease);
    if (request.ordersVersion != worker.ordersVersion)
        reply.orders = ordersFor(state, worker);
    for (const ReportAttempt &report : request.reports) {
        if (report.worker != worker.id || !isNewToState(state, report))
            continue;
        if (report.event == AttemptEvent::Completed)
            m_scheduler.completed(state.tasks().at(report.task), report.doneMs);
        commands.emplace_back(report);
    }
    for (const UsageReport &usage : request.usage)
        m_scheduler.observe(usage, state);
    return reply;
}

WorkerOrders LeaderDuties::ordersFor(const StateMachine &state, const Worker &worker) const
{
    WorkerOrders orders;
    orders.version = worker.ordersVersion;
    for (const TaskId &id : worker.tasks)
        orders.tasks.push_back(orderOf(state.tasks().at(id), state.configuration().document()));
    return orders;
}

RoutingUpdate LeaderDuties::routingSince(const StateMachine &state, std::uint64_t version,
                                         Instant now) const
{
    RoutingUpdate update;
    update.version = state.routingVersion();
    update.entries = countEntries(now);
    update.complete = version == 0 || version > state.routingVersion();
    for (const auto &[id, worker] : state.workers()) {
        if (!update.complete && worker.routingVersion <= version)
            continue;
        WorkerRoute route;
        route.worker = id;
        route.incarnation = worker.facts.incarnation;
        route.httpAddress = worker.facts.httpAddress;
        route.rpcAddress = worker.facts.rpcAddress;
        route.failureDomain = worker.facts.failureDomain;
        route.usable = worker.status != WorkerStatus::Lost;
        route.backends = worker.backends;
        update.workers.push_back(std::move(route));
    }
    return update;
}

std::uint32_t LeaderDuties::countEntries(Instant now) const
{
    const auto count = std::count_if(m_nodes.begin(), m_nodes.end(), [&](const auto &node) {
        return node.second.nodeKind == NodeKind::Entry
            && now - node.second.lastHeartbeat < entryTimeout;
    });
    return std::max<std::uint32_t>(1, static_cast<std::uint32_t>(count));
}

std::vector<CommandBody> LeaderDuties::decide(const StateMachine &state, Instant now,
                                              WallMs wallNow)
{
    // Everything proposed is applied by now: a worker that is up has announced itself again since,
    // and gets the time of one lease for its first heartbeat.
    for (const WorkerId &id : std::exchange(m_lossProposed, {})) {
        const auto found = state.workers().find(id);
        if (found != state.workers().end() && found->second.status != WorkerStatus::Lost)
            m_leases.recordGrant(id, now);
    }
    std::vector<CommandBody> commands;
    for (const auto &[id, worker] : state.workers()) {
        if (worker.status == WorkerStatus::Lost || !m_leases.isExpired(id, now))
            continue;
        m_lossProposed.insert(id);
        commands.emplace_back(DeclareWorkerLost{id, worker.facts.incarnation});
    }
    std::vector<CommandBody> decisions = m_scheduler.decide(state, wallNow);
    commands.insert(commands.end(), std::make_move_iterator(decisions.begin()),
                    std::make_move_iterator(decisions.end()));
    return commands;
}

Json LeaderDuties::describeNodes(Instant now) const
{
    Json nodes = Json::array();
    for (const auto &[name, node] : m_nodes) {
        nodes.push_back({{"node", name},
                         {"kind", node.nodeKind},
                         {"configVersion", node.configVersion},
                         {"silentMs", toMs(now - node.lastHeartbeat)}});
    }
    return nodes;
}

ConfigVersion LeaderDuties::versionInForce(ConfigVersion newest, Instant now) const
{
    ConfigVersion lowest = newest;
    for (const auto &[name, node] : m_nodes) {
        if (now - node.lastHeartbeat < m_leases.settings().configLease)
            lowest = std::min(lowest, node.configVersion);
    }
    return lowest;
}

} // namespace guavashift
