#include <Guavashift/Fleet/ReplicaDriver.h>

#include <set>

// The part of ReplicaDriver for the membership and the addresses of the other replicas.

namespace guavashift {

void ReplicaDriver::observeVoters(Instant now)
{
    std::set<ReplicaId> silent;
    for (const Member &member : m_replica->membership().members) {
        if (!member.voter || member.id == m_self.id)
            continue;
        const Duration contactAge = now - m_replica->lastContact(member.id);
        const bool wasSilent = m_silentVoters.contains(member.id);
        const bool isSilent = contactAge > m_settings.membership.voterLostAfter;
        if (isSilent)
            silent.insert(member.id);
        if (isSilent == wasSilent)
            continue;
        logEvent(isSilent ? LogLevel::Warning : LogLevel::Info,
                 isSilent ? "voter-silent" : "voter-heard",
                 {{"voter", member.id},
                  {"contact_ms", toMs(contactAge)},
                  {"match_index", m_replica->matchIndex(member.id)},
                  {"last_index", m_replica->log().lastIndex()}});
    }
    m_metrics.setSilentVoters(silent.size());
    m_silentVoters = std::move(silent);
}

void ReplicaDriver::planMembership()
{
    const Instant now = BootClock::now();
    if (!m_replica->hasLease(now))
        return;
    const auto healthOf = [this](const ReplicaId &id) {
        return ReplicaHealth{m_replica->matchIndex(id), m_replica->lastContact(id)};
    };
    const Membership &current = m_replica->membership();
    m_monitor.votersCounted(now, m_planner.shortage(current, m_self.id, now, healthOf));
    const std::optional<Membership> next =
        m_planner.plan(current, m_self.id, m_replica->commitIndex(), now, healthOf);
    if (next && m_replica->proposeMembership(now, *next))
        logEvent(LogLevel::Info, "membership-proposed",
                 {{"members", next->members.size()}, {"voters", next->voterCount()}});
}

void ReplicaDriver::askToJoin()
{
    const Instant now = BootClock::now();
    const bool isMember = m_replica->membership().find(m_self.id) != nullptr;
    if (isMember && !m_replica->leader().isEmpty()) {
        m_monitor.following(now);
        return;
    }
    // A replica without a log knows no member, and its seeds may be outdated or follow a leader
    // that is none of them. The leader may also send to an earlier incarnation of this disk.
    const std::vector<std::string> known = addresses();
    std::set<std::string> asked(known.begin(), known.end());
    const std::vector<std::string> others = m_observer.otherAddresses();
    asked.insert(others.begin(), others.end());
    for (const auto &[replica, address] : m_reportedAddresses)
        asked.insert(address);
    asked.erase(m_self.address);
    m_monitor.asking(now, isMember, std::vector<std::string>(asked.begin(), asked.end()));
    for (const std::string &address : asked)
        sendTo(address, JoinRequest{m_self});
}

std::string ReplicaDriver::leaderAddress() const
{
    if (!m_replica || m_stopped || m_replica->leader().isEmpty())
        return {};
    if (m_replica->leader() == m_self.id)
        return m_self.address;
    if (const auto reported = m_reportedAddresses.find(m_replica->leader());
        reported != m_reportedAddresses.end())
        return reported->second;
    const Member *member = m_replica->membership().find(m_replica->leader());
    return member == nullptr ? std::string() : member->address;
}

std::vector<std::string> ReplicaDriver::addresses() const
{
    std::vector<std::string> addresses;
    for (const Member &member : m_replica->membership().members)
        addresses.push_back(member.address);
    for (const std::string &seed : m_fleet.seeds) {
        if (std::find(addresses.begin(), addresses.end(), seed) == addresses.end())
            addresses.push_back(seed);
    }
    return addresses;
}

void ReplicaDriver::transferLeadership()
{
    if (leads())
        (void)m_replica->transferLeadership(BootClock::now());
}

} // namespace guavashift
