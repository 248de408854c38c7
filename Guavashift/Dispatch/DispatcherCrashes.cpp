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
        return task->allCrashes();
    const StageStep &step = job.occurrences.at(ref.occurrence).steps[ref.step];
    if (step.suspected == 0)
        return 0;
    std::uint32_t crashes = 0;
    for (const StageTask &member : step.tasks)
        crashes = std::max(crashes, member.allCrashes());
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

CrashEvidence Dispatcher::evidenceOfCrash(const PlacedRun &run)
{
    return run.longRunning ? CrashEvidence::Exempt : CrashEvidence::Suspected;
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

Dispatcher::StepTrial Dispatcher::trialOf(const StageJob &job, const TaskRef &ref,
                                          Instant now) const
{
    StepTrial trial;
    const auto occurrence = job.occurrences.find(ref.occurrence);
    if (occurrence == job.occurrences.end())
        return trial;
    const StepPlan &plan = job.plan.steps[ref.step];
    const StageStep &step = occurrence->second.steps[ref.step];
    if (step.suspected == 0 || step.done > 0)
        return trial;
    if (!plan.gang)
        trial.stage = trialStageOf(step, ref);
    if (!plan.longRunning)
        return trial;
    trial.longRunning = true;
    const auto last = m_lastTrials.find({ref.job, ref.occurrence, ref.step});
    trial.paused =
        last != m_lastTrials.end() && now - last->second < trialPauseOf(step, plan, trial.stage);
    trial.fewestCrashes = std::numeric_limits<std::uint32_t>::max();
    // The members of a gang start together.
    TaskRef task = ref;
    for (task.task = 0; task.task < step.tasks.size() && !plan.gang; ++task.task) {
        if (m_readyByTask.contains(task) && takesTurns(task, trial.stage))
            trial.fewestCrashes = std::min(trial.fewestCrashes, crashesOf(task));
    }
    return trial;
}

Dispatcher::TrialStage Dispatcher::trialStageOf(const StageStep &step, const TaskRef &ref) const
{
    TrialStage stage = TrialStage::Due;
    TaskRef task = ref;
    for (task.task = 0; task.task < step.tasks.size(); ++task.task) {
        const auto placed = m_placed.find(task);
        if (placed == m_placed.end())
            continue;
        const PoolWorker &worker = m_pool.workers().at(placed->second);
        const PlacedRun &run = worker.runs.at(task);
        if (hasSurvived(run))
            return TrialStage::None;
        // The end of a run on a worker that does not answer may take a whole lease.
        if (run.suspected && !run.stopRequested && !worker.unreachable && !worker.node.empty())
            stage = TrialStage::Running;
    }
    return stage;
}

Duration Dispatcher::trialPauseOf(const StageStep &step, const StepPlan &plan,
                                  TrialStage stage) const
{
    constexpr std::uint32_t maxDoublings = 4;
    std::uint32_t crashes = 0;
    std::int64_t repeated = 0;
    for (const StageTask &task : step.tasks) {
        crashes = std::max(crashes, task.allCrashes());
        repeated += task.allCrashes() >= m_settings.crashesToPause ? 1 : 0;
    }
    if (repeated == 0)
        return Duration::zero();
    std::int64_t inTurn = repeated;
    if (plan.gang)
        inTurn = 1;
    else if (stage != TrialStage::None)
        inTurn = static_cast<std::int64_t>(step.tasks.size());
    const Duration growing = m_settings.firstTrialPause
        * (std::int64_t{1} << std::min(crashes - m_settings.crashesToPause, maxDoublings));
    const Duration longest =
        std::min(m_settings.longestTrialPause, m_settings.longestTrialTurn / inTurn);
    return std::min(growing, std::max(m_settings.firstTrialPause, longest));
}

bool Dispatcher::takesTurns(const TaskRef &ref, TrialStage stage) const
{
    return stage != TrialStage::None || crashesOf(ref) >= m_settings.crashesToPause;
}

bool Dispatcher::mayStart(const TaskRef &ref, const StepTrial &trial) const
{
    if (trial.stage == TrialStage::Running)
        return false;
    if (!trial.longRunning)
        return trial.stage == TrialStage::None || crashesOf(ref) > 0;
    return !takesTurns(ref, trial.stage)
        || (!trial.paused && crashesOf(ref) <= trial.fewestCrashes);
}

void Dispatcher::updateTrial(StepTrial &trial, const TaskRef &ref, Instant now)
{
    if (trial.longRunning) {
        const bool takesTurn = takesTurns(ref, trial.stage);
        if (takesTurn || crashesOf(ref) > 0)
            m_lastTrials[{ref.job, ref.occurrence, ref.step}] = now;
        trial.paused = trial.paused || takesTurn;
        if (trial.stage == TrialStage::Due) {
            // Also one under which no worker has crashed yet is tried apart.
            PoolWorker &worker = *m_pool.find(m_placed.at(ref));
            worker.runs.at(ref).suspected = true;
            worker.suspectAloneUntil = now + m_settings.suspectStartPause;
        }
    }
    if (trial.stage == TrialStage::Due)
        trial.stage = TrialStage::Running;
}

} // namespace guavashift
