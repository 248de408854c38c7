#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Dispatch/Dispatch.h>

namespace guavashift {

// What the processes of a fleet say to each other, one message a frame.

enum class NodeRole : std::uint8_t { Gateway, Agent, Core };

/// Asks a control process who leads.
struct LeaderQuery
{
};

struct LeaderReply
{
    bool isLeader = false; ///< The one asked leads and has contact with a quorum.
    std::string address;   ///< Of the leader's channel, as far as known.
};

/// Opens a session with the leader.
struct OpenSession
{
    NodeRole role = NodeRole::Gateway;
    std::string node;
    std::string address; ///< Of this node's channel, for relaying.
};

struct SessionOpened
{
    /// Fencing token of the session; agents may add up to `fenceSpan` - 1.
    std::uint64_t fence = 0;
    std::int64_t leaseMs = 0; ///< Length of one worker lease.
};

/// How far apart the fencing tokens of two sessions are at least.
constexpr std::uint64_t fenceSpan = 256;

/// Addresses of channels: of the control processes, and of nodes that relay to them.
struct Directory
{
    std::vector<std::string> cores;
    std::vector<std::string> relays;

    bool operator==(const Directory &) const = default;
};

/// First frame to a relay: pass everything on to this control process.
struct RelayTo
{
    std::string address;
};

struct ReplicaMessages
{
    std::string address; ///< Of the sender's channel.
    std::vector<Envelope> envelopes;
};

struct JoinRequest
{
    Member member;
};

struct RenewLease
{
    std::int64_t sentAt = 0; ///< On the sender's clock; echoed.
};

struct LeaseGranted
{
    std::int64_t sentAt = 0;
};

struct WorkerReport
{
    WorkerFacts facts;
};

/// Everything that runs in one lifetime of a worker, seen under the session's fencing token.
struct Inventory
{
    Lifetime lifetime;
    std::vector<RunRow> rows;
};

struct RunTable
{
    Lifetime lifetime;
    std::vector<RunRow> rows;
};

struct ListedEnd
{
    std::uint64_t number = 0; ///< The worker's own count in this lifetime.
    EndRun end;
};

struct RunsEnded
{
    Lifetime lifetime;
    std::vector<ListedEnd> ends;
};

/// The ends up to this number are committed.
struct EndsCommitted
{
    Lifetime lifetime;
    std::uint64_t upTo = 0;
};

struct StartRefused
{
    Lifetime lifetime;
    TaskRef task;
    std::uint32_t run = 0;
    std::string reason;
};

/// Nothing of that lifetime runs any more, and nothing ever will.
struct LifetimeEnded
{
    Lifetime lifetime;
    bool unreachable = false; ///< Its lease ran out without a word of it.
};

struct KnownRuns
{
    std::vector<RunTraits> runs;
};

enum class CallKind : std::uint8_t {
    Submit,
    Query,
    Cancel,
    ReplaceConfiguration,
    ReadConfiguration
};

/// As it stands in logs.
std::string_view nameOf(CallKind kind);

/// What was learned of the pairs of images on a worker.
struct InterferenceReport
{
    std::vector<HarmRow> rows;
};

/// A caller's or an operator's request on its way to the leader.
struct FleetCall
{
    std::uint64_t id = 0;
    CallKind kind = CallKind::Query;
    std::string host;
    std::string path;
    std::optional<JobPlan> plan;
    std::string document;
    std::string request; ///< Id for logs.
};

enum class CallResult : std::uint8_t {
    Done,        ///< Accepted, cancelled or in force.
    State,       ///< `text` is the job's state.
    Pending,     ///< `number` of jobs wait in the queue.
    Document,    ///< `text` is the configuration.
    NoQueue,     ///< No queue has that place.
    NoJob,       ///< There is no such job.
    Invalid,     ///< `text` says what is wrong.
    Unavailable, ///< This request was certainly not done; may be sent again later.
    Unknown,     ///< Whether it was done is not known.
};

/// As it stands in logs.
std::string_view nameOf(CallResult result);

struct FleetAnswer
{
    std::uint64_t id = 0;
    CallResult result = CallResult::Unavailable;
    std::string text;
    std::int64_t number = 0;
};

using FleetMessage =
    std::variant<LeaderQuery, LeaderReply, OpenSession, SessionOpened, Directory, RelayTo,
                 ReplicaMessages, JoinRequest, RenewLease, LeaseGranted, WorkerReport, Inventory,
                 RunTable, RunsEnded, EndsCommitted, StartRefused, LifetimeEnded, KnownRuns,
                 StartOrder, StopOrder, FleetCall, FleetAnswer, InterferenceReport>;

std::string encodeFrame(const FleetMessage &message);
/// Nothing for bytes that encodeFrame() did not write.
std::optional<FleetMessage> decodeFrame(std::string_view frame);

} // namespace guavashift
