#pragma once

#include <Guavashift/Core/Core.h>

#include <functional>
#include <map>
#include <optional>

namespace guavashift {

/// Timing of a policy service that must approve each assignment of a step to a worker.
struct ApprovalSettings
{
    std::int64_t decisionMs = 0;  ///< Duration of one decision.
    std::int64_t perWorkerMs = 0; ///< Additional duration for each worker in the request.
    std::int64_t validityMs = 0;  ///< Time for which an approval is valid.

    bool operator==(const ApprovalSettings &) const = default;
};

/// One queue of staged jobs.
struct QueueSettings
{
    std::string name;
    std::string host;       ///< Value of the Host header in callers' requests.
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::string service;    ///< The service whose workers run the tasks.
    std::int64_t timeoutMs = 0;
    std::int64_t targetLatencyMs = 0; ///< Part of the objective independent of the work.
    std::int32_t priority = 0;        ///< 0 is placed first.
    std::uint32_t maxAttempts = 1;
    double stretch = 1; ///< The objective as a multiple of the job's longest chain of work.
    std::optional<ApprovalSettings> approval;

    bool operator==(const QueueSettings &) const = default;
};

/// Properties of the workers of one service.
struct PoolSettings
{
    bool enforcesCapacity = true; ///< Its workers refuse tasks that do not fit.
    bool standby = false;         ///< Its machines are switched off.

    bool operator==(const PoolSettings &) const = default;
};

/// Limits of callers' requests and connections. 0: the configuration does not name the limit.
struct CallerLimits
{
    std::uint64_t maxBodyBytes = 0;
    std::int64_t idleMs = 0; ///< After which an unused connection is closed.

    bool operator==(const CallerLimits &) const = default;
};

/// A queue and the remainder of a path after the queue's prefix.
struct QueueMatch
{
    const QueueSettings *queue = nullptr;
    std::string_view remainder;
};

/// All queues and services of one version of the configuration.
class QueueTable final
{
public:
    QueueTable() = default;
    QueueTable(std::uint64_t version, std::vector<QueueSettings> queues,
               std::map<std::string, PoolSettings> pools, const CallerLimits &callerLimits = {});

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::vector<QueueSettings> &queues() const { return m_queues; }
    [[nodiscard]] const std::map<std::string, PoolSettings> &pools() const { return m_pools; }

    [[nodiscard]] const CallerLimits &callerLimits() const { return m_callerLimits; }

    /// Finds the queue with that host and the longest prefix of `path`.
    [[nodiscard]] std::optional<QueueMatch> match(std::string_view host,
                                                  std::string_view path) const;
    [[nodiscard]] const QueueSettings *find(std::string_view name) const;

    /// Checks the table as a whole. Returns the violations; empty if it may come into force.
    [[nodiscard]] Findings check() const;

private:
    std::uint64_t m_version = 0;
    std::vector<QueueSettings> m_queues;
    std::map<std::string, PoolSettings> m_pools;
    CallerLimits m_callerLimits;
    std::map<std::string, std::size_t, std::less<>> m_byName;
    /// Indices of queues by host, the longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost;
};

/// Parses a configuration document in the operators' format. Must be deterministic, so that all
/// replicas get the same table.
using QueueTableReader = std::function<tl::expected<QueueTable, Findings>(std::string_view)>;

} // namespace guavashift
