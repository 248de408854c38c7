#pragma once

#include <Guavashift/State/State.h>

#include <random>
#include <unordered_map>

namespace guavashift {

/// One worker during one scheduling round: committed state less what this round has already
/// allocated.
struct WorkerView
{
    const Worker *worker = nullptr;
    Resources free;
    /// Processors allocated to latency-critical tasks.
    std::int64_t criticalMilliCores = 0;
    bool startedOnProbation = false;

    [[nodiscard]] bool hasLatencyCritical() const { return criticalMilliCores > 0; }
};

/// The workers and quotas during one scheduling round.
class ClusterView final
{
public:
    ClusterView(const StateMachine &state, WallMs now);

    /// Whether the task may start on that worker now.
    [[nodiscard]] bool isFeasible(const WorkerView &view, const Task &task,
                                  const Resources &size) const;

    /// Whether the team's quota and the shares reserved for other teams allow `size`.
    [[nodiscard]] bool hasQuota(const Task &task, const Resources &size) const;

    /// Deducts `size` from what the worker, the team and the cluster have available.
    void allocate(WorkerView &view, const Task &task, const Resources &size);

    [[nodiscard]] std::vector<WorkerView> &workers() { return m_workers; }
    [[nodiscard]] const std::vector<WorkerView> &workers() const { return m_workers; }
    [[nodiscard]] WorkerView *find(const WorkerId &id);
    [[nodiscard]] const StateMachine &state() const { return m_state; }
    [[nodiscard]] WallMs now() const { return m_now; }

private:
    const StateMachine &m_state;
    WallMs m_now;
    std::vector<WorkerView> m_workers;
    std::unordered_map<TeamId, Resources> m_usage;
    Resources m_totalFree;
    Resources m_reservedForTeams; ///< Unused part of the teams' reserved shares.
};

} // namespace guavashift
