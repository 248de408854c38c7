#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that finds tasks that crash their workers.

namespace guavashift {

std::uint32_t Dispatcher::crashesOf(const TaskRef &ref) const
{
    const StageTask *task = m_jobTable.find(ref);
    if (task == nullptr)
        return 0;
    const StageJob &job = *m_jobTable.find(ref.job);
    if (!job.plan.steps[ref.step].gang)
        return task->crashes;
    const StageStep &step = job.occurrences.at(ref.occurrence).steps[ref.step];
    if (step.suspected == 0)
        return 0;
    std::uint32_t crashes = 0;
    for (const StageTask &member : step.tasks)
        crashes = std::max(crashes, member.crashes);
    return crashes;
}

bool Dispatcher::hasSurvived(const PlacedRun &run) const
{
    return run.committed && run.lastStatusAt != Instant()
        && run.lastStatusAt - run.boundAt >= m_settings.crashProbation;
}

CrashEvidence Dispatcher::evidenceOf(const PlacedRun &run) const
{
    return hasSurvived(run) ? CrashEvidence::Survived : CrashEvidence::None;
}

std::set<TaskRef> Dispatcher::suspectedRuns(const PoolWorker &worker,
                                            std::span<const TaskRun> recentRuns) const
{
    std::set<TaskRef> suspected;
    for (const TaskRun &recent : recentRuns) {
        const auto found = worker.runs.find(recent.task);
        if (found != worker.runs.end() && found->second.run == recent.run && found->second.committed
            && !found->second.stopRequested)
            suspected.insert(recent.task);
    }
    return suspected;
}

bool Dispatcher::hasOtherSuspect(const PoolWorker &worker, const StepPlan &step,
                                 const TaskRef &ref) const
{
    return std::any_of(worker.runs.begin(), worker.runs.end(), [&](const auto &each) {
        const TaskRef &other = each.first;
        const bool sameGang = step.gang && other.job == ref.job
            && other.occurrence == ref.occurrence && other.step == ref.step;
        return each.second.suspected && !sameGang && !hasSurvived(each.second);
    });
}

Dispatcher::StepTrial Dispatcher::trialOf(const StageJob &job, const TaskRef &ref) const
{
    const auto occurrence = job.occurrences.find(ref.occurrence);
    if (occurrence == job.occurrences.end() || job.plan.steps[ref.step].gang)
        return StepTrial::None;
    const StageStep &step = occurrence->second.steps[ref.step];
    if (step.suspected == 0 || step.done > 0)
        return StepTrial::None;
    StepTrial trial = StepTrial::Due;
    TaskRef task = ref;
    for (task.task = 0; task.task < step.tasks.size(); ++task.task) {
        const auto placed = m_placed.find(task);
        if (placed == m_placed.end())
            continue;
        const PoolWorker &worker = m_pool.workers().at(placed->second);
        const PlacedRun &run = worker.runs.at(task);
        if (hasSurvived(run))
            return StepTrial::None;
        // The end of a run on a worker that does not answer may take a whole lease.
        if (run.suspected && !run.stopRequested && !worker.unreachable && !worker.node.empty())
            trial = StepTrial::Running;
    }
    return trial;
}

bool Dispatcher::mayStart(const TaskRef &ref, StepTrial trial) const
{
    return trial == StepTrial::None || (trial == StepTrial::Due && crashesOf(ref) > 0);
}

} // namespace guavashift
