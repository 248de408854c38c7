#pragma once

#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Routing/LatencyWindow.h>

#include <random>
#include <span>

namespace guavashift {

/// Settings for the choice of workers.
struct RouterSettings
{
    /// Consecutive failures after which a worker is ejected: it gets no requests for a while.
    unsigned ejectAfterFailures = 5;
    Duration firstEjection = std::chrono::seconds(1);
    Duration maxEjection = std::chrono::seconds(30);
    /// Connections that an agent accepts from all entries together.
    std::uint32_t agentConnections = 64;
    /// Limit of this entry's requests at one worker, as a multiple of the entry's share of
    /// the slots.
    double slotOversubscription = 1.5;
    /// Half-life of a measured latency in the score, so that a worker that was slow is tried again.
    Duration latencyHalfLife = std::chrono::seconds(5);
    /// Compare two random candidates and choose the better one. False: choose one at random.
    bool twoChoices = true;
    bool ejection = true;
};

/// The worker chosen for a request.
struct RouteTarget
{
    WorkerId worker;
    Incarnation incarnation;
    std::string httpAddress;
    std::string rpcAddress;
    std::uint64_t window = 0; ///< Last known window of the agent.
};

/// No worker can accept a request now; one may be able to soon.
struct AllBusy
{
};

/// No worker offers the service.
struct NoBackend
{
};

using RouteChoice = std::variant<RouteTarget, AllBusy, NoBackend>;

/// Outcome of a dispatch as the router rates it.
enum class DispatchResult { Succeeded, Busy, Failed };

/// Chooses workers by requests in flight and recent latency. Without I/O; not thread-safe.
class Router final
{
public:
    Router(const RouterSettings &settings, std::uint64_t seed);

    void update(const RoutingUpdate &update);
    [[nodiscard]] std::uint64_t version() const { return m_version; }

    /// Chooses a worker that offers `service`. Excluded workers are considered only if no other
    /// worker offers it.
    RouteChoice choose(const ServiceId &service, Instant now, std::span<const WorkerId> excluded);

    /// The worker, if it still has this incarnation, for a request that must go there.
    [[nodiscard]] std::optional<RouteTarget> find(const WorkerId &worker,
                                                  const Incarnation &incarnation) const;

    void requestStarted(const WorkerId &worker);
    void requestFinished(const WorkerId &worker, DispatchResult result, Duration latency,
                         Instant now);
    void updateWindow(const WorkerId &worker, std::uint64_t window);

    /// Limit of this entry's concurrent requests at all usable workers of the service.
    [[nodiscard]] std::uint32_t capacityOf(const ServiceId &service) const;

private:
    struct WorkerState
    {
        WorkerRoute entry;
        std::uint64_t window = 0;
        std::uint32_t inFlight = 0;
        unsigned failures = 0;
        Duration ejection{};
        Instant ejectedUntil;
        double latencyMs = 1; ///< Moving average.
        Instant measuredAt;   ///< When `latencyMs` was last updated.
    };

    struct Candidate
    {
        WorkerState *worker = nullptr;
        std::uint32_t limit = 0;
    };

    [[nodiscard]] std::uint32_t limitOf(const WorkerState &worker, std::uint32_t slots) const;
    [[nodiscard]] static RouteTarget targetOf(const WorkerState &worker);
    [[nodiscard]] double scoreOf(const WorkerState &worker, Instant now) const;

    RouterSettings m_settings;
    std::mt19937_64 m_random;
    std::uint64_t m_version = 0;
    std::uint32_t m_entries = 1;
    std::map<WorkerId, WorkerState> m_workers;
    std::vector<Candidate> m_candidates;
};

} // namespace guavashift
