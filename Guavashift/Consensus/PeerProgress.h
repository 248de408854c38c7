#pragma once

#include <Guavashift/Consensus/LogTypes.h>

#include <deque>

namespace guavashift {

/// What a leader knows of one other replica.
struct PeerProgress
{
    struct SentRound
    {
        std::uint64_t round = 0;
        Instant sentAt;
    };

    ReplicaId id;
    LogIndex nextIndex = 1;
    /// Highest index known to be synced there.
    LogIndex matchIndex = 0;
    /// Newest round that was answered with success.
    std::uint64_t successRound = 0;
    /// An append with entries or a snapshot chunk is on its way; the next waits for the answer.
    bool inFlight = false;
    Instant sentAt;
    /// Send times of the rounds not yet answered, oldest first.
    std::deque<SentRound> rounds;
    /// Send time of the newest answered round.
    Instant lastAnsweredSendAt;
    /// When the newest answer arrived.
    Instant lastReplyAt;
    /// Bytes of the snapshot that the peer has; meaningful while `snapshotIndex` is not 0.
    std::uint64_t snapshotOffset = 0;
    LogIndex snapshotIndex = 0;
};

} // namespace guavashift
