#include <Guavashift/Control/ControlRole.h>

#include <random>
#include <semaphore>

namespace guavashift {

namespace {

constexpr Duration transferTimeout = std::chrono::seconds(2);
constexpr unsigned handlerThreads = 32;
constexpr int statusConflict = 409;
/// Handler threads that may wait for a commit at the same time. The others stay free for messages
/// between replicas, without which nothing would be committed.
constexpr int maxWaitingHandlers = 24;

const RoleRegistration registration("control", [](const RoleContext &context) {
    return std::make_unique<ControlRole>(context);
});

RpcSettings rpcSettings(const DaemonSettings &settings)
{
    RpcSettings rpc;
    rpc.clusterId = settings.clusterId;
    rpc.clusterKey = settings.clusterKey;
    rpc.handlerThreads = handlerThreads;
    return rpc;
}

} // namespace

ControlRole::ControlRole(const RoleContext &context)
    : m_settings(context.settings)
    , m_telemetry(context.telemetry)
    , m_health(context.health)
    , m_admin(context.admin)
{
}

Result<void> ControlRole::start()
{
    std::random_device device;
    const std::uint64_t seed = (static_cast<std::uint64_t>(device()) << 32U) | device();
    Result<DataFolder> folder =
        DataFolder::open(m_settings.dataFolder, m_settings.clusterId, m_settings.vm, seed);
    if (!folder)
        return tl::unexpected(folder.error());

    ControlNodeSettings node;
    node.rpc = rpcSettings(m_settings);
    node.membership.targetVoters = m_settings.targetVoters;
    node.membership.voterLostAfter = std::chrono::seconds(m_settings.voterLostSeconds);
    node.snapshotInterval = m_settings.snapshotEntries;
    node.leases.leaderLease = node.replica.leaderLease;
    const Member self{folder->replica(), m_settings.vm, m_settings.controlListen,
                      m_settings.failureDomain, false};
    m_node = std::make_unique<ControlNode>(node, std::move(*folder), self,
                                           m_settings.controlAddresses, m_telemetry, seed);
    if (Result<void> started = m_node->start(); !started)
        return started;

    const Result<Address> address = Address::parse(m_settings.controlListen);
    if (!address)
        return tl::unexpected(address.error());
    m_server = std::make_unique<RpcServer>(node.rpc, *address);
    const auto waiting =
        std::make_shared<std::counting_semaphore<maxWaitingHandlers>>(maxWaitingHandlers);
    m_server->add(method::replicate, [this](const Json &json) { return m_node->receive(json); });
    m_server->add(method::join, [this](const Json &json) { return m_node->join(json); });
    m_server->add(method::bootstrap, [this](const Json &) { return m_node->bootstrap(); });
    m_server->add(method::heartbeat, [this](const Json &json) { return m_node->heartbeat(json); });
    m_server->add(method::query, [this](const Json &json) { return m_node->query(json); });
    m_server->add(method::changeMember,
                  [this](const Json &json) { return m_node->changeMember(json); });
    m_server->add(method::execute, [this, waiting](const Json &json) -> Result<Json> {
        if (!waiting->try_acquire())
            return fail(ErrorCode::Unavailable, "too many commands wait to be committed");
        Result<Json> result = m_node->execute(json);
        waiting->release();
        return result;
    });
    m_health.add("control", [this]() -> std::optional<std::string> {
        if (m_node->hasFailed())
            return "the replica has stopped taking part";
        return std::nullopt;
    });
    addAdminEndpoints();
    return m_server->start();
}

void ControlRole::addAdminEndpoints()
{
    const TokenGuard guard(m_settings.operatorToken);
    const auto answer = [](const Result<Json> &result) {
        return result ? HttpResponse::json(200, *result)
                      : HttpResponse::json(statusConflict, {{"error", result.error().message}});
    };
    // This replica answers without its leader, so that operators can query each replica.
    m_admin.add("GET", "/admin/v1/replica", guard.protect([this, answer](const HttpRequest &) {
        return answer(m_node->query(Query{"status", {}, false}));
    }));
    m_admin.add("POST", "/admin/v1/bootstrap", guard.protect([this, answer](const HttpRequest &) {
        return answer(m_node->bootstrap());
    }));
}

void ControlRole::drain()
{
    m_node->transferLeadership(transferTimeout);
}

void ControlRole::stop()
{
    m_health.remove("control");
    if (m_server)
        m_server->stop();
    m_node->stop();
}

} // namespace guavashift
