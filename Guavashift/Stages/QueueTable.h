#pragma once

#include <Guavashift/Core/Core.h>

#include <functional>
#include <map>
#include <optional>

namespace guavashift {

/// How a policy service that must approve each pairing of step and worker answers.
struct ApprovalSettings
{
    std::int64_t decisionMs = 0;  ///< Time of one decision.
    std::int64_t perWorkerMs = 0; ///< More for each worker named.
    std::int64_t validityMs = 0;  ///< How long an approval holds.

    bool operator==(const ApprovalSettings &) const = default;
};

/// One queue of staged jobs.
struct QueueSettings
{
    std::string name;
    std::string host;       ///< Callers name it in the Host header.
    std::string pathPrefix; ///< Begins and ends with a slash.
    std::string service;    ///< Whose workers run the tasks.
    std::int64_t timeoutMs = 0;
    std::int64_t targetLatencyMs = 0; ///< Part of the objective that does not grow with the work.
    std::int32_t priority = 0;        ///< 0 goes first.
    std::uint32_t maxAttempts = 1;
    double stretch = 1; ///< The objective as a multiple of the job's longest chain of work.
    std::optional<ApprovalSettings> approval;

    bool operator==(const QueueSettings &) const = default;
};

struct PoolSettings
{
    bool enforcesCapacity = true; ///< Its workers refuse what does not fit.
    bool standby = false;         ///< Its machines are off.

    bool operator==(const PoolSettings &) const = default;
};

/// A queue and what stands behind its prefix in a path.
struct QueueMatch
{
    const QueueSettings *queue = nullptr;
    std::string_view rest;
};

/// All queues and services of one version of the configuration.
class QueueTable final
{
public:
    QueueTable() = default;
    QueueTable(std::uint64_t version, std::vector<QueueSettings> queues,
               std::map<std::string, PoolSettings> pools);

    [[nodiscard]] std::uint64_t version() const { return m_version; }
    [[nodiscard]] const std::vector<QueueSettings> &queues() const { return m_queues; }
    [[nodiscard]] const std::map<std::string, PoolSettings> &pools() const { return m_pools; }

    /// The queue with that host whose prefix is the longest that `path` begins with.
    [[nodiscard]] std::optional<QueueMatch> match(std::string_view host,
                                                  std::string_view path) const;
    [[nodiscard]] const QueueSettings *find(std::string_view name) const;

    /// What is wrong with the table as a whole; empty if it may come into force.
    [[nodiscard]] Findings check() const;

private:
    std::uint64_t m_version = 0;
    std::vector<QueueSettings> m_queues;
    std::map<std::string, PoolSettings> m_pools;
    std::map<std::string, std::size_t, std::less<>> m_byName;
    /// Positions by host, the longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_byHost;
};

/// Reads a configuration document in the format that operators write. The same text must give the
/// same table on every replica.
using QueueTableReader = std::function<tl::expected<QueueTable, Findings>(std::string_view)>;

} // namespace guavashift
