#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Placement/Placement.h>

#include <string>
#include <vector>

namespace guavashift {

/// Names of the RPC methods between the system's own processes.
namespace method {
inline const std::string replicate = "replicate";
inline const std::string join = "join";
inline const std::string bootstrap = "bootstrap";
inline const std::string execute = "execute";
inline const std::string heartbeat = "heartbeat";
inline const std::string query = "query";
inline const std::string changeMember = "change-member";
inline const std::string handOver = "hand-over";
inline const std::string revoke = "revoke";
inline const std::string window = "window";
} // namespace method

/// Addresses and backend servers of one worker, as entries route requests to them.
struct WorkerRoute
{
    WorkerId worker;
    Incarnation incarnation;
    std::string httpAddress;
    std::string rpcAddress;
    FailureDomain failureDomain;
    bool usable = true; ///< False once the worker is declared lost.
    std::vector<BackendServer> backends;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerRoute, worker, incarnation, httpAddress,
                                                rpcAddress, failureDomain, usable, backends)

/// The workers that changed since the routing version that an entry has.
struct RoutingUpdate
{
    std::uint64_t version = 0;
    bool complete = false;     ///< Replaces all routes of the entry.
    std::uint32_t entries = 1; ///< Entry processes that share the agents' connections.
    std::vector<WorkerRoute> workers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RoutingUpdate, version, complete, entries, workers)

/// An order to run or stop one attempt of a task on a worker.
struct TaskOrder
{
    TaskId task;
    Attempt attempt = 0;
    bool run = true; ///< If false, the attempt is stopped with a checkpoint.
    TaskKind kind = TaskKind::Batch;
    ServiceId service;
    std::string family;
    Resources size;
    std::string checkpoint;
    std::int64_t doneMs = 0;
    std::int64_t runtimeMs = 0;
    std::uint32_t speedPercent = 100;
    std::uint32_t slots = 0; ///< Of a service's backend server.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(TaskOrder, task, attempt, run, kind, service,
                                                family, size, checkpoint, doneMs, runtimeMs,
                                                speedPercent, slots)

/// All tasks that should run on one worker. Tasks that are not listed are stopped.
struct WorkerOrders
{
    std::uint64_t version = 0;
    std::vector<TaskOrder> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerOrders, version, tasks)

enum class NodeKind { Entry, Agent };
NLOHMANN_JSON_SERIALIZE_ENUM(NodeKind, {{NodeKind::Entry, "entry"}, {NodeKind::Agent, "agent"}})

/// Renews a node's leases and sends its reports to the leader.
struct HeartbeatRequest
{
    std::string node; ///< The VM's name.
    NodeKind nodeKind = NodeKind::Agent;
    Incarnation incarnation;
    ConfigVersion configVersion = 0;
    std::uint64_t routingVersion = 0; ///< Entries: the version that they have.
    std::uint64_t ordersVersion = 0;  ///< Agents: the version that they have.
    std::vector<ReportAttempt> reports;
    std::vector<UsageReport> usage;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeartbeatRequest, node, nodeKind, incarnation,
                                                configVersion, routingVersion, ordersVersion,
                                                reports, usage)

/// Answer to a heartbeat. The leases start when the request was sent. Parts that the node already
/// has are left out.
struct HeartbeatReply
{
    std::uint64_t epoch = 0; ///< Grows with each new leader.
    std::int64_t configLeaseMs = 0;
    std::int64_t workerLeaseMs = 0;
    ConfigVersion configVersion = 0;
    bool announceNeeded = false; ///< The agent's incarnation is unknown or was declared lost.
    std::optional<Json> configuration;
    std::optional<RoutingUpdate> routing;
    std::optional<WorkerOrders> orders;
};
void to_json(Json &json, const HeartbeatReply &reply);   // NOLINT
void from_json(const Json &json, HeartbeatReply &reply); // NOLINT

/// State of a request at an agent, as the answer to `revoke`.
enum class RevokeOutcome {
    Revoked, ///< It did not run here and never will.
    Running,
    Done,    ///< Its run has ended.
    Unknown, ///< Another incarnation, or no longer remembered.
};
NLOHMANN_JSON_SERIALIZE_ENUM(RevokeOutcome,
                             {{RevokeOutcome::Unknown, "unknown"},
                              {RevokeOutcome::Revoked, "revoked"},
                              {RevokeOutcome::Running, "running"},
                              {RevokeOutcome::Done, "done"}})

struct RevokeRequest
{
    RequestId request;
    Incarnation incarnation;
    std::uint64_t window = 0;
    bool keyed = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RevokeRequest, request, incarnation, window, keyed)

struct RevokeReply
{
    RevokeOutcome outcome = RevokeOutcome::Unknown;
    std::uint64_t window = 0; ///< The agent's current one.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RevokeReply, outcome, window)

/// Answer to `window`: the agent's current incarnation and window.
struct WindowReply
{
    Incarnation incarnation;
    std::uint64_t window = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WindowReply, incarnation, window)

/// An operator's request to remove a control replica or to promote it to voter.
struct MemberChange
{
    std::string vm;
    bool remove = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberChange, vm, remove)

/// Parameters of the method `query`.
struct Query
{
    std::string what; ///< status, members, config, history, check, workers, jobs or job.
    std::string argument;
    bool current = true; ///< Only the leader with its lease may answer.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Query, what, argument, current)

/// The error message of a replica that does not lead; names the leader if it is known.
std::string notLeaderMessage(const std::string &leaderAddress);

/// The leader's address in a message of notLeaderMessage(), or nothing.
std::optional<std::string> leaderHint(const Error &error);

} // namespace guavashift
