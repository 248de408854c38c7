#pragma once

#include <Guavashift/Entry/AgentClients.h>
#include <Guavashift/Entry/CommandBatcher.h>
#include <Guavashift/Entry/RoutingTable.h>
#include <Guavashift/Entry/ThreadPool.h>
#include <Guavashift/Http/Http.h>
#include <Guavashift/Telemetry/Telemetry.h>

#include <atomic>
#include <memory>

namespace guavashift {

/// Limits on the dispatches of a request.
struct RequestForwarderSettings
{
    /// Maximum number of dispatches of one request, including the first.
    unsigned maxAttempts = 4;
    /// Maximum number of retries and hedges that the budget can accumulate.
    double maxRetryTokens = 20;
    Duration revokeTimeout = std::chrono::milliseconds(500);
    /// Minimum time that must remain before the deadline for another dispatch.
    Duration minTimeForRetry = std::chrono::milliseconds(5);
    /// Minimum time between the first dispatch and the hedge.
    Duration minHedgeDelay = std::chrono::milliseconds(2);
    bool hedging = true;
};

/// Forwards callers' requests to backend servers and returns the answers.
class RequestForwarder final
{
public:
    RequestForwarder(const RequestForwarderSettings &settings, LeasedConfiguration &configuration,
                     RoutingTable &routing, HttpClient &client, CommandBatcher &commands,
                     AgentClients &agents, ThreadPool &pool, Telemetry &telemetry,
                     const std::string &vm);

    HttpResponse handle(const HttpRequest &request, double traceProbability);

private:
    friend class RequestFlow;

    /// Takes one retry or hedge from the budget. Returns false if none is available.
    bool takeFromBudget();
    RequestId newRequestId();

    RequestForwarderSettings m_settings;
    LeasedConfiguration &m_configuration;
    RoutingTable &m_routing;
    HttpClient &m_client;
    CommandBatcher &m_commands;
    AgentClients &m_agents;
    ThreadPool &m_pool;
    Telemetry &m_telemetry;
    std::string m_idPrefix;
    std::atomic<std::uint64_t> m_nextId = 1;
    std::mutex m_budgetMutex;
    RetryBudget m_budget;

    prometheus::Counter &m_requests;
    prometheus::Counter &m_retries;
    prometheus::Counter &m_hedges;
    prometheus::Counter &m_refusals;
    prometheus::Histogram &m_latency;
};

} // namespace guavashift
