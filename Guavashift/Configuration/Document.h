#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <string>
#include <vector>

namespace guavashift {

/// Latency-critical service. Its replicas are tasks that the scheduler places.
struct ServiceConfig
{
    TeamId team;
    std::uint32_t replicas = 1;
    Resources size;                 ///< Of one replica.
    std::uint32_t slots = 8;        ///< Requests that one backend server runs at a time.
    std::uint32_t connections = 64; ///< Connections that one agent accepts for it.

    bool operator==(const ServiceConfig &) const = default;
};

/// Route from a path prefix to a service, with the rules for its requests.
struct RouteConfig
{
    std::string prefix; ///< Path prefix; the longest one that matches applies.
    ServiceId service;
    bool idempotent = true; ///< Requests may be sent again after a failure.
    bool exclusive = false; ///< Never run in two places at once, hence not hedged.
    std::uint32_t timeoutMs = 2000;

    bool operator==(const RouteConfig &) const = default;
};

/// Share of the platform's resources that one team may use.
struct TeamConfig
{
    Resources quota;    ///< Upper bound on what its tasks reserve together.
    Resources reserved; ///< Kept free of batch work of other teams; at most `quota`.

    bool operator==(const TeamConfig &) const = default;
};

/// Limits on requests.
struct LimitsConfig
{
    std::uint32_t maxBodyBytes = 1 << 20;
    std::uint32_t queueLength = 256;       ///< Requests that wait at one entry for one service.
    std::uint32_t retryBudgetPercent = 10; ///< Retries and hedges as a share of requests.
    std::uint32_t hedgePercentile = 95;    ///< Latency percentile after which a hedge starts.
    std::uint32_t keyExpirySeconds = 600;  ///< How long an idempotency key is remembered.

    bool operator==(const LimitsConfig &) const = default;
};

/// Settings of the scheduling policy.
struct PolicyConfig
{
    std::uint32_t slowdownLimitPercent = 130; ///< Limit for latency-critical services.
    std::uint32_t headroomPercent = 20;       ///< Processors free where latency-critical tasks run.
    std::uint32_t throttlePercent = 50;       ///< Speed of a throttled batch task.
    std::uint32_t maxEvictionsPerTask = 3;    ///< Afterwards only urgent work evicts the task.
    std::uint32_t quarantineFailures = 3;     ///< Distinct jobs whose failures quarantine a VM.
    std::uint32_t quarantineSeconds = 60;     ///< Length of the first one; doubles each time.
    std::uint32_t maxTaskFailures = 3;        ///< Failures on different VMs that fail a job.

    bool operator==(const PolicyConfig &) const = default;
};

/// The whole configuration in typed form.
struct ConfigurationDocument
{
    std::map<ServiceId, ServiceConfig> services;
    std::vector<RouteConfig> routes;
    std::map<TeamId, TeamConfig> teams;
    LimitsConfig limits;
    PolicyConfig policy;

    /// Returns the route with the longest matching prefix of `path`, or null.
    [[nodiscard]] const RouteConfig *findRoute(std::string_view path) const;
};

} // namespace guavashift
