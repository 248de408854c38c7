#pragma once

#include <Guavashift/Fleet/FleetMessages.h>

namespace guavashift {

/// Outcome of a call to the worker.
enum class WorkerCallResult : std::uint8_t {
    Done,
    FencedOff,     ///< The worker has observed a higher fencing token.
    TooOld,        ///< That run, or a later one of the task, was stopped or ended on the worker.
    TooLate,       ///< The lease in the request had expired.
    NoCapacity,    ///< The task does not fit on the worker.
    NoApproval,    ///< The ticket of the policy service is missing or invalid.
    Unhealthy,     ///< The worker is unhealthy and did nothing.
    Wrong,         ///< The worker could not read the order.
    OtherLifetime, ///< Another worker answers at the address.
    ConnectionRefused, ///< By the worker's machine, or on the way to it. Nothing was sent.
    NotSent,           ///< None of the connections that the call names is open and idle.
    NoAnswer           ///< It is unknown whether the call was carried out or still will be.
};
std::string_view nameOf(WorkerCallResult result);
/// Whether the worker has answered a poll, be it that another session has sent a higher token.
bool isAnswered(WorkerCallResult result);

/// Identifies a connection to the worker, which belongs to one of its lifetimes; 0: none.
using WorkerConnection = std::uint64_t;

/// The connections on which a call may be sent; none: any, also a new one.
using WorkerConnections = std::optional<std::vector<WorkerConnection>>;

/// A worker's answer to a call.
struct WorkerReply
{
    WorkerCallResult result = WorkerCallResult::NoAnswer;
    std::int64_t born = 0;           ///< Start of the worker's lifetime; 0: not in the answer.
    std::int64_t clockMs = 0;        ///< The worker's steady clock; 0: not in the answer.
    WorkerConnection connection = 0; ///< On which the answer came.
    std::vector<RunStatus> running;
    std::vector<ListedEnd> ended;
    /// Whether `ended` holds all ends that are not acknowledged. If not, a run that is in neither
    /// list may have ended.
    bool listsAllEnds = true;
};

/// Extends the lease of all runs, acknowledges ends up to `seenUpTo`, and reads the lists of
/// running and ended runs. Waits up to `wait` for an end.
struct PollRequest
{
    std::string worker;
    std::uint64_t fence = 0;
    std::uint64_t seenUpTo = 0;
    std::int64_t untilMs = 0; ///< On the worker's clock; 0: do not extend.
    Duration wait = Duration::zero();
    WorkerConnections connections;
};

/// Asks which lifetime answers at the worker's address.
struct ProbeRequest
{
    std::string worker;
    std::uint64_t fence = 0;
    /// Whether to ask on a connection of its own. If not, on any connection, also a new one.
    bool onNewConnection = false;
};

struct StartRequest
{
    std::uint64_t fence = 0;
    std::int64_t untilMs = 0;
    StartOrder order;
    WorkerConnections connections;
};

struct StopRequest
{
    std::uint64_t fence = 0;
    StopOrder order;
};

struct ThrottleRequest
{
    std::uint64_t fence = 0;
    std::string worker;
    TaskRef task;
    std::uint32_t run = 0;
    std::int32_t percent = 100;
};

/// Calls to the worker of an agent. Callbacks run on the event loop's thread.
class WorkerPort
{
public:
    using Callback = std::function<void(WorkerReply)>;

    WorkerPort() = default;
    WorkerPort(const WorkerPort &) = delete;
    WorkerPort &operator=(const WorkerPort &) = delete;
    virtual ~WorkerPort() = default;

    virtual void poll(const PollRequest &request, Callback callback) = 0;
    /// Changes no lease and acknowledges no end. The answer need not hold the lists.
    virtual void probe(const ProbeRequest &request, Callback callback) = 0;
    virtual void start(const StartRequest &request, Callback callback) = 0;
    virtual void stop(const StopRequest &request, Callback callback) = 0;
    virtual void throttle(const ThrottleRequest &request, Callback callback) = 0;
};

} // namespace guavashift
