#pragma once

#include <Guavashift/Fleet/FleetMessages.h>

#include <optional>
#include <span>

namespace guavashift {

/// Copy of a replica's state after it has applied the entry with that index and term.
struct StateCopy
{
    LogIndex index = 0;
    Term term = 0;
    std::string data;
    std::uint64_t digest = 0;
    std::uint32_t format = 0; ///< Of the digest, see StateDigest.
};

struct StateRecoverySettings
{
    /// Time without an answer after which another replica is asked.
    Duration answerTimeout = std::chrono::seconds(1);
    /// Pause before a recovery that follows another one. Doubles with each that follows within
    /// `calmAfter`, up to the maximum: a replica that applies commands in another way than the
    /// others, such as one of another version, needs a new state again and again.
    Duration firstPause = std::chrono::seconds(1);
    Duration maxPause = std::chrono::seconds(30);
    Duration calmAfter = std::chrono::seconds(60);
};

/// Fetches a copy of the state of another replica part by part, for one whose own state must not
/// be used. Asks the others in turn until one of them answers. Not thread-safe.
class StateRecovery final
{
public:
    struct Request
    {
        std::string address;
        LogIndex index = 0;
        std::uint64_t offset = 0;
    };

    explicit StateRecovery(const StateRecoverySettings &settings);

    void begin(Instant now);
    /// Ends the recovery: the replica has a state that may be used.
    void end(Instant now);
    [[nodiscard]] bool isActive() const { return m_since.has_value(); }
    /// When the recovery began. Only while it is active.
    [[nodiscard]] Instant since() const { return *m_since; }

    /// The request that is to be sent now to one of the addresses, if one is due.
    [[nodiscard]] std::optional<Request> nextRequest(Instant now,
                                                     std::span<const std::string> addresses);
    void receive(Instant now, const StatePart &part);

    /// The copy once it is complete, otherwise null.
    [[nodiscard]] const StateCopy *copy() const { return m_isComplete ? &m_copy : nullptr; }
    /// Time since the copy is complete.
    [[nodiscard]] Duration copyAge(Instant now) const { return now - m_completeSince; }
    /// Drops a copy that cannot be used. The next one is requested from another replica.
    void rejectCopy(Instant now);

private:
    void dropCopy();

    StateRecoverySettings m_settings;
    std::optional<Instant> m_since;
    std::optional<Instant> m_endedAt;
    Duration m_pause = Duration::zero();
    Instant m_nextRequest;
    std::size_t m_asked = 0; ///< Number of times that another replica was chosen.
    bool m_isAnswerDue = false;
    bool m_isComplete = false;
    Instant m_completeSince;
    StateCopy m_copy;
};

} // namespace guavashift
