#pragma once

#include <Guavashift/Consensus/MembershipPlanner.h>
#include <Guavashift/Fleet/FleetMetrics.h>

#include <map>
#include <set>
#include <span>

namespace guavashift {

struct MembershipMonitorSettings
{
    /// Voters that the log should have.
    std::size_t targetVoters = 3;
    /// Time after which a wait to join, or a lack of voters, is reported as a warning.
    Duration reportAfter = std::chrono::seconds(2);
    /// Pause between two such warnings.
    Duration reportInterval = std::chrono::seconds(5);
};

/// Logs and counts what operators need to know of the members of the replicated log: which replicas
/// ask to join and who hears them, and what the leader lacks to replace a lost voter. Decides
/// nothing. Not thread-safe.
class MembershipMonitor final
{
public:
    MembershipMonitor(const MembershipMonitorSettings &settings, FleetMetrics &metrics);

    // Any replica.

    /// Records that this replica, which is no member or knows no leader, asks these addresses.
    void asking(Instant now, bool isMember, std::span<const std::string> addresses);
    /// Records that this replica is a member and knows the leader.
    void following(Instant now);
    /// Records a request of another replica. Only a leader acts on it.
    void joinHeard(Instant now, const Member &member, bool leads, std::string_view leader);

    // Leader.

    void votersCounted(Instant now, const std::optional<VoterShortage> &shortage);
    /// Forgets what was recorded as the leader.
    void leadershipEnded();

private:
    /// When something that should end soon began, and when it is reported next.
    struct Wait
    {
        Instant since;
        Instant nextReport;
        bool isReported = false;
    };

    /// Begins the wait if there is none. Returns whether it is to be reported now.
    bool isDue(std::optional<Wait> &wait, Instant now) const;

    MembershipMonitorSettings m_settings;
    FleetMetrics &m_metrics;
    std::optional<Wait> m_join;
    std::optional<Wait> m_shortage;
    std::map<ReplicaId, Instant> m_heardAt; ///< Latest request of each replica that asks.
};

} // namespace guavashift
