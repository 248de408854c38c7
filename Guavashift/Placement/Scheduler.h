#pragma once

#include <Guavashift/Placement/Mitigator.h>
#include <Guavashift/Placement/Placer.h>
#include <Guavashift/Placement/Preemptor.h>
#include <Guavashift/Placement/RuntimeEstimator.h>

namespace guavashift {

/// Decides which tasks are started, evicted and throttled. Performs no I/O; its only state is what
/// it learns from measurements. Reads the replicated state and returns commands, which the state
/// machine validates again.
class Scheduler final
{
public:
    Scheduler(const SchedulerSettings &settings, std::uint64_t seed);

    /// Processes a measurement, which may arrive late.
    void observe(const UsageReport &report, const StateMachine &state);

    /// Records that a batch task completed after `doneMs` of work.
    void completed(const Task &task, std::int64_t doneMs);

    /// Makes one round of decisions and returns the commands to propose.
    std::vector<CommandBody> decide(const StateMachine &state, WallMs now);

private:
    /// A queued task with the values that its placement depends on.
    struct Candidate
    {
        const Task *task = nullptr;
        Resources size;
        /// Time that can pass before it must start; maximum of WallMs without a due time.
        WallMs slackMs = 0;
    };

    [[nodiscard]] std::vector<Candidate> collect(const StateMachine &state, WallMs now);
    [[nodiscard]] Candidate candidateOf(const Task &task, WallMs now);
    void order(std::vector<Candidate> &candidates) const;
    void place(ClusterView &view, const std::vector<Candidate> &candidates,
               std::vector<CommandBody> &commands);

    SchedulerSettings m_settings;
    std::mt19937_64 m_random;
    InterferenceEstimator m_interference;
    RuntimeEstimator m_runtimes;
    Placer m_placer;
    Mitigator m_mitigator;
    Preemptor m_preemptor;
};

} // namespace guavashift
