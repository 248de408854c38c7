#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that tells the overload planner of jobs, runs and room.

namespace guavashift {

namespace {

/// What the job takes, with all its tasks to do. Nothing for jobs without an end and for scheduled
/// ones: each of their occurrences has an objective of its own.
std::optional<JobDemand> demandOf(const JobPlan &plan, const QueueSettings &queue,
                                  WallMs acceptedAt)
{
    if (plan.occurrences > 0)
        return std::nullopt;
    JobDemand demand;
    demand.queue = queue.name;
    demand.service = queue.service;
    demand.priority = queue.priority;
    std::vector<std::int64_t> chains;
    std::int64_t longest = 0;
    double bestEffortWork = 0;
    double reservedWork = 0;
    for (const StepPlan &step : plan.steps) {
        if (step.longRunning)
            return std::nullopt;
        demand.steps.push_back(
            {step.image, step.size.milliCores, step.estimateMs, step.tasks, step.after});
        std::int64_t before = 0;
        for (const std::uint32_t earlier : step.after)
            before = std::max(before, chains[earlier]);
        chains.push_back(before + step.estimateMs);
        longest = std::max(longest, chains.back());
        (step.bestEffort ? bestEffortWork : reservedWork) +=
            static_cast<double>(step.size.milliCores * step.estimateMs) * step.tasks;
    }
    demand.bestEffort = bestEffortWork > reservedWork;
    const JobWorth worth = worthOf(queue, longest, acceptedAt);
    demand.objective = worth.objective;
    demand.worthlessAt = worth.worthlessAt;
    return demand;
}

} // namespace

void Dispatcher::accountJob(const std::string &id, const StageJob &job)
{
    std::optional<JobDemand> demand =
        demandOf(job.plan, m_jobTable.queueSettingsOf(job), job.acceptedAt);
    if (!demand)
        return;
    if (const auto occurrence = job.occurrences.find(0); occurrence != job.occurrences.end()) {
        for (std::size_t s = 0; s < demand->steps.size(); ++s)
            demand->steps[s].left -= occurrence->second.steps[s].done;
    }
    m_overload.accepted(id, std::move(*demand));
}

std::optional<AdmissionRefusal> Dispatcher::refusalOf(const std::string &job,
                                                      const QueueSettings &queue,
                                                      const JobPlan &plan, Instant now,
                                                      WallMs wallNow)
{
    if (!m_settings.refusesLateSubmissions)
        return std::nullopt;
    const std::optional<JobDemand> demand = demandOf(plan, queue, wallNow);
    return demand ? m_overload.refusalOf(job, *demand, now, wallNow) : std::nullopt;
}

void Dispatcher::noteTasksLeft(const StageJob &job, const TaskRef &ref)
{
    const auto occurrence = job.occurrences.find(ref.occurrence);
    if (occurrence == job.occurrences.end())
        return;
    const StageStep &step = occurrence->second.steps[ref.step];
    m_overload.account().tasksLeft(ref.job, ref.step, job.plan.steps[ref.step].tasks - step.done);
}

void Dispatcher::learnRunTime(const PlacedRun &run, const EndRun &end, Instant now)
{
    // A run that was resumed or bound by an earlier leader says nothing about a whole one.
    if (end.end != RunEnd::Done || run.run != 1 || run.decidedAt == Instant() || run.longRunning)
        return;
    const StageJob &job = *m_jobTable.find(end.task.job);
    if (job.plan.steps.empty())
        return;
    m_overload.runTimes().ended(job.queue, run.image, job.plan.steps[end.task.step].estimateMs,
                                toMs(now - run.boundAt));
}

void Dispatcher::planOverload(Instant now, WallMs wallNow)
{
    if (!m_settings.ordersJobsUnderOverload || !m_overload.isDue(now))
        return;
    std::map<RoomPool, double> rooms;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        if (!worker.hasFacts || worker.node.empty() || worker.unreachable || worker.facts.draining
            || m_evacuation.excludes(worker) || now >= worker.leaseEnd)
            continue;
        const std::string &service = worker.facts.service;
        const Resources reservable =
            worker.facts.capacity - worker.longRunning - worker.unboundReserved;
        rooms[{service, false}] +=
            static_cast<double>(std::max<std::int64_t>(reservable.milliCores, 0));
        const auto shared =
            static_cast<double>(unusedMilliCores(worker) + worker.bestEffortMilliCores);
        rooms[{service, true}] += std::max(shared, 0.0);
    }
    m_overload.plan(rooms, now, wallNow);
}

} // namespace guavashift
