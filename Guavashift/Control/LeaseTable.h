#pragma once

#include <Guavashift/State/State.h>

#include <map>

namespace guavashift {

/// Lengths of the leases that the control leader grants.
struct LeaseSettings
{
    Duration workerLease = std::chrono::milliseconds(3000);
    Duration configLease = std::chrono::milliseconds(2500);
    /// Added before a worker is declared lost; covers different clock rates.
    Duration margin = std::chrono::milliseconds(200);
    /// How long a deposed leader may have granted after this one was elected.
    Duration leaderLease = std::chrono::milliseconds(450);
};

/// What the leader remembers of the worker leases that it granted. It is not replicated: a new
/// leader assumes that the old one granted each lease as late as it could.
class LeaseTable final
{
public:
    explicit LeaseTable(const LeaseSettings &settings);

    /// Called when this replica becomes leader.
    void start(Instant now);

    void granted(const WorkerId &worker, Instant now);

    /// Whether the worker's lease has run out for certain.
    [[nodiscard]] bool isExpired(const WorkerId &worker, Instant now) const;

    [[nodiscard]] const LeaseSettings &settings() const { return m_settings; }

private:
    LeaseSettings m_settings;
    Instant m_leaderSince;
    std::map<WorkerId, Instant> m_granted;
};

} // namespace guavashift
