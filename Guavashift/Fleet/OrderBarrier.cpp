#include <Guavashift/Fleet/OrderBarrier.h>

namespace guavashift {

void OrderBarrier::sessionOpened()
{
    *this = {};
}

void OrderBarrier::lifetimeEnded(const Lifetime &lifetime)
{
    m_ended = lifetime;
    m_answersLeft.reset();
}

void OrderBarrier::inventorySent(const Lifetime &lifetime)
{
    ++m_unanswered;
    if (m_ended == lifetime && !m_answersLeft)
        m_answersLeft = m_unanswered;
}

void OrderBarrier::inventoryAnswered()
{
    if (m_unanswered > 0)
        --m_unanswered;
    if (!m_answersLeft || --*m_answersLeft > 0)
        return;
    m_answersLeft.reset();
    m_ended.reset();
}

bool OrderBarrier::mayCarryOut(const Lifetime &lifetime) const
{
    return m_ended != lifetime;
}

} // namespace guavashift
