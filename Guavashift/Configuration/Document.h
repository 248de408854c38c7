#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <string>
#include <vector>

namespace guavashift {

/// A latency-critical service. Its replicas are tasks that the scheduler places.
struct ServiceConfig
{
    TeamId team;
    std::uint32_t replicas = 1;
    Resources size;                 ///< Of one replica.
    std::uint32_t slots = 8;        ///< Requests that one backend server runs at a time.
    std::uint32_t connections = 64; ///< Connections that one agent accepts for it.

    bool operator==(const ServiceConfig &) const = default;
};

/// Which requests go to which service, and what may be done with them.
struct RouteConfig
{
    std::string prefix; ///< Path prefix; the longest one that matches is taken.
    ServiceId service;
    bool idempotent = true; ///< May be sent again after a failure.
    bool exclusive = false; ///< Never runs at two places at once, so it is not hedged.
    std::uint32_t timeoutMs = 2000;

    bool operator==(const RouteConfig &) const = default;
};

/// Share of the platform that one team may hold.
struct TeamConfig
{
    Resources quota;    ///< Upper bound on what its tasks reserve together.
    Resources reserved; ///< Kept free of batch work of other teams; at most `quota`.

    bool operator==(const TeamConfig &) const = default;
};

/// Bounds on requests.
struct LimitsConfig
{
    std::uint32_t maxBodyBytes = 1 << 20;
    std::uint32_t queueLength = 256;       ///< Requests that wait at one entry for one service.
    std::uint32_t retryBudgetPercent = 10; ///< Retries and hedges as a share of requests.
    std::uint32_t hedgePercentile = 95;    ///< A hedge starts after this share has answered.
    std::uint32_t keyExpirySeconds = 600;  ///< How long an idempotency key is remembered.

    bool operator==(const LimitsConfig &) const = default;
};

/// What the scheduler weighs.
struct PolicyConfig
{
    std::uint32_t slowdownLimitPercent = 130; ///< Bound on a counter service's slowdown.
    std::uint32_t headroomPercent = 20;       ///< Processors kept free beside counter services.
    std::uint32_t throttlePercent = 50;       ///< Speed of a throttled batch task.
    std::uint32_t maxEvictionsPerTask = 3;    ///< After these only urgent work evicts it.
    std::uint32_t quarantineFailures = 3;     ///< Failures of different jobs that quarantine a VM.
    std::uint32_t quarantineSeconds = 60;     ///< First quarantine; doubles each time.
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

    /// The route with the longest prefix of `path`, or null.
    [[nodiscard]] const RouteConfig *findRoute(std::string_view path) const;
};

} // namespace guavashift
