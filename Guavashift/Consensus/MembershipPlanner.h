#pragma once

#include <Guavashift/Consensus/Consensus.h>

#include <map>
#include <optional>

namespace guavashift {

struct MembershipPlannerSettings
{
    std::size_t targetVoters = 3;
    /// Time without contact after which a voter counts as lost.
    Duration voterLostAfter = std::chrono::seconds(30);
    /// Time without contact after which a learner is removed.
    Duration learnerLostAfter = std::chrono::minutes(10);
    /// Maximum age of the last contact with a reachable replica, and of a valid join request.
    Duration maxContactAge = std::chrono::seconds(2);
};

/// Leader's view of one replica.
struct ReplicaHealth
{
    LogIndex matchIndex = 0;
    Instant lastContact;
};

/// Why the log has fewer healthy voters than it should, so that fewer losses are tolerated.
struct VoterShortage
{
    std::size_t healthyVoters = 0;
    std::vector<ReplicaId> lostVoters;
    std::vector<ReplicaId> learners;
    /// Replicas that are no members and have asked to join lately.
    std::vector<ReplicaId> joining;
};

/// Plans membership changes, each of at most one voter. Does no I/O; time comes in as a value.
class MembershipPlanner final
{
public:
    explicit MembershipPlanner(const MembershipPlannerSettings &settings);

    /// Records the request of a control process to join.
    void joinRequested(const Member &member, Instant now);

    /// Returns the membership to propose next, or nothing. `healthOf` maps the id of each member to
    /// its ReplicaHealth.
    template <typename HealthOf>
    [[nodiscard]] std::optional<Membership> plan(const Membership &membership,
                                                 const ReplicaId &leader, LogIndex commitIndex,
                                                 Instant now, const HealthOf &healthOf) const
    {
        return planWith(membership, leader, commitIndex, now, healthMap(membership, healthOf));
    }

    /// Returns what keeps the membership below its target of healthy voters, or nothing if it has
    /// enough. Parameters as of plan().
    template <typename HealthOf>
    [[nodiscard]] std::optional<VoterShortage> shortage(const Membership &membership,
                                                        const ReplicaId &leader, Instant now,
                                                        const HealthOf &healthOf) const
    {
        return shortageWith(membership, leader, now, healthMap(membership, healthOf));
    }

private:
    using HealthMap = std::map<ReplicaId, ReplicaHealth>;

    template <typename HealthOf>
    static HealthMap healthMap(const Membership &membership, const HealthOf &healthOf)
    {
        HealthMap health;
        for (const Member &member : membership.members)
            health[member.id] = healthOf(member.id);
        return health;
    }

    struct JoinRequest
    {
        Member member;
        Instant at;
    };

    std::optional<Membership> planWith(const Membership &membership, const ReplicaId &leader,
                                       LogIndex commitIndex, Instant now,
                                       const HealthMap &health) const;
    [[nodiscard]] std::optional<VoterShortage> shortageWith(const Membership &membership,
                                                            const ReplicaId &leader, Instant now,
                                                            const HealthMap &health) const;
    [[nodiscard]] std::optional<Membership> addLearner(const Membership &membership, Instant now,
                                                       const HealthMap &health) const;
    [[nodiscard]] std::optional<Membership> updateAddress(const Membership &membership,
                                                          Instant now) const;
    [[nodiscard]] bool isLost(const Member &member, const ReplicaId &leader, Instant now,
                              const HealthMap &health) const;
    [[nodiscard]] bool isReplaced(const Member &member, Instant now, const HealthMap &health) const;

    MembershipPlannerSettings m_settings;
    std::map<std::string, JoinRequest> m_requests; ///< Latest request of each VM, by VM name.
};

} // namespace guavashift
