#include <Guavashift/Entry/RequestFlow.h>
#include <Guavashift/Entry/RequestForwarder.h>

#include <random>

namespace guavashift {

namespace {

constexpr unsigned defaultBudgetPercent = 10;

/// Returns a prefix that keeps request ids unique across restarts of the same entry.
std::string idPrefix(const std::string &vm)
{
    std::random_device device;
    return fmt::format("{}-{:08x}{:08x}-", vm, device(), device());
}

/// Refuses a request that was never dispatched, so it certainly did not run.
HttpResponse refuseBeforeDispatch(int status, std::string_view message)
{
    HttpResponse response =
        HttpResponse::json(status, {{"error", message}, {"run", header::runNotRun}});
    response.headers.set(header::run, std::string(header::runNotRun));
    return response;
}

} // namespace

RequestForwarder::RequestForwarder(const RequestForwarderSettings &settings,
                                   LeasedConfiguration &configuration, RoutingTable &routing,
                                   HttpClient &client, CommandBatcher &commands,
                                   AgentClients &agents, ThreadPool &pool, Telemetry &telemetry,
                                   const std::string &vm)
    : m_settings(settings)
    , m_configuration(configuration)
    , m_routing(routing)
    , m_client(client)
    , m_commands(commands)
    , m_agents(agents)
    , m_pool(pool)
    , m_telemetry(telemetry)
    , m_idPrefix(idPrefix(vm))
    , m_budget(defaultBudgetPercent, settings.maxRetryTokens)
    , m_requests(telemetry.metrics().counter("guavashift_entry_requests_total",
                                             "Requests taken from callers"))
    , m_retries(telemetry.metrics().counter("guavashift_entry_retries_total",
                                            "Dispatches after the first of a request"))
    , m_hedges(telemetry.metrics().counter("guavashift_entry_hedges_total",
                                           "Second copies of slow requests"))
    , m_refusals(telemetry.metrics().counter("guavashift_entry_refusals_total",
                                             "Requests that got no backend server's answer"))
    , m_latency(telemetry.metrics().latency("guavashift_entry_latency_seconds",
                                            "Time from request to answer at the entry"))
{
}

HttpResponse RequestForwarder::handle(const HttpRequest &request, double traceProbability)
{
    const Instant started = BootClock::now();
    m_requests.Increment();
    Span span = m_telemetry.tracer().startSpan("entry", request.headers.find(header::traceparent),
                                               traceProbability);
    // Without the lease, this VM's configuration may be outdated.
    const LeasedConfiguration::DocumentPointer document = m_configuration.documentAt(started);
    if (!document) {
        m_refusals.Increment();
        return refuseBeforeDispatch(503, "this VM's configuration lease has run out");
    }
    const RouteConfig *route = document->findRoute(request.path);
    if (route == nullptr)
        return refuseBeforeDispatch(404, "no route leads there");
    if (request.body.size() > document->limits.maxBodyBytes)
        return refuseBeforeDispatch(413, "the body exceeds the configured limit");
    {
        const std::lock_guard lock(m_budgetMutex);
        m_budget.setPercent(document->limits.retryBudgetPercent);
        m_budget.requestArrived();
    }
    RequestFlow flow(*this, std::make_shared<const HttpRequest>(request), *route, document->limits,
                     span.context());
    HttpResponse response = flow.run();
    span.tag("status", std::to_string(response.status));
    span.tag("service", route->service.value);
    m_latency.Observe(std::chrono::duration<double>(BootClock::now() - started).count());
    return response;
}

bool RequestForwarder::takeFromBudget()
{
    const std::lock_guard lock(m_budgetMutex);
    return m_budget.take();
}

RequestId RequestForwarder::newRequestId()
{
    return RequestId{m_idPrefix + std::to_string(m_nextId++)};
}

} // namespace guavashift
