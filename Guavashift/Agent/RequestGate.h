#pragma once

#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Http/Http.h>

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace guavashift {

/// Limits of a RequestGate.
struct RequestGateSettings
{
    Duration windowLength = std::chrono::seconds(10);
    /// Windows for which ids of requests without an idempotency key are remembered.
    std::uint64_t unkeyedWindows = 6;
    /// The same for requests with a key; must cover the configured expiry of keys.
    std::uint64_t keyedWindows = 8640;
    /// Number of remembered ids above which the oldest windows are forgotten early.
    std::size_t maxRemembered = 100'000;
    /// Bytes of kept answers, which are repeated to copies of a request.
    std::size_t maxAnswerBytes = 8 << 20;
    /// Limit of requests that wait for a slot.
    std::size_t maxWaiting = 64;

    /// Safety checks. Only tests turn one off, to show that the rules then break.
    bool checkIncarnation = true;
    bool checkWindow = true;
    bool rememberRequests = true;
};

/// A request as an entry sends it to an agent.
struct DispatchedRequest
{
    RequestId id;
    Incarnation incarnation;  ///< Of the agent that the request is meant for.
    std::uint64_t window = 0; ///< The agent's window when the entry chose the id, or later.
    ServiceId service;
    bool keyed = false;
};

/// The request runs now at this backend server; finish() must follow.
struct RunRequest
{
    TaskId backend;
};

/// The request waits until finish() of another request grants it a slot, or until withdraw().
struct WaitForSlot
{
};

/// The same request is already running or waiting here; its answer is the answer to this copy too.
struct JoinRunning
{
};

/// The same request has run here with this answer.
struct RepeatAnswer
{
    std::shared_ptr<const HttpResponse> answer;
};

enum class RefusalReason {
    WrongIncarnation, ///< Meant for another incarnation of this agent.
    StaleWindow,      ///< Has no window yet; the answer contains the current one.
    Forgotten,        ///< Its window is no longer remembered, so it may have run.
    Revoked,          ///< Was revoked or refused before.
    Leaving,          ///< The agent or the service's backend servers accept no new requests.
    NoBackend,        ///< No backend server of the service is announced.
    LeaseExpired,     ///< The VM's configuration may be out of date.
    Full,             ///< The queue for slots is full.
    AlreadyRan,       ///< Has run here, and its answer is not kept.
};

struct RefuseRequest
{
    RefusalReason reason = RefusalReason::Full;
    /// Whether the request certainly never ran at this agent and never will.
    bool certainlyNotRun = false;
};

using RequestDecision =
    std::variant<RunRequest, WaitForSlot, JoinRunning, RepeatAnswer, RefuseRequest>;

/// Result of a run.
struct RunEnd
{
    /// The backend server was never reached.
    bool notRun = false;
    /// The backend server's complete answer, or null.
    std::shared_ptr<const HttpResponse> answer;
};

/// A waiting request that was granted a slot.
struct SlotGranted
{
    RequestId id;
    TaskId backend;
};

/// Runs each request id at most once at this incarnation of the agent, limits the requests at each
/// backend server to its slots, and remembers the requests that ran. Does no I/O and reads no
/// clock. Not thread-safe.
class RequestGate final
{
public:
    RequestGate(const RequestGateSettings &settings, Incarnation incarnation, Instant now);

    /// Advances to the window at `now` and forgets requests of expired windows. Must be called
    /// before the other methods.
    void advance(Instant now);

    /// Replaces the announced backend servers. A leaving one gets no new requests.
    void updateBackends(std::span<const BackendServer> backends);

    /// Without the configuration lease, new requests are refused and known ones continue.
    void setLeaseHeld(bool held) { m_leaseHeld = held; }

    /// Refuses all new requests from now on.
    void startLeaving() { m_leaving = true; }

    /// Decides on a request, new or copy, that has arrived from an entry.
    RequestDecision arrive(const DispatchedRequest &dispatch);

    /// Records the end of a run. Returns the waiting requests that now have a slot.
    std::vector<SlotGranted> finish(const RequestId &id, const RunEnd &end);

    /// The backend server at which the request has a slot, if any; finish() must follow.
    [[nodiscard]] std::optional<TaskId> grantedBackend(const RequestId &id) const;

    /// Removes a waiting request from the queue. Returns false if it is not waiting, such as when
    /// it has been granted a slot in the meantime.
    bool withdraw(const RequestId &id);

    /// Prevents the request from running here, unless it is running or has run.
    RevokeOutcome revoke(const RevokeRequest &request);

    /// The kept answer of a request, or null.
    [[nodiscard]] std::shared_ptr<const HttpResponse> answerOf(const RequestId &id) const;
    /// The newest kept answers of requests with a key, up to that many bytes of bodies.
    [[nodiscard]] std::vector<std::pair<RequestId, std::shared_ptr<const HttpResponse>>>
    newestAnswers(std::size_t maxBytes) const;
    /// The remembered requests with a key that have run, or may still run.
    [[nodiscard]] std::vector<RequestId> acceptedKeyedRequests() const;
    /// From which on all requests with a key, or without, are remembered.
    [[nodiscard]] std::uint64_t oldestWindow(bool keyed) const;
    [[nodiscard]] bool isRunningOrWaiting(const RequestId &id) const;

    [[nodiscard]] std::uint64_t window() const { return m_window; }
    [[nodiscard]] const Incarnation &incarnation() const { return m_incarnation; }
    [[nodiscard]] std::size_t inFlight() const { return m_running + m_waiting.size(); }
    [[nodiscard]] std::size_t remembered() const { return m_requests.size(); }

private:
    enum class Phase { Waiting, Running, Done, NotRun };

    struct RequestRecord
    {
        Phase phase = Phase::Waiting;
        std::uint64_t window = 0; ///< Of its arrival, end, withdrawal or revocation.
        bool keyed = false;
        ServiceId service;
        TaskId backend;
        std::shared_ptr<const HttpResponse> answer;
    };

    struct Backend
    {
        BackendServer server;
        std::uint32_t running = 0;
        bool announced = true;
    };

    [[nodiscard]] Backend *freeBackend(const ServiceId &service);
    [[nodiscard]] std::optional<RefusalReason>
    refusalForNewRequest(const DispatchedRequest &dispatch) const;
    [[nodiscard]] RequestDecision decideKnown(const RequestRecord &known) const;
    void touch(const RequestId &id, RequestRecord &request);
    void run(RequestRecord &request, Backend &backend);
    std::vector<SlotGranted> grantSlots();
    void keepAnswer(const RequestId &id, RequestRecord &request,
                    std::shared_ptr<const HttpResponse> answer);
    void forgetOldRequests();

    RequestGateSettings m_settings;
    Incarnation m_incarnation;
    Instant m_start;
    std::uint64_t m_window = 1;
    std::uint64_t m_forgottenKeyed = 0; ///< Last window whose requests are forgotten.
    std::uint64_t m_forgottenUnkeyed = 0;
    bool m_leaving = false;
    bool m_leaseHeld = true;
    std::unordered_map<RequestId, RequestRecord> m_requests;
    std::map<std::uint64_t, std::vector<RequestId>> m_requestsByWindow;
    std::map<TaskId, Backend> m_backends;
    std::deque<RequestId> m_waiting;
    std::size_t m_running = 0;
    std::deque<RequestId> m_answers; ///< Requests with kept answers, oldest first.
    std::size_t m_answerBytes = 0;
};

} // namespace guavashift
