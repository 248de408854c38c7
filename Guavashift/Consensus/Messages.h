#pragma once

#include <Guavashift/Consensus/LogTypes.h>

#include <variant>

namespace guavashift {

/// Requests a vote; with `preVote`, asks only whether it would be granted.
struct VoteRequest
{
    static constexpr std::string_view kind = "vote-request";
    Term term = 0;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    bool preVote = false;
    /// Set if the leader itself transfers leadership, so that voters need not wait for its lease.
    bool transfer = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoteRequest, term, lastIndex, lastTerm, preVote, transfer)

struct VoteReply
{
    static constexpr std::string_view kind = "vote-reply";
    Term term = 0;
    bool preVote = false;
    bool granted = false;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(VoteReply, term, preVote, granted)

/// Digest of the state machine after applying `index`, compared between replicas.
struct StateDigest
{
    LogIndex index = 0; ///< 0: none.
    std::uint64_t digest = 0;
    /// Of what is part of the digest. Digests of different formats cannot be compared.
    std::uint32_t format = 0;

    bool operator==(const StateDigest &) const = default;

    /// Whether the two show that the states of two replicas differ.
    [[nodiscard]] bool contradicts(const StateDigest &other) const
    {
        return index == other.index && format == other.format && digest != other.digest;
    }
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(StateDigest, index, digest, format)

/// Log entries that follow (prevIndex, prevTerm); a heartbeat if there are none.
struct AppendRequest
{
    static constexpr std::string_view kind = "append-request";
    Term term = 0;
    LogIndex prevIndex = 0;
    Term prevTerm = 0;
    std::vector<LogEntry> entries;
    LogIndex commitIndex = 0;
    /// Sequence number of the leader's sends. The reply echoes it, which proves contact as of the
    /// time of that send.
    std::uint64_t round = 0;
    /// The newest digest that a quorum of the voters has. Earlier versions do not send it.
    StateDigest agreed;
};

inline void to_json(Json &json, const AppendRequest &request) // NOLINT
{
    json = {{"term", request.term},
            {"prevIndex", request.prevIndex},
            {"prevTerm", request.prevTerm},
            {"entries", request.entries},
            {"commitIndex", request.commitIndex},
            {"round", request.round},
            // Earlier versions stop for good if this one differs from their own. They ignore
            // index 0.
            {"digest", StateDigest{}},
            {"agreed", request.agreed}};
}

inline void from_json(const Json &json, AppendRequest &request) // NOLINT
{
    json.at("term").get_to(request.term);
    json.at("prevIndex").get_to(request.prevIndex);
    json.at("prevTerm").get_to(request.prevTerm);
    json.at("entries").get_to(request.entries);
    json.at("commitIndex").get_to(request.commitIndex);
    json.at("round").get_to(request.round);
    request.agreed = json.value("agreed", StateDigest{});
}

struct AppendReply
{
    static constexpr std::string_view kind = "append-reply";
    Term term = 0;
    bool success = false;
    /// On success the last index that matches and is synced; otherwise the `prevIndex` to try next.
    LogIndex index = 0;
    std::uint64_t round = 0;
    /// The newest digest of the sender's state. Earlier versions do not send it.
    StateDigest state = {};
};

inline void to_json(Json &json, const AppendReply &reply) // NOLINT
{
    json = {{"term", reply.term},
            {"success", reply.success},
            {"index", reply.index},
            {"round", reply.round},
            {"state", reply.state}};
}

inline void from_json(const Json &json, AppendReply &reply) // NOLINT
{
    json.at("term").get_to(reply.term);
    json.at("success").get_to(reply.success);
    json.at("index").get_to(reply.index);
    json.at("round").get_to(reply.round);
    reply.state = json.value("state", StateDigest{});
}

/// Part of the leader's snapshot, starting at byte `offset`.
struct SnapshotChunk
{
    static constexpr std::string_view kind = "snapshot-chunk";
    Term term = 0;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    Membership membership;
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string data;
    std::uint64_t round = 0;
};

/// Encodes `data` as hexadecimal digits, because JSON strings cannot hold binary data.
inline void to_json(Json &json, const SnapshotChunk &chunk) // NOLINT
{
    json = {{"term", chunk.term},
            {"lastIndex", chunk.lastIndex},
            {"lastTerm", chunk.lastTerm},
            {"membership", chunk.membership},
            {"offset", chunk.offset},
            {"totalBytes", chunk.totalBytes},
            {"data", encodeHex(chunk.data)},
            {"round", chunk.round}};
}

inline void from_json(const Json &json, SnapshotChunk &chunk) // NOLINT
{
    json.at("term").get_to(chunk.term);
    json.at("lastIndex").get_to(chunk.lastIndex);
    json.at("lastTerm").get_to(chunk.lastTerm);
    json.at("membership").get_to(chunk.membership);
    json.at("offset").get_to(chunk.offset);
    json.at("totalBytes").get_to(chunk.totalBytes);
    chunk.data = decodeHex(json.at("data").get_ref<const std::string &>());
    json.at("round").get_to(chunk.round);
}

struct SnapshotReply
{
    static constexpr std::string_view kind = "snapshot-reply";
    Term term = 0;
    LogIndex lastIndex = 0;
    /// Number of bytes received so far of that snapshot; `totalBytes` once it is installed and
    /// synced.
    std::uint64_t nextOffset = 0;
    bool installed = false;
    std::uint64_t round = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SnapshotReply, term, lastIndex, nextOffset, installed, round)

/// Request of the leader to a caught-up voter to start an election at once.
struct TimeoutNow
{
    static constexpr std::string_view kind = "timeout-now";
    Term term = 0;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TimeoutNow, term)

using MessageBody = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk,
                                 SnapshotReply, TimeoutNow>;

/// Message from one replica to another.
struct Envelope
{
    ReplicaId from;
    ReplicaId to;
    MessageBody body;
};

inline void to_json(Json &json, const Envelope &envelope) // NOLINT
{
    json = {{"from", envelope.from}, {"to", envelope.to}, {"body", variantToJson(envelope.body)}};
}

inline void from_json(const Json &json, Envelope &envelope) // NOLINT
{
    json.at("from").get_to(envelope.from);
    json.at("to").get_to(envelope.to);
    envelope.body = variantFromJson<MessageBody>(json.at("body"));
}

} // namespace guavashift
