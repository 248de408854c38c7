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

struct RequestForwarderSettings
{
    /// Dispatches of one request at most, the first included.
    unsigned maxAttempts = 4;
    /// Retries that the budget can save up.
    double maxRetryTokens = 20;
    Duration revokeTimeout = std::chrono::milliseconds(500);
    /// Least time that must be left for another dispatch.
    Duration minTimeForRetry = std::chrono::milliseconds(5);
    /// A hedge never starts earlier than this.
    Duration minHedgeDelay = std::chrono::milliseconds(2);
    bool hedging = true;
};

/// Follows each caller's request to its end.
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

    /// Takes one retry or hedge from the budget.
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
