#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that takes starts in evacuated failure domains back.

namespace guavashift {

bool Dispatcher::isBoundIntoEvacuated(const StageJob &job, const TaskRef &ref) const
{
    if (!m_evacuation.isActive())
        return false;
    const auto isThere = [this](const TaskRef &task) {
        const auto placed = m_placed.find(task);
        return placed != m_placed.end()
            && m_evacuation.excludes(m_pool.workers().at(placed->second));
    };
    const StepPlan &step = job.plan.steps[ref.step];
    if (!step.gang)
        return isThere(ref);
    // All members of a gang are placed before the first of them is committed.
    TaskRef member = ref;
    for (member.task = 0; member.task < step.tasks; ++member.task) {
        if (isThere(member))
            return true;
    }
    return false;
}

void Dispatcher::withholdStart(const PlacedRun &run, const PoolWorker &worker)
{
    logEvent(LogLevel::Info, "start-withheld",
             {{"task", run.task.text()},
              {"run", run.run},
              {"worker", worker.facts.lifetime.worker},
              {"reason", "an evacuated failure domain"}});
    queueEnd(run, RunEnd::NotStarted, SettleReason::Evacuated);
}

void Dispatcher::withholdEvacuated()
{
    // Orders that were not sent yet. The others are with the agents.
    std::vector<TaskRef> withheld;
    for (const auto &[node, order] : m_orders) {
        const auto *start = std::get_if<StartOrder>(&order);
        if (start == nullptr || committedRun(start->traits.task, start->traits.run) == nullptr)
            continue;
        const StageJob *job = m_jobTable.find(start->traits.task.job);
        if (job != nullptr && !job->plan.steps.empty()
            && isBoundIntoEvacuated(*job, start->traits.task))
            withheld.push_back(start->traits.task);
    }
    for (const TaskRef &task : withheld) {
        const PoolWorker &worker = m_pool.workers().at(m_placed.at(task));
        withholdStart(worker.runs.at(task), worker);
    }
}

void Dispatcher::stopEvacuated()
{
    if (!m_evacuation.isActive())
        return;
    for (const auto &[lifetime, known] : m_pool.workers()) {
        if (!m_evacuation.excludes(known))
            continue;
        PoolWorker &worker = *m_pool.find(lifetime);
        for (auto &[task, run] : worker.runs) {
            if (!m_evacuation.mustStop(worker, run) || m_endsProposed.contains({task, run.run}))
                continue;
            logEvent(LogLevel::Info, "start-withdrawn",
                     {{"task", task.text()},
                      {"run", run.run},
                      {"worker", lifetime.worker},
                      {"bound_ms", toMs(m_now - run.boundAt)}});
            orderStop(lifetime, worker, run);
        }
    }
}

} // namespace guavashift
