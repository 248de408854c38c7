#include <Guavashift/Placement/ResidentHistory.h>

namespace guavashift {

namespace {

constexpr WallMs retentionMs = 60'000;
/// Time without a change before residents count as those of a measurement.
constexpr WallMs settleMs = 1'000;

} // namespace

void ResidentHistory::track(const StateMachine &state, FamilyTable &families, WallMs now)
{
    for (const auto &[id, worker] : state.workers()) {
        WorkerHistory &history = m_workers[id];
        if (history.ordersVersion == worker.ordersVersion)
            continue;
        history.ordersVersion = worker.ordersVersion;
        Snapshot snapshot;
        snapshot.since = now;
        for (const TaskId &taskId : worker.tasks) {
            const Task &task = state.tasks().at(taskId);
            snapshot.residents.push_back({taskId, families.idOf(task.family), task.speedPercent});
        }
        history.snapshots.push_back(std::move(snapshot));
        while (history.snapshots.size() > 1 && history.snapshots[1].since < now - retentionMs)
            history.snapshots.pop_front();
    }
}

const std::vector<Resident> *ResidentHistory::at(const WorkerId &worker, WallMs at) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return nullptr;
    const std::deque<Snapshot> &snapshots = found->second.snapshots;
    for (auto snapshot = snapshots.rbegin(); snapshot != snapshots.rend(); ++snapshot) {
        if (snapshot->since > at)
            continue;
        return snapshot->since + settleMs <= at ? &snapshot->residents : nullptr;
    }
    return nullptr;
}

const std::vector<Resident> *ResidentHistory::latest(const WorkerId &worker) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.snapshots.empty())
        return nullptr;
    return &found->second.snapshots.back().residents;
}

} // namespace guavashift
