#include <Guavashift/Fleet/StateSupply.h>

namespace guavashift {

namespace {

constexpr std::size_t partBytes = 256 << 10;
/// Making a copy takes a large fleet tens of milliseconds, so one serves several replicas.
constexpr Duration minCopyInterval = std::chrono::seconds(1);
constexpr Duration keptUnused = std::chrono::seconds(5);

} // namespace

StatePart StateSupply::answer(Instant now, const StateRequest &request,
                              const std::function<StateCopy()> &makeCopy)
{
    const bool continues = m_copy && request.index == m_copy->index;
    if (!m_copy || (!continues && now - m_madeAt >= minCopyInterval)) {
        m_copy = makeCopy();
        m_madeAt = now;
    }
    m_usedAt = now;
    const std::size_t size = m_copy->data.size();
    const std::size_t offset =
        continues ? std::min(static_cast<std::size_t>(request.offset), size) : 0;
    return {m_copy->index,  m_copy->term,  offset, size, m_copy->data.substr(offset, partBytes),
            m_copy->digest, m_copy->format};
}

void StateSupply::removeUnused(Instant now)
{
    if (m_copy && now - m_usedAt >= keptUnused)
        m_copy.reset();
}

} // namespace guavashift
