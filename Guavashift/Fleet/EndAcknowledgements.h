#pragma once

#include <Guavashift/Fleet/FleetMessages.h>

namespace guavashift {

/// Which ends a worker may forget, and which acknowledgements its next lifetime may carry out. A
/// lifetime that takes an acknowledgement which was meant for an earlier one never lists its own
/// ends up to that number. Reads no clock.
class EndAcknowledgements final
{
public:
    /// Identifies an acknowledgement that was sent on any connection.
    using Id = std::uint64_t;

    /// `longestDelay`: of a call without an answer until it is carried out.
    explicit EndAcknowledgements(Duration longestDelay)
        : m_longestDelay(longestDelay)
    {
    }

    /// Records that a lifetime was found.
    void lifetimeFound(const Lifetime &lifetime);
    /// The number up to which a lifetime that was found may never list its ends, because it may
    /// receive, or have received, an acknowledgement for an earlier one; 0: it lists all.
    [[nodiscard]] std::uint64_t hiddenUpTo(const Lifetime &lifetime) const;
    /// Records that the ends up to that number are committed.
    void committed(std::uint64_t upTo) { m_committedUpTo = std::max(m_committedUpTo, upTo); }
    [[nodiscard]] std::uint64_t committedUpTo() const { return m_committedUpTo; }
    /// Whether there are committed ends that the present lifetime is not known to have forgotten.
    [[nodiscard]] bool isDue() const { return m_committedUpTo > m_acknowledgedUpTo; }
    /// Whether the answer to an acknowledgement on any connection is awaited.
    [[nodiscard]] bool isOpen() const { return m_awaited.has_value(); }
    /// Records that the present lifetime has carried out an acknowledgement.
    void carriedOut(std::uint64_t upTo) { m_acknowledgedUpTo = std::max(m_acknowledgedUpTo, upTo); }

    /// Records that an acknowledgement for `lifetime` was sent on any connection.
    Id sent(const Lifetime &lifetime, std::uint64_t upTo, Instant now);
    /// Records that the call was answered, or has failed. If not `isSettled`, a later lifetime may
    /// have carried it out, or still may.
    void returned(Id id, bool isSettled);
    /// Records that the present lifetime has answered a poll that was sent at `sent`: no call from
    /// long before that can reach a later one.
    void lifetimeAnswered(const Lifetime &lifetime, Instant sent);

private:
    struct Sent
    {
        Lifetime lifetime;
        std::uint64_t upTo = 0;
        Instant at;
    };

    Duration m_longestDelay;
    std::uint64_t m_committedUpTo = 0;
    std::uint64_t m_acknowledgedUpTo = 0;
    Id m_lastId = 0;
    std::optional<Id> m_awaited;
    std::map<Id, Sent> m_unsettled;
    /// Acknowledgements that lifetimes may take for theirs, with the number of each.
    std::map<Lifetime, std::map<Id, std::uint64_t>> m_hiding;
};

} // namespace guavashift
