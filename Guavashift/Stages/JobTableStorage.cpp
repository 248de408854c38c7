#include <Guavashift/Stages/JobTable.h>

// The part of JobTable that saves and loads its state.

namespace guavashift {

namespace {

constexpr int formatVersion = 1;
/// Names in the object that holds the state added since; earlier versions do not read it.
constexpr const char *evacuationsField = "evacuations";
constexpr const char *answeredField = "answered-lifetimes";

Json saveTask(const StageTask &task)
{
    if (task == StageTask{})
        return nullptr;
    return Json::array({task.stage, task.run, task.failures, task.lifetime.worker,
                        task.lifetime.startedAt, task.checkpoint, task.crashes,
                        task.exemptCrashes});
}

StageTask loadTask(const Json &json)
{
    if (json.is_null())
        return {};
    return {json.at(0).get<TaskStage>(),
            json.at(1).get<std::uint32_t>(),
            json.at(2).get<std::uint32_t>(),
            {json.at(3).get<std::string>(), json.at(4).get<std::int64_t>()},
            json.at(5).get<std::string>(),
            // Snapshots of earlier versions have no numbers of crashes, or only the first.
            json.size() > 6 ? json.at(6).get<std::uint32_t>() : 0,
            json.size() > 7 ? json.at(7).get<std::uint32_t>() : 0};
}

Json saveOccurrence(const StageOccurrence &occurrence)
{
    Json steps = Json::array();
    for (const StageStep &step : occurrence.steps) {
        Json tasks = Json::array();
        for (const StageTask &task : step.tasks)
            tasks.push_back(saveTask(task));
        steps.push_back(std::move(tasks));
    }
    return steps;
}

StageOccurrence loadOccurrence(const Json &json)
{
    StageOccurrence occurrence;
    for (const Json &tasks : json) {
        StageStep step;
        for (const Json &task : tasks) {
            step.tasks.push_back(loadTask(task));
            step.done += step.tasks.back().stage == TaskStage::Done ? 1 : 0;
            step.suspected += step.tasks.back().allCrashes() > 0 ? 1 : 0;
        }
        occurrence.stepsDone += step.isDone() ? 1 : 0;
        occurrence.steps.push_back(std::move(step));
    }
    return occurrence;
}

Json saveQueueSettings(const QueueSettings &queue)
{
    Json approval;
    if (queue.approval)
        approval = Json::array(
            {queue.approval->decisionMs, queue.approval->perWorkerMs, queue.approval->validityMs});
    return Json::array({queue.name, queue.host, queue.pathPrefix, queue.service, queue.timeoutMs,
                        queue.targetLatencyMs, queue.priority, queue.maxAttempts, queue.stretch,
                        std::move(approval)});
}

QueueSettings loadQueueSettings(const Json &json)
{
    QueueSettings queue;
    json.at(0).get_to(queue.name);
    json.at(1).get_to(queue.host);
    json.at(2).get_to(queue.pathPrefix);
    json.at(3).get_to(queue.service);
    json.at(4).get_to(queue.timeoutMs);
    json.at(5).get_to(queue.targetLatencyMs);
    json.at(6).get_to(queue.priority);
    json.at(7).get_to(queue.maxAttempts);
    json.at(8).get_to(queue.stretch);
    if (const Json &approval = json.at(9); !approval.is_null())
        queue.approval = ApprovalSettings{approval.at(0), approval.at(1), approval.at(2)};
    return queue;
}

Json saveJob(const std::string &id, const StageJob &job)
{
    Json occurrences = Json::array();
    for (const auto &[number, occurrence] : job.occurrences)
        occurrences.push_back(Json::array({number, saveOccurrence(occurrence)}));
    return Json::array({id, job.queue, job.plan, job.status, job.acceptedAt, job.endedAt,
                        saveQueueSettings(job.queueSettings), job.started, std::move(occurrences),
                        job.occurrencesDone});
}

StageJob loadJob(const Json &json)
{
    StageJob job;
    json.at(1).get_to(job.queue);
    json.at(2).get_to(job.plan);
    job.status = json.at(3).get<StageJobStatus>();
    json.at(4).get_to(job.acceptedAt);
    json.at(5).get_to(job.endedAt);
    job.queueSettings = loadQueueSettings(json.at(6));
    json.at(7).get_to(job.started);
    for (const Json &entry : json.at(8)) {
        StageOccurrence occurrence = loadOccurrence(entry.at(1));
        for (const StageStep &step : occurrence.steps) {
            for (const StageTask &task : step.tasks)
                job.bound += task.stage == TaskStage::Bound ? 1 : 0;
        }
        job.occurrences.emplace(entry.at(0).get<std::uint32_t>(), std::move(occurrence));
    }
    json.at(9).get_to(job.occurrencesDone);
    return job;
}

Json saveAnswered(const AnsweredLifetimes &answered)
{
    Json list = Json::array();
    for (const auto &[lifetime, entry] : answered.entries())
        list.push_back(Json::array({lifetime.worker, lifetime.startedAt, entry.node, entry.order}));
    return Json::array({answered.lastOrder(), std::move(list)});
}

void loadAnswered(AnsweredLifetimes &answered, const Json &json)
{
    answered.restoreLastOrder(json.at(0).get<std::uint64_t>());
    for (const Json &entry : json.at(1))
        answered.restore({entry.at(0).get<std::string>(), entry.at(1).get<std::int64_t>()},
                         entry.at(2).get<std::string>(), entry.at(3).get<std::uint64_t>());
}

void addBoundRuns(AnsweredLifetimes &answered, const StageJob &job)
{
    for (const auto &[number, occurrence] : job.occurrences) {
        for (const StageStep &step : occurrence.steps) {
            for (const StageTask &task : step.tasks) {
                if (task.stage == TaskStage::Bound)
                    answered.boundBefore(task.lifetime);
            }
        }
    }
}

} // namespace

void JobTable::clear()
{
    *this = JobTable(m_settings, m_reader);
}

std::string JobTable::save() const
{
    Json jobs = Json::array();
    for (const auto &[id, job] : m_jobs)
        jobs.push_back(saveJob(id, job));
    std::string bytes;
    Json added{{evacuationsField, m_evacuations.save()}, {answeredField, saveAnswered(m_answered)}};
    Json::to_cbor(Json::array({formatVersion, m_time, m_document, m_digest, std::move(jobs),
                               m_earlyCancels.entries(), std::move(added)}),
                  bytes);
    return bytes;
}

Result<void> JobTable::load(std::string_view bytes)
{
    JobTable loaded(m_settings, m_reader);
    try {
        const Json json = Json::from_cbor(bytes);
        if (json.at(0).get<int>() != formatVersion)
            return fail(ErrorCode::InvalidArgument, "the state has an unknown format version");
        json.at(1).get_to(loaded.m_time);
        json.at(2).get_to(loaded.m_document);
        json.at(3).get_to(loaded.m_digest);
        for (const Json &entry : json.at(4)) {
            const auto id = entry.at(0).get<std::string>();
            StageJob job = loadJob(entry);
            if (!job.isActive())
                loaded.m_ended.emplace(job.endedAt, id);
            else if (!job.started)
                ++loaded.m_pending[job.queue];
            addBoundRuns(loaded.m_answered, job);
            loaded.m_jobs.emplace(id, std::move(job));
        }
        // Snapshots of earlier versions have no early cancels.
        if (json.size() > 5) {
            for (const Json &entry : json.at(5))
                loaded.m_earlyCancels.record(entry.at(1).get<std::string>(), entry.at(0));
        }
        constexpr std::size_t addedState = 6;
        const Json added = json.size() > addedState ? json.at(addedState) : Json::object();
        if (added.contains(evacuationsField))
            loaded.m_evacuations.load(added.at(evacuationsField));
        if (added.contains(answeredField))
            loadAnswered(loaded.m_answered, added.at(answeredField));
    } catch (const Json::exception &error) {
        return fail(ErrorCode::InvalidArgument, error.what());
    }
    if (!loaded.m_document.empty()) {
        tl::expected<QueueTable, Findings> table = m_reader(loaded.m_document);
        if (!table)
            return fail(ErrorCode::InvalidArgument, "the saved configuration cannot be read");
        loaded.m_queues = std::move(*table);
    }
    *this = std::move(loaded);
    return {};
}

} // namespace guavashift
