#include <Guavashift/Consensus/StateAgreement.h>

#include <algorithm>

namespace guavashift {

namespace {

/// Indices whose reports are kept. Replicas that are further behind are not compared.
constexpr std::size_t maxIndices = 64;

} // namespace

void StateAgreement::record(const ReplicaId &replica, const StateDigest &digest,
                            const Membership &membership)
{
    if (digest.index == 0)
        return;
    Reports &reports = m_reports[digest.index];
    const auto [known, added] = reports.emplace(replica, digest);
    // Replicas repeat their newest digest with every reply.
    if (!added && known->second == digest)
        return;
    known->second = digest;
    const StateDigest agreed = quorumDigest(reports, membership);
    if (agreed.index > m_agreed.index)
        m_agreed = agreed;
    if (m_reports.size() > maxIndices)
        m_reports.erase(m_reports.begin());
}

std::optional<LogIndex> StateAgreement::disputed(const Membership &membership) const
{
    for (auto at = m_reports.rbegin(); at != m_reports.rend() && at->first > m_agreed.index; ++at) {
        const Reports &reports = at->second;
        const StateDigest &first = reports.begin()->second;
        const bool differ = std::any_of(reports.begin(), reports.end(), [&](const auto &report) {
            return first.contradicts(report.second);
        });
        if (differ && quorumDigest(reports, membership).index == 0)
            return at->first;
    }
    return std::nullopt;
}

void StateAgreement::clear()
{
    m_reports.clear();
    m_agreed = {};
}

StateDigest StateAgreement::quorumDigest(const Reports &reports, const Membership &membership)
{
    for (const auto &[replica, digest] : reports) {
        const auto agrees = [&, &wanted = digest](const auto &report) {
            return report.second == wanted && membership.isVoter(report.first);
        };
        const auto votes = std::count_if(reports.begin(), reports.end(), agrees);
        if (static_cast<std::size_t>(votes) >= membership.quorum())
            return digest;
    }
    return {};
}

} // namespace guavashift
