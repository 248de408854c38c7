#pragma once

#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Routing/LatencyWindow.h>

#include <random>
#include <span>

namespace guavashift {

/// How backend servers are chosen.
struct RouterSettings
{
    /// Failures in a row after which a worker gets no requests for a while.
    unsigned ejectAfterFailures = 5;
    Duration firstEjection = std::chrono::seconds(1);
    Duration maxEjection = std::chrono::seconds(30);
    /// Connections that an agent accepts from all entries together.
    std::uint32_t agentConnections = 64;
    /// Requests of this entry at one worker, as a multiple of its share of the slots.
    double slotOversubscription = 1.5;
    /// Time in which an old latency loses half its weight, so that a worker that was slow is tried
    /// again.
    Duration latencyHalfLife = std::chrono::seconds(5);
    /// Two random candidates are compared; with false one random candidate is taken.
    bool twoChoices = true;
    bool ejection = true;
};

/// One worker chosen for a request.
struct RouteTarget
{
    WorkerId worker;
    Incarnation incarnation;
    std::string httpAddress;
    std::string rpcAddress;
    std::uint64_t window = 0; ///< The agent's, as last heard.
};

/// No usable worker has room now; one may have soon.
struct AllBusy
{
};

/// No worker offers the service.
struct NoBackend
{
};

using RouteChoice = std::variant<RouteTarget, AllBusy, NoBackend>;

/// How a dispatch ended, as far as the choice of workers is concerned.
enum class DispatchResult { Succeeded, Busy, Failed };

/// Chooses workers by requests in flight and recent latency. Pure, not thread-safe.
class Router final
{
public:
    Router(const RouterSettings &settings, std::uint64_t seed);

    void update(const RoutingUpdate &update);
    [[nodiscard]] std::uint64_t version() const { return m_version; }

    /// Chooses among the workers that offer `service`, leaving out `excluded` while there are
    /// others.
    RouteChoice choose(const ServiceId &service, Instant now, std::span<const WorkerId> excluded);

    /// The worker if it still has the incarnation, for a request that must go there.
    [[nodiscard]] std::optional<RouteTarget> find(const WorkerId &worker,
                                                  const Incarnation &incarnation) const;

    void requestStarted(const WorkerId &worker);
    void requestFinished(const WorkerId &worker, DispatchResult result, Duration latency,
                         Instant now);
    void updateWindow(const WorkerId &worker, std::uint64_t window);

    /// Requests that all workers of the service can take from this entry at a time.
    [[nodiscard]] std::uint32_t capacityOf(const ServiceId &service) const;

private:
    struct WorkerState
    {
        RoutingEntry entry;
        std::uint64_t window = 0;
        std::uint32_t inFlight = 0;
        unsigned failures = 0;
        Duration ejection{};
        Instant ejectedUntil;
        double latencyMs = 1; ///< Moving average.
        Instant measuredAt;   ///< When it was last updated.
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
