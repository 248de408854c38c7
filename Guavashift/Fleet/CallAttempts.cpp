#include <Guavashift/Fleet/CallAttempts.h>

#include <algorithm>

namespace guavashift {

void CallAttempts::sent(std::uint64_t attempt, std::uint64_t position)
{
    m_open.push_back({attempt, position});
    ++m_count;
}

void CallAttempts::refused(std::uint64_t attempt)
{
    close(attempt);
}

void CallAttempts::undecided(std::uint64_t attempt)
{
    close(attempt);
    m_inDoubt = true;
}

void CallAttempts::sessionEnded(std::uint64_t written)
{
    m_inDoubt = m_inDoubt || std::any_of(m_open.begin(), m_open.end(), [&](const Attempt &each) {
                    return each.position < written;
                });
    m_open.clear();
}

void CallAttempts::close(std::uint64_t attempt)
{
    std::erase_if(m_open, [&](const Attempt &each) { return each.id == attempt; });
}

} // namespace guavashift
