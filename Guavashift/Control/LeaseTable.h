#pragma once

#include <Guavashift/State/State.h>

#include <map>

namespace guavashift {

/// Lengths of the leases that the control leader grants.
struct LeaseSettings
{
    Duration workerLease = std::chrono::milliseconds(3000);
    Duration configLease = std::chrono::milliseconds(2500);
    /// Extra time before a worker is declared lost, for clocks of different rates.
    Duration margin = std::chrono::milliseconds(200);
    /// Time after the election of a new leader for which the old one may have granted leases.
    Duration leaderLease = std::chrono::milliseconds(450);
};

/// Records the worker leases that the leader granted. Not replicated: a new leader assumes that the
/// old one renewed each lease at the last possible moment. Not thread-safe.
class LeaseTable final
{
public:
    explicit LeaseTable(const LeaseSettings &settings);

    /// Clears the table when this replica becomes leader.
    void start(Instant now);

    void recordGrant(const WorkerId &worker, Instant now);

    /// Whether the worker's lease has certainly expired.
    [[nodiscard]] bool isExpired(const WorkerId &worker, Instant now) const;

    [[nodiscard]] const LeaseSettings &settings() const { return m_settings; }

private:
    LeaseSettings m_settings;
    Instant m_leaderSince;
    std::map<WorkerId, Instant> m_granted;
};

} // namespace guavashift
