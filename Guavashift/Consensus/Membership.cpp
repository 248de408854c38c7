#include <Guavashift/Consensus/Membership.h>

#include <algorithm>

namespace guavashift {

const Member *Membership::find(const ReplicaId &id) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const Member &member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

const Member *Membership::findVm(std::string_view vm) const
{
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const Member &member) { return member.vm == vm; });
    return found == members.end() ? nullptr : &*found;
}

bool Membership::isVoter(const ReplicaId &id) const
{
    const Member *member = find(id);
    return member != nullptr && member->voter;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const Member &member) { return member.voter; }));
}

bool Membership::isSingleChangeTo(const Membership &next) const
{
    std::size_t changes = 0;
    for (const Member &member : members)
        changes += member.voter && !next.isVoter(member.id) ? 1 : 0;
    for (const Member &member : next.members)
        changes += member.voter && !isVoter(member.id) ? 1 : 0;
    return changes <= 1 && next.voterCount() > 0;
}

} // namespace guavashift
