#pragma once

#include <Guavashift/Placement/ClusterView.h>

namespace guavashift {

/// Makes room for urgent and latency-critical tasks by evicting the batch work that loses least.
class Preemptor final
{
public:
    explicit Preemptor(std::mt19937_64 &random);

    /// Adds evictions that make room for the task, unless such evictions are under way already.
    void preemptFor(ClusterView &view, const Task &task, const Resources &size,
                    std::vector<CommandBody> &commands);

    /// Evicts batch tasks from workers that drain, and latency-critical ones one service at a time.
    static void evictFromDraining(const StateMachine &state, std::vector<CommandBody> &commands);

private:
    struct Plan
    {
        double cost = 0;
        std::vector<const Task *> victims;
    };

    [[nodiscard]] std::optional<Plan> planFor(const ClusterView &view, const WorkerView &worker,
                                              const Task &task, const Resources &size) const;

    std::mt19937_64 &m_random;
    std::unordered_map<TaskId, WallMs> m_preemptedAt; ///< When room was last made for a task.
};

} // namespace guavashift
