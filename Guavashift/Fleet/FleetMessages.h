#pragma once

#include <Guavashift/Consensus/Consensus.h>
#include <Guavashift/Dispatch/Dispatch.h>

namespace guavashift {

// Messages between the processes of a fleet, one message per frame.

enum class NodeRole : std::uint8_t { Gateway, Agent, Core };

/// Request to a control process for the address of the leader.
struct LeaderQuery
{
};

struct LeaderReply
{
    bool isLeader = false; ///< The sender leads and has contact with a quorum.
    std::string address;   ///< Channel of the leader; empty if not known.
};

/// Request to the leader to open a session.
struct OpenSession
{
    NodeRole role = NodeRole::Gateway;
    std::string node;
    std::string address; ///< Channel of this node, for relaying.
};

struct SessionOpened
{
    /// Fencing token of the session. Agents may add up to `fenceSpan` - 1.
    std::uint64_t fence = 0;
    std::int64_t leaseMs = 0; ///< Length of one worker lease.
};

/// Least distance between the fencing tokens of two sessions.
constexpr std::uint64_t fenceSpan = 256;

/// Channel addresses of the control processes and of the nodes that relay to them.
struct Directory
{
    std::vector<std::string> cores;
    std::vector<std::string> relays;

    bool operator==(const Directory &) const = default;
};

/// First frame to a relay: names the control process to which it forwards all later frames.
struct RelayTo
{
    std::string address;
};

struct ReplicaMessages
{
    std::string address; ///< Channel of the sender.
    std::vector<Envelope> envelopes;
};

struct JoinRequest
{
    Member member;
};

/// Asks for a lease for the lifetime of the worker that the agent reported last in this session.
struct RenewLease
{
    std::int64_t sentAt = 0; ///< On the sender's clock; returned in LeaseGranted.
};

/// The leader has recorded the lease on that lifetime, so it must not be passed on to another one.
struct LeaseGranted
{
    std::int64_t sentAt = 0;
};

struct WorkerReport
{
    WorkerFacts facts;
};

/// All runs in one lifetime of a worker, read with the session's fencing token or a higher one.
struct Inventory
{
    Lifetime lifetime;
    std::vector<RunStatus> rows;
};

struct RunTable
{
    Lifetime lifetime;
    std::vector<RunStatus> rows;
};

struct ListedEnd
{
    std::uint64_t number = 0; ///< Counted by the worker in this lifetime.
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

/// Nothing runs in that lifetime any more, and nothing ever will.
struct LifetimeEnded
{
    Lifetime lifetime;
    bool unreachable = false; ///< The lease ran out while the worker did not answer.
};

/// What shows that the lifetime has ended. Sent before WorkerCrashed and LifetimeEnded.
struct EndProven
{
    Lifetime lifetime;
    LifetimeProof proof = LifetimeProof::LeaseRanOut;
};

/// The lifetime has answered at the address of the agent's worker, so that no other one runs there.
/// Sent before its WorkerReport in each session.
struct LifetimeAnswered
{
    Lifetime lifetime;
};

/// The worker's program ended without notice in that lifetime. Sent before LifetimeEnded.
struct WorkerCrashed
{
    Lifetime lifetime;
    std::vector<TaskRun> recentRuns; ///< Started shortly before.
};

/// Runs of that lifetime whose start has no answer. The next lifetime under the same name may carry
/// it out. Sent before WorkerCrashed and LifetimeEnded.
struct OpenStarts
{
    Lifetime lifetime;
    std::vector<TaskRun> runs;
};

/// Starts for that lifetime may go out on any connection, and without an answer the next lifetime
/// may carry them out. The next inventory settles none of these runs, nor any other run unless
/// `namesAll`. Sent before an Inventory.
struct LateStarts
{
    Lifetime lifetime;
    std::vector<TaskRun> runs;
    bool namesAll = true; ///< False if an earlier process of the agent may have sent others.
};

/// The callers' limits of the configuration in force. Sent to gateways; earlier versions ignore it.
struct CallerLimitsInForce
{
    CallerLimits limits;
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
    ReadConfiguration,
    Evacuate, ///< `document` names the failure domain.
    TakeBack  ///< The same.
};

/// Name of the kind in logs and metrics.
std::string_view nameOf(CallKind kind);

/// Learned interference of the pairs of images on a worker.
struct InterferenceReport
{
    std::vector<InterferenceRow> rows;
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
    std::string request; ///< Id of the request in logs.
};

enum class CallResult : std::uint8_t {
    Done,        ///< Accepted, cancelled or in force.
    State,       ///< `text` is the state of the job.
    Pending,     ///< `number` of jobs wait in the queue.
    Document,    ///< `text` is the configuration.
    NoQueue,     ///< No queue has that host and path.
    NoJob,       ///< There is no such job.
    Invalid,     ///< `text` names the errors.
    Unavailable, ///< This request was certainly not done; it may be sent again later.
    Unknown,     ///< It is not known whether the request was done.
};

/// Name of the result in logs and metrics.
std::string_view nameOf(CallResult result);

struct FleetAnswer
{
    std::uint64_t id = 0;
    CallResult result = CallResult::Unavailable;
    std::string text;
    std::int64_t number = 0;
};

/// Asks a replica for a part of a copy of its state. Earlier versions ignore it.
struct StateRequest
{
    std::string address; ///< Channel of the sender.
    LogIndex index = 0;  ///< Of the copy that the sender has a part of; 0: none.
    std::uint64_t offset = 0;
};

/// Part of a copy of the sender's state after it has applied an entry.
struct StatePart
{
    LogIndex index = 0;
    Term term = 0; ///< Of that entry.
    std::uint64_t offset = 0;
    std::uint64_t totalBytes = 0;
    std::string data;
    std::uint64_t digest = 0; ///< Of the state.
    std::uint32_t format = 0; ///< Of the digest, see StateDigest.
};

using FleetMessage =
    std::variant<LeaderQuery, LeaderReply, OpenSession, SessionOpened, Directory, RelayTo,
                 ReplicaMessages, JoinRequest, RenewLease, LeaseGranted, WorkerReport, Inventory,
                 RunTable, RunsEnded, EndsCommitted, StartRefused, LifetimeEnded, KnownRuns,
                 StartOrder, StopOrder, FleetCall, FleetAnswer, InterferenceReport, WorkerCrashed,
                 OpenStarts, EndProven, LifetimeAnswered, LateStarts, CallerLimitsInForce,
                 StateRequest, StatePart>;

std::string encodeFrame(const FleetMessage &message);
/// Returns nothing for bytes that encodeFrame() did not write.
std::optional<FleetMessage> decodeFrame(std::string_view frame);

} // namespace guavashift
