#pragma once

#include <cstdint>
#include <vector>

namespace guavashift {

/// What is known about the attempts to hand one call to a leader. Says whether the call certainly
/// was not done, which is what a refusal claims.
class CallAttempts final
{
public:
    /// Records an attempt. `position`: bytes that the session had queued before the attempt's
    /// frame.
    void sent(std::uint64_t attempt, std::uint64_t position);
    /// The receiver refused the attempt, which it does before it proposes anything.
    void refused(std::uint64_t attempt);
    /// The receiver could not tell the outcome of the attempt.
    void undecided(std::uint64_t attempt);
    /// The session of all open attempts ended after it had passed `written` bytes to the kernel. An
    /// attempt is in doubt from its first byte on.
    void sessionEnded(std::uint64_t written);

    /// Whether no attempt can have been proposed, nor can be from now on.
    [[nodiscard]] bool certainlyNotDone() const { return !m_inDoubt && m_open.empty(); }
    /// Number of attempts, including those that reached nobody.
    [[nodiscard]] std::uint32_t count() const { return m_count; }

private:
    struct Attempt
    {
        std::uint64_t id = 0;
        std::uint64_t position = 0;
    };

    void close(std::uint64_t attempt);

    std::vector<Attempt> m_open; ///< Neither answered nor ended with their session.
    std::uint32_t m_count = 0;
    bool m_inDoubt = false;
};

} // namespace guavashift
