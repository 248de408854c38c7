#include <Guavashift/Placement/Scheduler.h>

#include <algorithm>

namespace guavashift {

namespace {

struct Room
{
    const Worker *worker = nullptr;
    Resources free;
};

std::vector<Room> roomsOf(const StateMachine &state)
{
    std::vector<Room> rooms;
    for (const auto &[id, worker] : state.workers()) {
        if (worker.status == WorkerStatus::Up)
            rooms.push_back({&worker, worker.facts.capacity - worker.reserved});
    }
    return rooms;
}

} // namespace

Scheduler::Scheduler(const SchedulerSettings &settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

void Scheduler::observe(const UsageReport &, const StateMachine &) { }

std::vector<CommandBody> Scheduler::decide(const StateMachine &state, WallMs now)
{
    std::vector<CommandBody> commands;
    std::vector<Room> rooms = roomsOf(state);
    for (const TaskId &id : state.queued()) {
        if (commands.size() >= m_settings.maxStartsPerRound)
            break;
        const Task &task = state.tasks().at(id);
        if (task.releaseAt > now)
            continue;
        Room *best = nullptr;
        for (Room &room : rooms) {
            const bool quarantined =
                task.kind == TaskKind::Batch && room.worker->quarantinedUntil > now;
            if (quarantined || !task.size.fitsWithin(room.free))
                continue;
            if (best == nullptr || room.free.milliCores > best->free.milliCores)
                best = &room;
        }
        if (best == nullptr)
            continue;
        best->free -= task.size;
        commands.emplace_back(
            StartAttempt{id, best->worker->id, best->worker->facts.incarnation, task.size});
    }
    return commands;
}

} // namespace guavashift
