#pragma once

#include <Guavashift/Consensus/Messages.h>

#include <map>
#include <optional>

namespace guavashift {

/// Finds out which state the voters have: the digest that a quorum of them reports for one index.
/// The word of a single replica, the leader's too, tells nothing about the state of another. Not
/// thread-safe.
class StateAgreement final
{
public:
    /// Records the digest that a replica, which may be this one, has for an index.
    void record(const ReplicaId &replica, const StateDigest &digest, const Membership &membership);

    /// The newest digest that a quorum of the voters has reported; index 0 if there is none.
    [[nodiscard]] const StateDigest &agreed() const { return m_agreed; }

    /// The newest index after the agreed one for which replicas have reported different digests,
    /// and no quorum the same.
    [[nodiscard]] std::optional<LogIndex> disputed(const Membership &membership) const;

    void clear();

private:
    using Reports = std::map<ReplicaId, StateDigest>;

    /// The digest in the reports that a quorum of the voters has; index 0 if there is none.
    [[nodiscard]] static StateDigest quorumDigest(const Reports &reports,
                                                  const Membership &membership);

    std::map<LogIndex, Reports> m_reports;
    StateDigest m_agreed;
};

} // namespace guavashift
