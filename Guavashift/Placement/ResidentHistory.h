#pragma once

#include <Guavashift/Placement/FamilyTable.h>
#include <Guavashift/State/State.h>

#include <deque>
#include <unordered_map>

namespace guavashift {

/// A task on a worker, as a neighbour of the others there.
struct Resident
{
    TaskId task;
    FamilyId family = 0;
    std::uint32_t speedPercent = 100;
};

/// History of the co-located tasks on each worker, so that a late measurement can be attributed to
/// the tasks that ran at its time.
class ResidentHistory final
{
public:
    /// Records the tasks of each worker whose orders changed.
    void track(const StateMachine &state, FamilyTable &families, WallMs now);

    /// The residents of the worker during the second before `at`, or null if they changed within it
    /// or are no longer known.
    [[nodiscard]] const std::vector<Resident> *at(const WorkerId &worker, WallMs at) const;

    /// The current residents, or null if the worker is unknown.
    [[nodiscard]] const std::vector<Resident> *latest(const WorkerId &worker) const;

private:
    struct Snapshot
    {
        WallMs since = 0;
        std::vector<Resident> residents;
    };

    struct WorkerHistory
    {
        std::uint64_t ordersVersion = UINT64_MAX;
        std::deque<Snapshot> snapshots;
    };

    std::unordered_map<WorkerId, WorkerHistory> m_workers;
};

} // namespace guavashift
