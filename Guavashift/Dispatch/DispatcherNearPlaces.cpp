#include <Guavashift/Dispatch/Dispatcher.h>

// The part of Dispatcher that lets tasks wait for places near their data or their group.

namespace guavashift {

namespace {

/// The task that stands for all tasks of the step.
TaskRef groupOf(const TaskRef &ref)
{
    return {ref.job, ref.occurrence, ref.step, 0};
}

/// Racks of the runs that are placed for tasks of the step of `ref`.
std::vector<std::string_view> racksOfMembers(const WorkerPool &pool,
                                             const std::map<TaskRef, Lifetime> &placed,
                                             const TaskRef &ref)
{
    std::vector<std::string_view> racks;
    const TaskRef first = groupOf(ref);
    for (auto each = placed.lower_bound(first);
         each != placed.end() && groupOf(each->first) == first; ++each) {
        const auto worker = pool.workers().find(each->second);
        if (worker != pool.workers().end())
            racks.push_back(worker->second.facts.rack());
    }
    return racks;
}

} // namespace

std::string Dispatcher::groupRackOf(const StepPlan &step, const TaskRef &ref) const
{
    if (!step.sameRack)
        return {};
    const std::vector<std::string_view> racks = racksOfMembers(m_pool, m_placed, ref);
    if (racks.empty()) {
        const std::optional<GroupChoice> choice = m_nearPlaces.choiceOf(groupOf(ref));
        return choice && !choice->wait ? choice->rack : std::string();
    }
    // Once the members are on several racks, no place is nearer than another.
    const bool isOne = std::all_of(racks.begin(), racks.end(),
                                   [&](std::string_view rack) { return rack == racks.front(); });
    return isOne ? std::string(racks.front()) : std::string();
}

std::vector<RackRoom> Dispatcher::roomByRack(const StageJob &job, const TaskRef &ref, Instant now,
                                             const HeldWorkers &held) const
{
    const QueueSettings &queue = m_jobTable.queueSettingsOf(job);
    const StepPlan &step = job.plan.steps[ref.step];
    const Resources size = reservationOf(step);
    const std::uint32_t most = step.maxPerWorker > 0 ? step.maxPerWorker : step.tasks;
    std::map<std::string, RackRoom, std::less<>> rooms;
    for (const auto &[lifetime, worker] : m_pool.workers()) {
        const std::optional<Exclusion> exclusion = exclusionOf(worker, queue, step, ref, now);
        if ((exclusion && exclusion != Exclusion::Capacity)
            || (!step.dataRack.empty() && !worker.facts.hasLabel(step.dataRack)))
            continue;
        RackRoom &room = rooms[std::string(worker.facts.rack())];
        if (!exclusion && held.allows(worker, step))
            room.now += countThatFit(worker.available(), size, most);
        room.ever += countThatFit(worker.facts.capacity - worker.longRunning, size, most);
    }
    std::vector<RackRoom> list;
    for (auto &[rack, room] : rooms) {
        room.rack = rack;
        list.push_back(std::move(room));
    }
    return list;
}

bool Dispatcher::waitsForNearPlace(const StageJob &job, const ReadyTask &ready, Instant now,
                                   WallMs wallNow, const HeldWorkers &held)
{
    const StepPlan &step = job.plan.steps[ready.task.step];
    // Long-running tasks must not wait while there is room, and suspected ones start in turn.
    if (!m_settings.waitsForNearPlaces || (step.dataRack.empty() && !step.sameRack)
        || step.longRunning || ready.suspected)
        return false;
    const Duration work = std::chrono::milliseconds(step.estimateMs);
    const Duration slack = std::chrono::milliseconds(ready.objective - wallNow - ready.remainingMs);
    const PoolWorker *best = chooseWorker(job, ready.task, now, held);
    if (best == nullptr)
        return false;
    const bool isGroup =
        step.gang || (step.sameRack && racksOfMembers(m_pool, m_placed, ready.task).empty());
    if (isGroup) {
        std::uint32_t members = 0;
        TaskRef member = groupOf(ready.task);
        for (; member.task < step.tasks; ++member.task)
            members += m_readyByTask.contains(member) ? 1 : 0;
        const auto rooms = roomByRack(job, ready.task, now, held);
        return m_nearPlaces
            .chooseRack(groupOf(ready.task), members, reservationOf(step), work, slack, rooms, now)
            .wait;
    }
    const std::string rack = step.sameRack ? groupRackOf(step, ready.task) : step.dataRack;
    return !rack.empty() && !best->facts.hasLabel(rack)
        && m_nearPlaces.waits(ready.task, rack, reservationOf(step), work, slack, now);
}

void Dispatcher::recordNearness(const StepPlan &step, const TaskRef &ref, Instant now)
{
    if (step.dataRack.empty() && !step.sameRack)
        return;
    const bool hasData = step.dataRack.empty()
        || m_pool.workers().at(m_placed.at(ref)).facts.hasLabel(step.dataRack);
    const std::optional<GroupChoice> choice = m_nearPlaces.choiceOf(groupOf(ref));
    const bool isSpread = choice && choice->rack.empty();
    const bool isTogether = !step.sameRack || (!isSpread && !groupRackOf(step, ref).empty());
    // The wait of a group ends with its first member. Later ones, and tasks with data only, wait
    // one by one, and the first of them may still do so.
    const bool isFirst =
        step.sameRack && choice && racksOfMembers(m_pool, m_placed, ref).size() == 1;
    m_nearPlaces.placed(step.gang || isFirst ? groupOf(ref) : ref, hasData && isTogether, now);
}

} // namespace guavashift
