#include <Guavashift/Routing/Router.h>

#include <algorithm>
#include <cmath>

namespace guavashift {

namespace {

/// Weight of a new latency in the moving average. A worker that became slow is noticed sooner than
/// one that became fast again.
constexpr double risingWeight = 0.5;
constexpr double fallingWeight = 0.1;

/// Slots that a worker offers for the service through backend servers that are not leaving.
std::uint32_t slotsFor(const WorkerRoute &entry, const ServiceId &service)
{
    std::uint32_t slots = 0;
    for (const BackendServer &backend : entry.backends) {
        if (backend.service == service && !backend.leaving)
            slots += backend.slots;
    }
    return slots;
}

} // namespace

Router::Router(const RouterSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

void Router::update(const RoutingUpdate &update)
{
    if (update.complete) {
        // Workers are kept, since the state of this entry's own requests stays valid.
        for (auto &[id, worker] : m_workers)
            worker.entry.usable = false;
    }
    for (const WorkerRoute &entry : update.workers) {
        WorkerState &worker = m_workers[entry.worker];
        if (worker.entry.incarnation != entry.incarnation) {
            worker.window = 0;
            worker.failures = 0;
            worker.ejectedUntil = {};
        }
        worker.entry = entry;
    }
    m_version = update.version;
    m_entries = std::max<std::uint32_t>(1, update.entries);
}

std::uint32_t Router::limitOf(const WorkerState &, std::uint32_t slots) const
{
    const double share = m_settings.slotOversubscription * slots / m_entries;
    const std::uint32_t connections =
        std::max<std::uint32_t>(1, m_settings.agentConnections / m_entries);
    return std::clamp<std::uint32_t>(static_cast<std::uint32_t>(std::ceil(share)), 1, connections);
}

double Router::scoreOf(const WorkerState &worker, Instant now) const
{
    const double age = std::chrono::duration<double>(now - worker.measuredAt).count();
    const double halfLife = std::chrono::duration<double>(m_settings.latencyHalfLife).count();
    return (worker.inFlight + 1) * worker.latencyMs * std::exp2(-std::max(0.0, age) / halfLife);
}

RouteTarget Router::targetOf(const WorkerState &worker)
{
    return {worker.entry.worker, worker.entry.incarnation, worker.entry.httpAddress,
            worker.entry.rpcAddress, worker.window};
}

RouteChoice Router::choose(const ServiceId &service, Instant now,
                           std::span<const WorkerId> excluded)
{
    m_candidates.clear();
    bool isOffered = false;
    bool isOfferedByOthers = false;
    std::vector<Candidate> fallback;
    for (auto &[id, worker] : m_workers) {
        const std::uint32_t slots = worker.entry.usable ? slotsFor(worker.entry, service) : 0;
        if (slots == 0)
            continue;
        isOffered = true;
        const std::uint32_t limit = limitOf(worker, slots);
        const bool isExcluded = std::find(excluded.begin(), excluded.end(), id) != excluded.end();
        isOfferedByOthers = isOfferedByOthers || !isExcluded;
        if (worker.inFlight >= limit)
            continue;
        // After an ejection one request at a time probes whether the worker has recovered.
        const bool suspect =
            m_settings.ejection && worker.failures >= m_settings.ejectAfterFailures;
        if (isExcluded || (suspect && (now < worker.ejectedUntil || worker.inFlight > 0)))
            fallback.push_back({&worker, limit});
        else
            m_candidates.push_back({&worker, limit});
    }
    if (!isOffered)
        return NoBackend{};
    // An excluded or suspect worker is better than none, unless one that is not excluded offers
    // the service and may accept requests later.
    if (m_candidates.empty() && !isOfferedByOthers)
        m_candidates = std::move(fallback);
    if (m_candidates.empty())
        return AllBusy{};

    std::uniform_int_distribution<std::size_t> index(0, m_candidates.size() - 1);
    const std::size_t first = index(m_random);
    if (!m_settings.twoChoices || m_candidates.size() == 1)
        return targetOf(*m_candidates[first].worker);
    // Two different candidates: a slow worker compared with itself would be chosen.
    std::uniform_int_distribution<std::size_t> step(1, m_candidates.size() - 1);
    const std::size_t second = (first + step(m_random)) % m_candidates.size();
    const WorkerState &one = *m_candidates[first].worker;
    const WorkerState &other = *m_candidates[second].worker;
    return targetOf(scoreOf(other, now) < scoreOf(one, now) ? other : one);
}

std::optional<RouteTarget> Router::find(const WorkerId &worker,
                                        const Incarnation &incarnation) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.entry.incarnation != incarnation)
        return std::nullopt;
    return targetOf(found->second);
}

void Router::requestStarted(const WorkerId &worker)
{
    ++m_workers[worker].inFlight;
}

void Router::requestFinished(const WorkerId &id, DispatchResult result, Duration latency,
                             Instant now)
{
    WorkerState &worker = m_workers[id];
    if (worker.inFlight > 0)
        --worker.inFlight;
    const double latencyMs = std::chrono::duration<double, std::milli>(latency).count();
    switch (result) {
    case DispatchResult::Succeeded:
        worker.failures = 0;
        worker.ejection = {};
        worker.latencyMs += (latencyMs > worker.latencyMs ? risingWeight : fallingWeight)
            * (latencyMs - worker.latencyMs);
        worker.measuredAt = now;
        break;
    case DispatchResult::Busy:
        break;
    case DispatchResult::Failed:
        ++worker.failures;
        if (worker.failures >= m_settings.ejectAfterFailures) {
            worker.ejection =
                std::clamp(worker.ejection * 2, m_settings.firstEjection, m_settings.maxEjection);
            worker.ejectedUntil = now + worker.ejection;
        }
        break;
    }
}

void Router::updateWindow(const WorkerId &worker, std::uint64_t window)
{
    const auto found = m_workers.find(worker);
    if (found != m_workers.end())
        found->second.window = std::max(found->second.window, window);
}

std::uint32_t Router::capacityOf(const ServiceId &service) const
{
    std::uint32_t capacity = 0;
    for (const auto &[id, worker] : m_workers) {
        const std::uint32_t slots = worker.entry.usable ? slotsFor(worker.entry, service) : 0;
        if (slots > 0)
            capacity += limitOf(worker, slots);
    }
    return capacity;
}

} // namespace guavashift
