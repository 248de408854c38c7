#pragma once

#include <Guavashift/Placement/FamilyTable.h>
#include <Guavashift/State/State.h>

#include <deque>
#include <unordered_map>

namespace guavashift {

/// A task as a neighbour of others.
struct Resident
{
    TaskId task;
    FamilyId family = 0;
    std::uint32_t speedPercent = 100;
};

/// What ran together on each worker at which time, so that a late measurement is held against its
/// own time.
class ResidentHistory final
{
public:
    /// Notes the tasks of each worker whose orders changed.
    void track(const StateMachine &state, FamilyTable &families, WallMs now);

    /// The residents of the worker during the second before `at`, or null if they changed in it or
    /// are no longer known.
    [[nodiscard]] const std::vector<Resident> *at(const WorkerId &worker, WallMs at) const;

    /// The residents now.
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
