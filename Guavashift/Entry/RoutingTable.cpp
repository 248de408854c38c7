#include <Guavashift/Entry/RoutingTable.h>

namespace guavashift {

namespace {

/// Used until the first latency of a service has been measured.
constexpr Duration assumedLatency = std::chrono::milliseconds(1);

} // namespace

RoutingTable::RoutingTable(const RouterSettings &settings, std::uint64_t seed)
    : m_router(settings, seed)
{
}

void RoutingTable::update(const RoutingUpdate &update)
{
    const std::lock_guard lock(m_mutex);
    m_router.update(update);
    for (auto &[id, state] : m_services)
        state.slotFreed.notify_all();
}

std::uint64_t RoutingTable::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_router.version();
}

tl::expected<RouteTarget, RoutingTable::Refusal>
RoutingTable::acquire(const ServiceId &service, Instant deadline, std::uint32_t maxWaiting,
                      std::span<const WorkerId> excluded)
{
    std::unique_lock lock(m_mutex);
    ServiceState &state = m_services[service];
    bool inQueue = false;
    for (;;) {
        const Instant now = BootClock::now();
        const RouteChoice choice = m_router.choose(service, now, excluded);
        const bool expired = now >= deadline;
        if (inQueue && (!std::holds_alternative<AllBusy>(choice) || expired))
            state.queue.dequeued();
        if (expired)
            return tl::unexpected(Refusal::DeadlineExceeded);
        if (std::holds_alternative<NoBackend>(choice))
            return tl::unexpected(Refusal::NoBackend);
        if (const auto *target = std::get_if<RouteTarget>(&choice)) {
            m_router.requestStarted(target->worker);
            return *target;
        }
        // All workers are busy. A request that is unlikely to get one before its deadline is
        // refused at once.
        if (!inQueue) {
            const Duration typical = state.latency.mean().value_or(assumedLatency);
            if (!state.queue.admit(deadline - now, typical, m_router.capacityOf(service),
                                   maxWaiting))
                return tl::unexpected(Refusal::Overloaded);
            state.queue.enqueued();
            inQueue = true;
        }
        state.slotFreed.wait_for(lock, deadline - now);
    }
}

std::optional<RouteTarget> RoutingTable::tryAcquire(const ServiceId &service,
                                                    std::span<const WorkerId> excluded)
{
    const std::lock_guard lock(m_mutex);
    const RouteChoice choice = m_router.choose(service, BootClock::now(), excluded);
    const auto *target = std::get_if<RouteTarget>(&choice);
    if (target == nullptr)
        return std::nullopt;
    m_router.requestStarted(target->worker);
    return *target;
}

std::optional<RouteTarget> RoutingTable::acquireAt(const WorkerId &worker,
                                                   const Incarnation &incarnation)
{
    const std::lock_guard lock(m_mutex);
    std::optional<RouteTarget> target = m_router.find(worker, incarnation);
    if (target)
        m_router.requestStarted(worker);
    return target;
}

void RoutingTable::release(const ServiceId &service, const WorkerId &worker, DispatchResult result,
                           Duration latency)
{
    const std::lock_guard lock(m_mutex);
    m_router.requestFinished(worker, result, latency, BootClock::now());
    if (result == DispatchResult::Succeeded)
        m_services[service].latency.add(latency);
    notifyWaiting();
}

void RoutingTable::notifyWaiting()
{
    // The worker may serve several services, so one waiting request of each is woken.
    for (auto &[id, state] : m_services) {
        if (state.queue.length() > 0)
            state.slotFreed.notify_one();
    }
}

void RoutingTable::updateWindow(const WorkerId &worker, std::uint64_t window)
{
    const std::lock_guard lock(m_mutex);
    m_router.updateWindow(worker, window);
}

std::optional<Duration> RoutingTable::hedgeDelay(const ServiceId &service,
                                                 unsigned percentile) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::nullopt : found->second.latency.quantile(percentile);
}

} // namespace guavashift
