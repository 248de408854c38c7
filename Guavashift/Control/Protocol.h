#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Placement/Placement.h>

#include <string>
#include <vector>

namespace guavashift {

/// Names of the methods between own processes.
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

/// What one worker offers to entries.
struct WorkerRoute
{
    WorkerId worker;
    Incarnation incarnation;
    std::string httpAddress;
    std::string rpcAddress;
    FailureDomain failureDomain;
    bool usable = true; ///< False once it is declared lost.
    std::vector<BackendServer> backends;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerRoute, worker, incarnation, httpAddress,
                                                rpcAddress, failureDomain, usable, backends)

/// The workers that changed since the version that an entry named.
struct RoutingUpdate
{
    std::uint64_t version = 0;
    bool complete = false;     ///< Replaces all that the entry knew.
    std::uint32_t entries = 1; ///< Entries that share the agents' connections.
    std::vector<WorkerRoute> workers;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RoutingUpdate, version, complete, entries, workers)

/// One task that should run, or stop, on a worker.
struct TaskOrder
{
    TaskId task;
    Attempt attempt = 0;
    bool run = true; ///< Otherwise stop with a checkpoint.
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

/// All that should run on one worker; what is not listed should not run.
struct WorkerOrders
{
    std::uint64_t version = 0;
    std::vector<TaskOrder> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(WorkerOrders, version, tasks)

enum class NodeKind { Entry, Agent };
NLOHMANN_JSON_SERIALIZE_ENUM(NodeKind, {{NodeKind::Entry, "entry"}, {NodeKind::Agent, "agent"}})

/// Renews a node's leases and carries reports to the leader.
struct HeartbeatRequest
{
    std::string node; ///< The VM's name.
    NodeKind nodeKind = NodeKind::Agent;
    Incarnation incarnation;
    ConfigVersion configVersion = 0;
    std::uint64_t routingVersion = 0; ///< Entries: the newest they have.
    std::uint64_t ordersVersion = 0;  ///< Agents: the newest they have.
    std::vector<ReportAttempt> reports;
    std::vector<UsageReport> usage;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(HeartbeatRequest, node, nodeKind, incarnation,
                                                configVersion, routingVersion, ordersVersion,
                                                reports, usage)

/// The leases are counted from when the request was sent. Parts that the node has already are left
/// out.
struct HeartbeatReply
{
    std::uint64_t epoch = 0; ///< Grows with each new leader.
    std::int64_t configLeaseMs = 0;
    std::int64_t workerLeaseMs = 0;
    ConfigVersion configVersion = 0;
    bool announceNeeded = false; ///< The agent is not known, or was declared lost.
    std::optional<Json> configuration;
    std::optional<RoutingUpdate> routing;
    std::optional<WorkerOrders> orders;
};
void to_json(Json &json, const HeartbeatReply &reply);   // NOLINT
void from_json(const Json &json, HeartbeatReply &reply); // NOLINT

/// Answer to `revoke`: what became of a request at an agent.
enum class RevokeOutcome {
    Revoked, ///< It did not run here and never will.
    Running,
    Done,    ///< It ran to its end.
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

/// Adds or removes a control replica by an operator.
struct MemberChange
{
    std::string vm;
    bool remove = true;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemberChange, vm, remove)

/// What `query` may ask for.
struct Query
{
    std::string what; ///< status, config, history, workers, jobs, job, members.
    std::string argument;
    bool current = true; ///< Only the leader with its lease may answer.
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(Query, what, argument, current)

/// The text with which a replica refers to the leader, and its reading.
std::string notLeaderMessage(const std::string &leaderAddress);
std::optional<std::string> leaderHint(const Error &error);

} // namespace guavashift
