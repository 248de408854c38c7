#pragma once

#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Http/Http.h>

#include <deque>
#include <map>
#include <memory>
#include <unordered_map>
#include <variant>

namespace guavashift {

/// What the gate remembers and for how long.
struct RequestGateSettings
{
    Duration windowLength = std::chrono::seconds(10);
    /// Windows for which ids without an idempotency key are remembered.
    std::uint64_t unkeyedWindows = 6;
    /// The same for ids with a key; must cover the configured expiry of keys.
    std::uint64_t keyedWindows = 8640;
    /// Ids remembered at most. Beyond it the oldest windows are given up early.
    std::size_t maxRemembered = 100'000;
    /// Bytes of answers kept for repetition.
    std::size_t maxAnswerBytes = 8 << 20;
    /// Requests that wait for a slot.
    std::size_t maxWaiting = 64;

    /// Safety mechanisms. Only tests construct a gate without one, to see its proof fail.
    bool checkIncarnation = true;
    bool checkWindow = true;
    bool rememberRequests = true;
};

/// A request as an entry sends it to an agent.
struct DispatchedRequest
{
    RequestId id;
    Incarnation incarnation;  ///< Of the agent that it is meant for.
    std::uint64_t window = 0; ///< The agent's window when the entry chose the id, or later.
    ServiceId service;
    bool keyed = false;
};

/// Run it now at this backend server; finish() must follow.
struct RunRequest
{
    TaskId backend;
};

/// Wait until finish() of another request names this one, or withdraw().
struct WaitForSlot
{
};

/// The same request runs or waits here; its answer will be this one's too.
struct JoinRunning
{
};

/// The same request ran here; this was its answer.
struct RepeatAnswer
{
    std::shared_ptr<const HttpResponse> answer;
};

enum class RefusalReason {
    WrongIncarnation, ///< Meant for another incarnation of this agent.
    StaleWindow,      ///< Names no window yet or too old a one; the current one is told.
    Forgotten,        ///< Too old a window for a request that may have run.
    Revoked,          ///< Was revoked or refused before.
    Leaving,          ///< The backend server takes no new requests.
    NoBackend,        ///< No backend server of the service is announced.
    LeaseExpired,     ///< This VM may be working under an old configuration.
    Full,             ///< The line is full.
    AlreadyRan,       ///< Ran here, and its answer is not kept.
};

struct RefuseRequest
{
    RefusalReason reason = RefusalReason::Full;
    /// Whether it is certain that this request never ran at this agent and never will.
    bool certainlyNotRun = false;
};

using RequestDecision =
    std::variant<RunRequest, WaitForSlot, JoinRunning, RepeatAnswer, RefuseRequest>;

/// How a run ended.
struct RunEnd
{
    /// The backend server was never reached.
    bool notRun = false;
    /// The backend server's whole answer, or null.
    std::shared_ptr<const HttpResponse> answer;
};

/// A waiting request that has got a slot.
struct SlotGranted
{
    RequestId id;
    TaskId backend;
};

/// Lets each request id run at most once at this incarnation of the agent, keeps to the backend
/// servers' slots, and remembers what ran. Pure, not thread-safe.
class RequestGate final
{
public:
    RequestGate(const RequestGateSettings &settings, Incarnation incarnation, Instant now);

    /// Moves the window on and forgets what is too old. Call before the others.
    void advance(Instant now);

    /// The backend servers announced now. A leaving one gets nothing new.
    void updateBackends(std::span<const BackendServer> backends);

    /// Without the configuration lease nothing new is taken; what is known goes on.
    void setLeaseHeld(bool held) { m_leaseHeld = held; }

    /// From now on nothing new is taken.
    void startLeaving() { m_leaving = true; }

    RequestDecision arrive(const DispatchedRequest &dispatch);

    /// A run ended. Returns the waiting requests that may run now.
    std::vector<SlotGranted> finish(const RequestId &id, const RunEnd &end);

    /// Whether a waiting request may run now; then finish() must follow.
    [[nodiscard]] std::optional<TaskId> grantedBackend(const RequestId &id) const;

    /// A waiting request gives up. False if it has got a slot meanwhile.
    bool withdraw(const RequestId &id);

    /// Makes sure that the request never runs here unless it did already.
    RevokeOutcome revoke(const RevokeRequest &request);

    /// The kept answer of a request that has ended, else null.
    [[nodiscard]] std::shared_ptr<const HttpResponse> answerOf(const RequestId &id) const;
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
        std::uint64_t window = 0; ///< In which it was last touched.
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

    [[nodiscard]] std::uint64_t oldestWindow(bool keyed) const;
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
    std::uint64_t m_forgottenKeyed = 0; ///< Windows up to this one are no longer remembered.
    std::uint64_t m_forgottenUnkeyed = 0;
    bool m_leaving = false;
    bool m_leaseHeld = true;
    std::unordered_map<RequestId, RequestRecord> m_requests;
    std::map<std::uint64_t, std::vector<RequestId>> m_requestsByWindow;
    std::map<TaskId, Backend> m_backends;
    std::deque<RequestId> m_waiting;
    std::size_t m_running = 0;
    std::deque<RequestId> m_answers; ///< With kept answers, oldest first.
    std::size_t m_answerBytes = 0;
};

} // namespace guavashift
