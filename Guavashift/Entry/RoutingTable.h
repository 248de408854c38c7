#pragma once

#include <Guavashift/Routing/Routing.h>

#include <condition_variable>
#include <mutex>

namespace guavashift {

/// Thread-safe Router in which requests wait for a free backend server.
class RoutingTable final
{
public:
    RoutingTable(const RouterSettings &settings, std::uint64_t seed);

    void update(const RoutingUpdate &update);
    [[nodiscard]] std::uint64_t version() const;

    enum class Refusal { NoBackend, Overloaded, DeadlineExceeded };

    /// A worker with room for one request, which is counted there until release(). Waits in a
    /// bounded queue until `deadline`.
    tl::expected<RouteTarget, Refusal> acquire(const ServiceId &service, Instant deadline,
                                               std::uint32_t maxWaiting,
                                               std::span<const WorkerId> excluded);

    /// A worker with room right now, counted there until release(); nothing if none has room.
    std::optional<RouteTarget> tryAcquire(const ServiceId &service,
                                          std::span<const WorkerId> excluded);

    /// The given worker, if it still has that incarnation; counted until release().
    std::optional<RouteTarget> acquireAt(const WorkerId &worker, const Incarnation &incarnation);

    void release(const ServiceId &service, const WorkerId &worker, DispatchResult result,
                 Duration latency);
    void heardWindow(const WorkerId &worker, std::uint64_t window);

    /// When a request should be hedged, counted from its dispatch; nothing while too little is
    /// known.
    [[nodiscard]] std::optional<Duration> hedgeDelay(const ServiceId &service,
                                                     unsigned percentile) const;

private:
    struct ServiceState
    {
        WaitingLine queue;
        LatencyWindow latency;
        std::condition_variable slotFreed;
    };

    void notifyWaiting();

    mutable std::mutex m_mutex;
    Router m_router;
    std::map<ServiceId, ServiceState> m_services;
};

} // namespace guavashift
