#pragma once

#include <Guavashift/Placement/ClusterView.h>

namespace guavashift {

/// Preempts the batch tasks that lose least in favour of urgent and latency-critical tasks.
class Preemptor final
{
public:
    explicit Preemptor(std::mt19937_64 &random);

    /// Appends evictions that free capacity for the task, unless such evictions are already under
    /// way.
    void preemptFor(ClusterView &view, const Task &task, const Resources &size,
                    std::vector<CommandBody> &commands);

    /// Appends evictions of the tasks on draining workers; of latency-critical tasks only one
    /// replica of a service at a time.
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
    /// Time at which evictions were last ordered for a task.
    std::unordered_map<TaskId, WallMs> m_preemptedAt;
};

} // namespace guavashift
