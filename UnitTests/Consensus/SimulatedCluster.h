#pragma once

#include <Guavashift/Consensus/MembershipPlanner.h>
#include <UnitTests/Consensus/SimulatedDisk.h>

#include <map>
#include <optional>
#include <set>

namespace guavashift {

/// Settings of a simulated cluster.
struct SimulatedClusterSettings
{
    std::size_t vms = 3;
    ReplicaSettings replica;
    MembershipPlannerSettings planner;
    std::uint64_t seed = 1;
    unsigned lossPercent = 5;
    unsigned duplicatePercent = 5;
    /// A VM that returns with an empty disk keeps its old identity. Unsafe; only to test what
    /// fails.
    bool reuseIdentity = false;
    /// Probability in permille of a crash before and after each sync.
    unsigned crashAtStoragePermille = 0;
};

/// Simulates replicas with disks and a network on a virtual clock. Checks the rules of consensus
/// after each step and collects the violations.
class SimulatedCluster final
{
public:
    explicit SimulatedCluster(const SimulatedClusterSettings &settings);

    // Faults and load.
    void run(Duration duration);
    void crash(std::size_t vm);
    void restart(std::size_t vm);
    void loseDisk(std::size_t vm);
    void loseNewestEntries(std::size_t vm, std::size_t count);
    void pause(std::size_t vm) { m_vms[vm].paused = true; }
    void resume(std::size_t vm) { m_vms[vm].paused = false; }
    void cutOff(std::size_t vm) { m_vms[vm].cutOff = true; }
    void reconnect(std::size_t vm) { m_vms[vm].cutOff = false; }
    void heal();
    void propose(std::size_t count);
    void transferLeadership();
    void takeSnapshots();
    void setLossless()
    {
        m_settings.lossPercent = 0;
        m_settings.crashAtStoragePermille = 0;
    }

    // Observed state.
    [[nodiscard]] std::optional<std::size_t> leader() const;
    [[nodiscard]] std::optional<std::size_t> leaseHolder() const;
    [[nodiscard]] bool isUp(std::size_t vm) const { return m_vms[vm].replica.has_value(); }
    [[nodiscard]] const Replica &replica(std::size_t vm) const { return *m_vms[vm].replica; }
    [[nodiscard]] std::size_t healthyVoters() const;
    [[nodiscard]] std::size_t acknowledged() const { return m_acknowledged.size(); }
    [[nodiscard]] const std::vector<std::string> &violations() const { return m_violations; }
    /// Whether all replicas are up and have applied the same entries, including all acknowledged
    /// ones.
    [[nodiscard]] bool converged() const;
    [[nodiscard]] std::size_t size() const { return m_vms.size(); }
    [[nodiscard]] Instant now() const { return m_now; }

private:
    struct Vm
    {
        std::string name;
        ReplicaId id;
        unsigned incarnation = 1;
        SimulatedDisk disk;
        std::optional<Replica> replica;
        bool paused = false;
        bool cutOff = false;
        std::vector<std::string> applied; ///< State machine: the applied entries in order.
        LogIndex appliedIndex = 0;
    };

    struct MessageInTransit
    {
        Instant at;
        Envelope envelope;
    };

    void step();
    void start(Vm &vm);
    void processEffects(Vm &vm);
    bool crashAtRandom(Vm &vm);
    void send(const Vm &from, const Envelope &envelope);
    void deliver();
    void apply(Vm &vm, const LogEntry &entry);
    void install(Vm &vm, const Snapshot &snapshot);
    void manageMembership();
    void check();
    Member memberOf(const Vm &vm) const;
    Vm *find(const ReplicaId &id);
    void reportViolation(std::string text);

    SimulatedClusterSettings m_settings;
    std::mt19937_64 m_random;
    Instant m_now = Instant(std::chrono::seconds(1000));
    std::vector<Vm> m_vms;
    std::vector<MessageInTransit> m_network;
    MembershipPlanner m_planner;

    std::map<Term, ReplicaId> m_leaders;
    std::map<LogIndex, std::string> m_committed; ///< As first applied on any replica.
    std::set<std::string> m_acknowledged;
    LogIndex m_highestAcknowledged = 0;
    std::map<std::string, LogIndex> m_proposed;
    std::uint64_t m_nextProposal = 1;
    std::vector<std::string> m_violations;
};

} // namespace guavashift
