#include <Guavashift/Fleet/StateRecovery.h>

namespace guavashift {

StateRecovery::StateRecovery(const StateRecoverySettings &settings)
    : m_settings(settings)
{
}

void StateRecovery::begin(Instant now)
{
    if (isActive())
        return;
    const bool followsAnother = m_endedAt && now - *m_endedAt < m_settings.calmAfter;
    m_pause = followsAnother
        ? std::min(std::max(m_pause * 2, m_settings.firstPause), m_settings.maxPause)
        : Duration::zero();
    m_since = now;
    m_nextRequest = now + m_pause;
    // The copy before may have been wrong.
    if (followsAnother)
        ++m_asked;
    dropCopy();
}

void StateRecovery::end(Instant now)
{
    m_since.reset();
    m_endedAt = now;
    dropCopy();
}

std::optional<StateRecovery::Request>
StateRecovery::nextRequest(Instant now, std::span<const std::string> addresses)
{
    if (!isActive() || m_isComplete || now < m_nextRequest || addresses.empty())
        return std::nullopt;
    if (m_isAnswerDue) {
        // A copy of another replica is of another index.
        dropCopy();
        ++m_asked;
    }
    m_isAnswerDue = true;
    m_nextRequest = now + m_settings.answerTimeout;
    return Request{addresses[m_asked % addresses.size()], m_copy.index, m_copy.data.size()};
}

void StateRecovery::receive(Instant now, const StatePart &part)
{
    if (!isActive() || m_isComplete)
        return;
    if (part.offset == 0)
        m_copy = {part.index, part.term, {}, part.digest, part.format};
    else if (part.index != m_copy.index || part.digest != m_copy.digest
             || part.offset != m_copy.data.size())
        return;
    m_copy.data += part.data;
    m_isAnswerDue = false;
    m_nextRequest = now;
    m_isComplete = m_copy.data.size() == part.totalBytes;
    m_completeSince = now;
}

void StateRecovery::rejectCopy(Instant now)
{
    dropCopy();
    ++m_asked;
    m_nextRequest = now + m_settings.firstPause;
}

void StateRecovery::dropCopy()
{
    m_copy = {};
    m_isComplete = false;
    m_isAnswerDue = false;
}

} // namespace guavashift
