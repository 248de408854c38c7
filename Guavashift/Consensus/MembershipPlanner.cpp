#include <Guavashift/Consensus/MembershipPlanner.h>

#include <algorithm>
#include <set>

namespace guavashift {

namespace {

Membership withVoter(Membership membership, const ReplicaId &id, bool voter)
{
    for (Member &member : membership.members) {
        if (member.id == id)
            member.voter = voter;
    }
    return membership;
}

Membership without(Membership membership, const ReplicaId &id)
{
    std::erase_if(membership.members, [&](const Member &member) { return member.id == id; });
    return membership;
}

} // namespace

MembershipPlanner::MembershipPlanner(const MembershipPlannerSettings &settings)
    : m_settings(settings)
{
}

void MembershipPlanner::joinRequested(const Member &member, Instant now)
{
    m_requests[member.vm] = {member, now};
}

bool MembershipPlanner::isReplaced(const Member &member, Instant now, const HealthMap &health) const
{
    // The VM has returned with another disk, so the old incarnation cannot return. A request of an
    // earlier disk may arrive late: a replica that has answered since is not replaced.
    const auto request = m_requests.find(member.vm);
    return request != m_requests.end() && request->second.member.id != member.id
        && now - request->second.at < m_settings.maxContactAge
        && health.at(member.id).lastContact <= request->second.at;
}

bool MembershipPlanner::isLost(const Member &member, const ReplicaId &leader, Instant now,
                               const HealthMap &health) const
{
    if (member.id == leader)
        return false;
    return isReplaced(member, now, health)
        || now - health.at(member.id).lastContact > m_settings.voterLostAfter;
}

std::optional<Membership> MembershipPlanner::addLearner(const Membership &membership, Instant now,
                                                        const HealthMap &health) const
{
    for (const auto &[vm, request] : m_requests) {
        const bool fresh = now - request.at < m_settings.maxContactAge;
        const Member *known = membership.findVm(vm);
        const bool late = known != nullptr && health.at(known->id).lastContact > request.at;
        if (!fresh || late || membership.find(request.member.id) != nullptr)
            continue;
        Membership next = membership;
        next.members.push_back(request.member);
        next.members.back().voter = false;
        return next;
    }
    return std::nullopt;
}

std::optional<Membership> MembershipPlanner::updateAddress(const Membership &membership,
                                                           Instant now) const
{
    for (const auto &[vm, request] : m_requests) {
        const Member *member = membership.find(request.member.id);
        const bool fresh = now - request.at < m_settings.maxContactAge;
        if (!fresh || member == nullptr || member->address == request.member.address)
            continue;
        Membership next = membership;
        for (Member &changed : next.members) {
            if (changed.id == request.member.id)
                changed.address = request.member.address;
        }
        return next;
    }
    return std::nullopt;
}

std::optional<Membership> MembershipPlanner::planWith(const Membership &membership,
                                                      const ReplicaId &leader, LogIndex commitIndex,
                                                      Instant now, const HealthMap &health) const
{
    // A joining replica becomes a learner first, because a learner does not change the quorum.
    if (std::optional<Membership> next = updateAddress(membership, now))
        return next;
    if (std::optional<Membership> next = addLearner(membership, now, health))
        return next;

    std::set<FailureDomain> voterDomains;
    std::size_t healthyVoters = 0;
    const Member *lostVoter = nullptr;
    for (const Member &member : membership.members) {
        if (!member.voter)
            continue;
        if (isLost(member, leader, now, health)) {
            lostVoter = &member;
        } else {
            ++healthyVoters;
            voterDomains.insert(member.failureDomain);
        }
    }

    // A lost voter is removed once there are enough healthy voters. They hold the committed
    // entries, because a learner is promoted only after it has synced them.
    if (lostVoter != nullptr && healthyVoters >= m_settings.targetVoters)
        return without(membership, lostVoter->id);

    // While voters are missing, a reachable learner that has synced everything committed becomes
    // one, preferably in a failure domain without a voter.
    if (healthyVoters < m_settings.targetVoters) {
        const Member *best = nullptr;
        for (const Member &member : membership.members) {
            const ReplicaHealth &state = health.at(member.id);
            const bool ready = !member.voter && !isReplaced(member, now, health)
                && state.matchIndex >= commitIndex && state.matchIndex > 0
                && now - state.lastContact < m_settings.maxContactAge;
            if (!ready)
                continue;
            const bool newDomain = !voterDomains.contains(member.failureDomain);
            if (best == nullptr || (newDomain && voterDomains.contains(best->failureDomain)))
                best = &member;
        }
        if (best != nullptr)
            return withVoter(membership, best->id, true);
    }

    // Learners that are replaced or lost are removed.
    for (const Member &member : membership.members) {
        const bool lost = isReplaced(member, now, health)
            || now - health.at(member.id).lastContact > m_settings.learnerLostAfter;
        if (!member.voter && member.id != leader && lost)
            return without(membership, member.id);
    }
    return std::nullopt;
}

std::optional<VoterShortage> MembershipPlanner::shortageWith(const Membership &membership,
                                                             const ReplicaId &leader, Instant now,
                                                             const HealthMap &health) const
{
    VoterShortage shortage;
    for (const Member &member : membership.members) {
        if (!member.voter)
            shortage.learners.push_back(member.id);
        else if (isLost(member, leader, now, health))
            shortage.lostVoters.push_back(member.id);
        else
            ++shortage.healthyVoters;
    }
    if (shortage.healthyVoters >= m_settings.targetVoters)
        return std::nullopt;
    for (const auto &[vm, request] : m_requests) {
        if (now - request.at < m_settings.maxContactAge
            && membership.find(request.member.id) == nullptr)
            shortage.joining.push_back(request.member.id);
    }
    return shortage;
}

} // namespace guavashift
