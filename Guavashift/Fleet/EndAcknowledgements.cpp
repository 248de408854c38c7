#include <Guavashift/Fleet/EndAcknowledgements.h>

namespace guavashift {

void EndAcknowledgements::lifetimeFound(const Lifetime &lifetime)
{
    m_committedUpTo = m_acknowledgedUpTo = 0;
    m_awaited.reset();
    for (const auto &[id, sent] : m_unsettled) {
        // Times of birth do not tell which came first: clocks may be set back.
        if (sent.lifetime.worker != lifetime.worker || sent.lifetime == lifetime)
            continue;
        // It is remembered: a lifetime may be found again.
        m_hiding[lifetime].emplace(id, sent.upTo);
    }
}

std::uint64_t EndAcknowledgements::hiddenUpTo(const Lifetime &lifetime) const
{
    std::uint64_t upTo = 0;
    if (const auto found = m_hiding.find(lifetime); found != m_hiding.end()) {
        for (const auto &[id, number] : found->second)
            upTo = std::max(upTo, number);
    }
    return upTo;
}

EndAcknowledgements::Id EndAcknowledgements::sent(const Lifetime &lifetime, std::uint64_t upTo,
                                                  Instant now)
{
    m_awaited = ++m_lastId;
    m_unsettled.emplace(m_lastId, Sent{lifetime, upTo, now});
    return m_lastId;
}

void EndAcknowledgements::returned(Id id, bool isSettled)
{
    if (m_awaited == id)
        m_awaited.reset();
    if (!isSettled)
        return;
    m_unsettled.erase(id);
    for (auto &[lifetime, acknowledgements] : m_hiding)
        acknowledgements.erase(id);
}

void EndAcknowledgements::lifetimeAnswered(const Lifetime &lifetime, Instant sent)
{
    std::erase_if(m_unsettled, [&](const auto &each) {
        return each.second.lifetime.worker == lifetime.worker
            && each.second.at + m_longestDelay < sent;
    });
}

} // namespace guavashift
