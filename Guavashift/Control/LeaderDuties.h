#pragma once

#include <Guavashift/Control/LeaseTable.h>
#include <Guavashift/Control/Protocol.h>

#include <map>
#include <optional>
#include <set>

namespace guavashift {

/// What only the leader does: leases, orders to workers, routing for entries, scheduling, and
/// declaring workers lost. Keeps only what can be learned again after a change of leader. Pure.
class LeaderDuties final
{
public:
    LeaderDuties(const LeaseSettings &leases, const SchedulerSettings &scheduler,
                 std::uint64_t seed);

    /// Called when this replica becomes leader.
    void start(Instant now, std::uint64_t epoch);

    /// Answers one node. Reports that the state does not have yet are added to `commands`.
    HeartbeatReply heartbeat(const StateMachine &state, const HeartbeatRequest &request,
                             Instant now, std::vector<CommandBody> &commands);

    /// Commands to propose now.
    std::vector<CommandBody> decide(const StateMachine &state, Instant now, WallMs wallNow);

    /// Which configuration version each node was last told of, and how long ago.
    [[nodiscard]] Json describeNodes(Instant now) const;

    /// The lowest version that a node with a running configuration lease may be working under.
    [[nodiscard]] ConfigVersion versionInForce(ConfigVersion newest, Instant now) const;

private:
    struct Node
    {
        NodeKind nodeKind = NodeKind::Agent;
        ConfigVersion configVersion = 0; ///< That the node said it has.
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
};

} // namespace guavashift
