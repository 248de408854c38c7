#pragma once

#include <Guavashift/Consensus/Consensus.h>

#include <map>
#include <optional>

namespace guavashift {

struct MembershipPlannerSettings
{
    std::size_t targetVoters = 3;
    /// Silence after which a voter is taken for lost.
    Duration voterLostAfter = std::chrono::seconds(30);
    /// Silence after which a learner is removed.
    Duration learnerLostAfter = std::chrono::minutes(10);
    /// Answers younger than this mean that a replica is there.
    Duration maxContactAge = std::chrono::seconds(2);
};

/// What the leader knows of one replica.
struct ReplicaHealth
{
    LogIndex matchIndex = 0;
    Instant lastContact;
};

/// Plans the next change of membership, one voter at a time. Pure.
class MembershipPlanner final
{
public:
    explicit MembershipPlanner(const MembershipPlannerSettings &settings);

    /// A control process asks to take part.
    void joinRequested(const Member &member, Instant now);

    /// The membership to propose next, or nothing. `health` answers for members.
    template <typename HealthOf>
    [[nodiscard]] std::optional<Membership> plan(const Membership &membership,
                                                 const ReplicaId &leader, LogIndex commitIndex,
                                                 Instant now, const HealthOf &healthOf) const
    {
        std::map<ReplicaId, ReplicaHealth> health;
        for (const Member &member : membership.members)
            health[member.id] = healthOf(member.id);
        return planWith(membership, leader, commitIndex, now, health);
    }

private:
    using HealthMap = std::map<ReplicaId, ReplicaHealth>;

    struct JoinRequest
    {
        Member member;
        Instant at;
    };

    std::optional<Membership> planWith(const Membership &membership, const ReplicaId &leader,
                                       LogIndex commitIndex, Instant now,
                                       const HealthMap &health) const;
    [[nodiscard]] std::optional<Membership> addLearner(const Membership &membership,
                                                       Instant now) const;
    [[nodiscard]] std::optional<Membership> updateAddress(const Membership &membership,
                                                          Instant now) const;
    [[nodiscard]] bool isLost(const Member &member, const ReplicaId &leader, Instant now,
                              const HealthMap &health) const;
    [[nodiscard]] bool isReplaced(const Member &member, Instant now) const;

    MembershipPlannerSettings m_settings;
    std::map<std::string, JoinRequest> m_requests; ///< By VM; the newest incarnation.
};

} // namespace guavashift
