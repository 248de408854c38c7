#include <Guavashift/Fleet/MembershipMonitor.h>

#include <fmt/ranges.h>

namespace guavashift {

namespace {

std::string joined(std::span<const ReplicaId> replicas)
{
    std::vector<std::string_view> names;
    for (const ReplicaId &replica : replicas)
        names.emplace_back(replica.value);
    return fmt::format("{}", fmt::join(names, ","));
}

} // namespace

MembershipMonitor::MembershipMonitor(const MembershipMonitorSettings &settings,
                                     FleetMetrics &metrics)
    : m_settings(settings)
    , m_metrics(metrics)
{
}

bool MembershipMonitor::isDue(std::optional<Wait> &wait, Instant now) const
{
    if (!wait)
        wait = Wait{now, now + m_settings.reportAfter, false};
    if (now < wait->nextReport)
        return false;
    wait->nextReport = now + m_settings.reportInterval;
    wait->isReported = true;
    return true;
}

void MembershipMonitor::asking(Instant now, bool isMember, std::span<const std::string> addresses)
{
    m_metrics.setReplicaAvailable(isMember);
    const bool isFirst = !m_join;
    const bool isLong = isDue(m_join, now);
    // A member asks whenever it loses its leader, which its change of role shows.
    if (!isLong && (!isFirst || isMember))
        return;
    logEvent(isLong ? LogLevel::Warning : LogLevel::Info, isLong ? "join-waits" : "join-requested",
             {{"member", isMember},
              {"waited_ms", toMs(now - m_join->since)},
              {"asked", fmt::format("{}", fmt::join(addresses, ","))}});
}

void MembershipMonitor::following(Instant now)
{
    m_metrics.setReplicaAvailable(true);
    if (m_join && m_join->isReported)
        logEvent(LogLevel::Info, "join-ended", {{"waited_ms", toMs(now - m_join->since)}});
    m_join.reset();
}

void MembershipMonitor::joinHeard(Instant now, const Member &member, bool leads,
                                  std::string_view leader)
{
    std::erase_if(m_heardAt, [&](const auto &heard) {
        return now - heard.second >= m_settings.reportInterval;
    });
    if (!m_heardAt.try_emplace(member.id, now).second)
        return;
    logEvent(LogLevel::Info, leads ? "join-heard" : "join-ignored",
             {{"replica", member.id}, {"address", member.address}, {"leader", leader}});
}

void MembershipMonitor::votersCounted(Instant now, const std::optional<VoterShortage> &shortage)
{
    if (!shortage) {
        if (m_shortage && m_shortage->isReported)
            logEvent(LogLevel::Info, "voters-complete",
                     {{"missing_ms", toMs(now - m_shortage->since)}});
        m_shortage.reset();
        return;
    }
    if (!isDue(m_shortage, now))
        return;
    logEvent(LogLevel::Warning, "voters-missing",
             {{"healthy", shortage->healthyVoters},
              {"target", m_settings.targetVoters},
              {"missing_ms", toMs(now - m_shortage->since)},
              {"lost", joined(shortage->lostVoters)},
              {"learners", joined(shortage->learners)},
              {"joining", joined(shortage->joining)}});
}

void MembershipMonitor::leadershipEnded()
{
    m_shortage.reset();
}

} // namespace guavashift
