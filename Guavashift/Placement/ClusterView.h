#pragma once

#include <Guavashift/State/State.h>

#include <random>
#include <unordered_map>

namespace guavashift {

/// One worker as the decisions of one round see it: committed state less what this round has
/// already given away.
struct WorkerView
{
    const Worker *worker = nullptr;
    Resources free;
    /// Processors of latency-critical tasks.
    std::int64_t criticalMilliCores = 0;
    bool startedOnProbation = false;

    [[nodiscard]] bool hasLatencyCritical() const { return criticalMilliCores > 0; }
};

/// The workers during one round of decisions.
class ClusterView final
{
public:
    ClusterView(const StateMachine &state, WallMs now);

    /// Whether the task may start there now.
    [[nodiscard]] bool isFeasible(const WorkerView &view, const Task &task,
                                  const Resources &size) const;

    /// Whether the team's quota and the reserved shares of others leave room for `size`.
    [[nodiscard]] bool hasQuota(const Task &task, const Resources &size) const;

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
    Resources m_reservedForTeams; ///< Of reserved shares, what their teams do not use yet.
};

} // namespace guavashift
