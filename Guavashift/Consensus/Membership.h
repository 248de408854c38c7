#pragma once

#include <Guavashift/Core/Core.h>

#include <string>
#include <vector>

namespace guavashift {

/// Control process that is a member of the replicated log.
struct Member
{
    ReplicaId id;
    std::string vm;      ///< Name of the VM, the same across disk incarnations.
    std::string address; ///< "IP:port" of its control endpoint.
    FailureDomain failureDomain;
    bool voter = false; ///< A learner receives the log but has no vote.

    bool operator==(const Member &) const = default;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Member, id, vm, address, failureDomain, voter)

/// The set of replicas. Two consecutive memberships differ in at most one voter.
struct Membership
{
    std::vector<Member> members;

    bool operator==(const Membership &) const = default;

    [[nodiscard]] const Member *find(const ReplicaId &id) const;
    [[nodiscard]] const Member *findVm(std::string_view vm) const;
    [[nodiscard]] bool isVoter(const ReplicaId &id) const;
    [[nodiscard]] std::size_t voterCount() const;
    /// Smallest number of voters that is a majority.
    [[nodiscard]] std::size_t quorum() const { return voterCount() / 2 + 1; }
    /// Whether `next` adds or removes at most one voter and has at least one.
    [[nodiscard]] bool isSingleChangeTo(const Membership &next) const;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Membership, members)

} // namespace guavashift
