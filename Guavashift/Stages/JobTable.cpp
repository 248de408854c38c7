#include <Guavashift/Stages/JobTable.h>

namespace guavashift {

namespace {

/// Whether a leader may have derived the end from a lease or an inventory, without a report of the
/// run itself.
bool isDerived(RunEnd end)
{
    return end == RunEnd::Lapsed || end == RunEnd::NotStarted;
}

/// Whether the last run of the task was settled with a derived end. Only such a run leaves its
/// lifetime in a waiting task.
bool awaitsReport(const StageTask &task)
{
    return task.stage == TaskStage::Waiting && task.lifetime != Lifetime();
}

} // namespace

JobTable::JobTable(const JobTableSettings &settings, QueueTableReader reader)
    : m_settings(settings)
    , m_reader(std::move(reader))
    , m_earlyCancels(settings.maxEarlyCancels)
    , m_evacuations(settings.evacuation)
{
}

StageOutcome JobTable::apply(WallMs time, const StageCommand &command)
{
    // Clocks of leaders differ; the state's time never goes back.
    m_time = std::max(m_time, time);
    removeExpired();
    const StageOutcome outcome =
        std::visit([this](const auto &body) { return handle(body); }, command);
    const std::uint64_t parts[] = {m_digest, command.index(), outcome.applied ? 1U : 0U, // NOLINT
                                   m_jobs.size(), m_ended.size()};
    m_digest = hashBytes({reinterpret_cast<const char *>(parts), sizeof(parts)});
    return outcome;
}

const StageJob *JobTable::find(std::string_view job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : &found->second;
}

StageTask *JobTable::findTask(const TaskRef &ref)
{
    const auto job = m_jobs.find(ref.job);
    if (job == m_jobs.end())
        return nullptr;
    const auto occurrence = job->second.occurrences.find(ref.occurrence);
    if (occurrence == job->second.occurrences.end())
        return nullptr;
    std::vector<StageStep> &steps = occurrence->second.steps;
    if (ref.step >= steps.size() || ref.task >= steps[ref.step].tasks.size())
        return nullptr;
    return &steps[ref.step].tasks[ref.task];
}

const StageTask *JobTable::find(const TaskRef &ref) const
{
    return const_cast<JobTable *>(this)->findTask(ref);
}

std::size_t JobTable::pendingIn(std::string_view queue) const
{
    const auto found = m_pending.find(queue);
    return found == m_pending.end() ? 0 : found->second;
}

const QueueSettings &JobTable::queueSettingsOf(const StageJob &job) const
{
    const QueueSettings *queue = m_queues.find(job.queue);
    return queue == nullptr ? job.queueSettings : *queue;
}

bool JobTable::isReady(const StageJob &job, std::uint32_t occurrence, std::uint32_t step)
{
    const std::vector<std::uint32_t> &after = job.plan.steps[step].after;
    if (after.empty())
        return true;
    const auto found = job.occurrences.find(occurrence);
    if (found == job.occurrences.end())
        return false;
    return std::all_of(after.begin(), after.end(), [&](std::uint32_t earlier) {
        return found->second.steps[earlier].isDone();
    });
}

StageOutcome JobTable::handle(const ReplaceConfiguration &command)
{
    tl::expected<QueueTable, Findings> table = m_reader(command.document);
    if (!table)
        return {false, "the document is invalid"};
    if (!m_document.empty() && table->version() <= m_queues.version())
        return {false, "a version as high is in force"};
    m_queues = std::move(*table);
    m_document = command.document;
    return {true};
}

StageOutcome JobTable::handle(const AcceptJob &command)
{
    if (m_jobs.contains(command.job))
        return {false, "the job is known"};
    const QueueSettings *queue = m_queues.find(command.queue);
    if (queue == nullptr && !command.mayLackQueue)
        return {false, "there is no such queue"};
    StageJob &job = m_jobs[command.job];
    job.queue = command.queue;
    job.plan = command.plan;
    job.acceptedAt = m_time;
    if (queue != nullptr)
        job.queueSettings = *queue;
    ++m_pending[job.queue];
    if (m_earlyCancels.take(command.job)) {
        endJob(command.job, job, StageJobStatus::Cancelled);
        return {false, "the job was cancelled before"};
    }
    if (job.plan.occurrences == 0)
        occurrenceOf(job, 0);
    return {true};
}

StageOutcome JobTable::handle(const CancelJob &command)
{
    const auto found = m_jobs.find(command.job);
    if (found == m_jobs.end()) {
        m_earlyCancels.record(command.job, m_time);
        return {false, "there is no such job"};
    }
    if (!found->second.isActive())
        return {false, "the job has ended"};
    endJob(command.job, found->second, StageJobStatus::Cancelled);
    return {true};
}

StageOccurrence &JobTable::occurrenceOf(StageJob &job, std::uint32_t occurrence)
{
    const auto [position, added] = job.occurrences.try_emplace(occurrence);
    if (added) {
        for (const StepPlan &step : job.plan.steps)
            position->second.steps.push_back({std::vector<StageTask>(step.tasks), 0, 0});
    }
    return position->second;
}

StageOutcome JobTable::handle(const StartRun &command)
{
    const TaskRef &ref = command.task;
    const auto found = m_jobs.find(ref.job);
    if (found == m_jobs.end() || !found->second.isActive())
        return {false, "the job does not run"};
    StageJob &job = found->second;
    if (ref.occurrence >= job.plan.occurrenceCount() || job.occurrencesDone.contains(ref.occurrence)
        || ref.step >= job.plan.steps.size() || ref.task >= job.plan.steps[ref.step].tasks)
        return {false, "there is no such task"};
    if (!isReady(job, ref.occurrence, ref.step))
        return {false, "an earlier step is not done"};
    occurrenceOf(job, ref.occurrence);
    StageTask &task = *findTask(ref);
    if (task.stage != TaskStage::Waiting)
        return {false, "the task is bound or done"};
    if (command.run <= task.run)
        return {false, "the run is not newer"};
    if (!job.plan.steps[ref.step].longRunning
        && task.failures >= queueSettingsOf(job).maxAttempts) {
        // A configuration has lowered the number of attempts since the task failed last. No run
        // of the task will follow whose end could end the job.
        endJob(ref.job, job, StageJobStatus::Failed);
        return {false, "no attempt is left"};
    }
    task.stage = TaskStage::Bound;
    task.run = command.run;
    task.lifetime = command.lifetime;
    ++job.bound;
    m_answered.bound(command.lifetime, command.path);
    if (!job.started) {
        job.started = true;
        --m_pending[job.queue];
    }
    return {true};
}

StageOutcome JobTable::handle(const EndRun &command)
{
    StageTask *task = findTask(command.task);
    if (task == nullptr || task->run != command.run)
        return {false, "the run is not the current one"};
    StageJob &job = m_jobs.find(command.task.job)->second;
    if (job.isActive() && command.end == RunEnd::Done && awaitsReport(*task)) {
        // The run did end as done, and no later one is bound: the task needs no other run.
        taskDone(job, command.task);
        return {true};
    }
    if (task->stage != TaskStage::Bound)
        return {false, "the run is not the current one"};
    const StepPlan &plan = job.plan.steps[command.task.step];
    task->stage = TaskStage::Waiting;
    m_answered.released(task->lifetime);
    if (!isDerived(command.end) || plan.longRunning)
        task->lifetime = {};
    if (!command.checkpoint.empty())
        task->checkpoint = command.checkpoint;
    --job.bound;
    recordEvidence(job, command);
    if (command.end == RunEnd::Done && !plan.longRunning)
        taskDone(job, command.task);
    else if (command.end == RunEnd::Failed && !plan.longRunning)
        taskFailed(job, command.task);
    discardPlanIfEnded(job);
    return {true};
}

StageOutcome JobTable::handle(const EvacuateDomain &command)
{
    if (m_evacuations.contains(command.domain))
        return {false, "the domain is evacuated"};
    if (!m_evacuations.evacuate(command.domain))
        return {false, "the name is invalid, or too many domains are evacuated"};
    m_digest ^= hashBytes(command.domain);
    return {true};
}

StageOutcome JobTable::handle(const TakeBackDomain &command)
{
    if (!m_evacuations.takeBack(command.domain, m_time))
        return {false, "the domain is not evacuated"};
    m_digest ^= hashBytes(command.domain);
    return {true};
}

void JobTable::taskDone(StageJob &job, const TaskRef &ref)
{
    StageOccurrence &occurrence = job.occurrences.at(ref.occurrence);
    StageStep &step = occurrence.steps[ref.step];
    // The end of one member settles its whole gang.
    const bool wholeStep = job.plan.steps[ref.step].gang;
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
        StageTask &task = step.tasks[i];
        if ((i != ref.task && !wholeStep) || task.stage == TaskStage::Done)
            continue;
        if (task.stage == TaskStage::Bound) {
            --job.bound;
            m_answered.released(task.lifetime);
        }
        task.stage = TaskStage::Done;
        task.lifetime = {};
        task.checkpoint.clear();
        ++step.done;
    }
    if (!step.isDone())
        return;
    if (++occurrence.stepsDone < occurrence.steps.size())
        return;
    job.occurrencesDone.insert(ref.occurrence);
    if (job.plan.occurrences > 0)
        job.occurrences.erase(ref.occurrence);
    if (job.isActive() && job.occurrencesDone.size() == job.plan.occurrenceCount())
        endJob(ref.job, job, StageJobStatus::Completed);
}

void JobTable::taskFailed(StageJob &job, const TaskRef &ref)
{
    StageStep &step = job.occurrences.at(ref.occurrence).steps[ref.step];
    StageTask &failed = step.tasks[ref.task];
    ++failed.failures;
    std::uint32_t failures = failed.failures;
    // Failures count for the gang as a whole.
    if (job.plan.steps[ref.step].gang) {
        failures = 0;
        for (const StageTask &task : step.tasks)
            failures += task.failures;
    }
    if (failures >= queueSettingsOf(job).maxAttempts && job.isActive())
        endJob(ref.job, job, StageJobStatus::Failed);
}

void JobTable::recordEvidence(StageJob &job, const EndRun &command)
{
    const TaskRef &ref = command.task;
    StageStep &step = job.occurrences.at(ref.occurrence).steps[ref.step];
    StageTask &task = step.tasks[ref.task];
    const bool wasSuspected = task.allCrashes() > 0;
    if (command.evidence == CrashEvidence::Suspected && isDerived(command.end)) {
        ++task.crashes;
    } else if (command.evidence == CrashEvidence::Exempt && isDerived(command.end)) {
        ++task.exemptCrashes;
    } else if (command.evidence == CrashEvidence::Survived || command.end == RunEnd::Done
               || command.end == RunEnd::Failed) {
        task.crashes = 0;
        task.exemptCrashes = 0;
    }
    step.suspected += (task.allCrashes() > 0 ? 1U : 0U) - (wasSuspected ? 1U : 0U);
    // Leaders of the version before suspect long-running tasks too. All replicas must agree.
    if (task.crashes >= m_settings.maxCrashes && job.isActive())
        endJob(ref.job, job, StageJobStatus::Failed);
}

void JobTable::endJob(const std::string &id, StageJob &job, StageJobStatus status)
{
    job.status = status;
    job.endedAt = m_time;
    m_ended.emplace(m_time, id);
    if (!job.started)
        --m_pending[job.queue];
    discardPlanIfEnded(job);
}

void JobTable::discardPlanIfEnded(StageJob &job)
{
    if (job.isActive() || job.bound > 0)
        return;
    job.plan = {};
    job.occurrences.clear();
    job.occurrencesDone.clear();
}

void JobTable::removeExpired()
{
    m_earlyCancels.removeBefore(m_time - m_settings.endedJobRetentionMs);
    m_evacuations.removeExpired(m_time);
    while (!m_ended.empty() && m_ended.begin()->first + m_settings.endedJobRetentionMs < m_time) {
        const auto found = m_jobs.find(m_ended.begin()->second);
        // A job with bound runs is kept until their ends are known.
        if (found->second.bound > 0)
            return;
        m_jobs.erase(found);
        m_ended.erase(m_ended.begin());
    }
}

} // namespace guavashift
