#pragma once

#include <Guavashift/Control/LeaseTable.h>
#include <Guavashift/Control/Protocol.h>

#include <map>
#include <optional>
#include <set>

namespace guavashift {

/// Performs the leader's duties: grants leases, sends orders to workers and routes to entries, runs
/// the scheduler, and declares workers lost. Holds only state that a new leader can learn again.
/// Does no I/O and reads no clock. Not thread-safe.
class LeaderDuties final
{
public:
    LeaderDuties(const LeaseSettings &leases, const SchedulerSettings &scheduler,
                 std::uint64_t seed);

    /// Resets the state when this replica becomes leader in term `epoch`.
    void start(Instant now, std::uint64_t epoch);

    /// Answers the heartbeat of one node. Appends reports that are new to the state to `commands`.
    HeartbeatReply heartbeat(const StateMachine &state, const HeartbeatRequest &request,
                             Instant now, std::vector<CommandBody> &commands);

    /// Returns the commands that the leader must propose now. Those returned before must have been
    /// applied.
    std::vector<CommandBody> decide(const StateMachine &state, Instant now, WallMs wallNow);

    /// Lists the configuration version in each node's last heartbeat, and the heartbeat's age.
    [[nodiscard]] Json describeNodes(Instant now) const;

    /// The lowest version that a node with a valid configuration lease may still use, at most
    /// `newest`.
    [[nodiscard]] ConfigVersion versionInForce(ConfigVersion newest, Instant now) const;

private:
    struct Node
    {
        NodeKind nodeKind = NodeKind::Agent;
        ConfigVersion configVersion = 0; ///< As sent by the node.
        Instant lastHeartbeat;
    };

    [[nodiscard]] WorkerOrders ordersFor(const StateMachine &state, const Worker &worker) const;
    [[nodiscard]] RoutingUpdate routingSince(const StateMachine &state, std::uint64_t version,
                                             Instant now) const;
    [[nodiscard]] std::uint32_t countEntries(Instant now) const;

    LeaseTable m_leases;
    Scheduler m_scheduler;
    std::uint64_t m_epoch = 0;
    std::map<std::string, Node> m_nodes;
    /// Workers whose loss was proposed by the last decision.
    std::set<WorkerId> m_lossProposed;
};

} // namespace guavashift
