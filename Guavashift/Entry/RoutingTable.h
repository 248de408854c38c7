#pragma once

#include <Guavashift/Routing/Routing.h>

#include <condition_variable>
#include <mutex>

namespace guavashift {

/// Thread-safe Router that queues requests until a backend server is available.
class RoutingTable final
{
public:
    RoutingTable(const RouterSettings &settings, std::uint64_t seed);

    void update(const RoutingUpdate &update);
    [[nodiscard]] std::uint64_t version() const;

    enum class Refusal { NoBackend, Overloaded, DeadlineExceeded };

    /// Chooses a worker with capacity for one request, which counts there until release(). Waits in
    /// a bounded queue until `deadline`.
    tl::expected<RouteTarget, Refusal> acquire(const ServiceId &service, Instant deadline,
                                               std::uint32_t maxWaiting,
                                               std::span<const WorkerId> excluded);

    /// Chooses a worker with capacity for one request now, which counts there until release().
    /// Returns nothing if no worker has capacity.
    std::optional<RouteTarget> tryAcquire(const ServiceId &service,
                                          std::span<const WorkerId> excluded);

    /// Returns the given worker if it still has that incarnation; the request counts there until
    /// release().
    std::optional<RouteTarget> acquireAt(const WorkerId &worker, const Incarnation &incarnation);

    void release(const ServiceId &service, const WorkerId &worker, DispatchResult result,
                 Duration latency);
    void updateWindow(const WorkerId &worker, std::uint64_t window);

    /// Time from its dispatch after which a request should be hedged; nothing while too few
    /// latencies have been measured.
    [[nodiscard]] std::optional<Duration> hedgeDelay(const ServiceId &service,
                                                     unsigned percentile) const;

private:
    struct ServiceState
    {
        QueueAdmission queue;
        LatencyWindow latency;
        std::condition_variable slotFreed;
    };

    void notifyWaiting();

    mutable std::mutex m_mutex;
    Router m_router;
    std::map<ServiceId, ServiceState> m_services;
};

} // namespace guavashift
