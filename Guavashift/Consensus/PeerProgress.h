#pragma once

#include <Guavashift/Consensus/LogTypes.h>

#include <deque>

namespace guavashift {

/// Leader's record of what one other replica has received and answered.
struct PeerProgress
{
    struct SentRound
    {
        std::uint64_t round = 0;
        Instant sentAt;
    };

    ReplicaId id;
    LogIndex nextIndex = 1;
    /// Highest index known to be synced on the peer.
    LogIndex matchIndex = 0;
    /// Newest round with a successful reply.
    std::uint64_t successRound = 0;
    /// Whether an append with entries or a snapshot chunk is unanswered; the next one waits for it.
    bool inFlight = false;
    Instant sentAt;
    /// Send times of the unanswered rounds, oldest first.
    std::deque<SentRound> rounds;
    /// Send time of the newest answered round.
    Instant lastAnsweredSendAt;
    /// Arrival time of the newest reply.
    Instant lastReplyAt;
    /// Number of bytes of the snapshot that the peer has; used only if `snapshotIndex` is not 0.
    std::uint64_t snapshotOffset = 0;
    LogIndex snapshotIndex = 0;
};

} // namespace guavashift
