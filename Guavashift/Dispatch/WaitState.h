#pragma once

#include <Guavashift/Stages/Stages.h>

#include <array>
#include <optional>

namespace guavashift {

/// Why a worker may not run a task now. The first reason that applies, in this order.
enum class Exclusion : std::uint8_t {
    NoSession,    ///< No agent reports for it at present.
    OtherService, ///< It belongs to another pool than the task's queue uses.
    Unreachable,  ///< It does not answer its agent.
    Draining,
    Evacuated, ///< Its failure domain is evacuated.
    NoLease,
    Suspect, ///< Paused after refusals or failures.
    Label,   ///< It lacks the required label.
    SpreadLimit,
    Cold,         ///< It has the runs that it may have while it warms up.
    CrashSuspect, ///< A task under which a worker has crashed has just started there.
    Capacity,
    Interference ///< It would slow a best-effort task down, or be slowed down by it.
};
constexpr std::size_t exclusionCount = 13;

/// A task that is in the queue.
struct QueuedState
{
    std::array<std::uint32_t, exclusionCount> excluded{}; ///< Workers by Exclusion.
    std::uint32_t eligible = 0;                           ///< Workers that may run the task.
    /// Another task of its step is tried first, after a crash, or it is paused after several.
    bool awaitsTrial = false;

    [[nodiscard]] std::uint32_t excludedBy(Exclusion reason) const
    {
        return excluded.at(static_cast<std::size_t>(reason));
    }
};

/// A task with a run that is bound to a worker or proposed to be.
struct BoundState
{
    std::uint32_t run = 0;
    std::string worker;
    bool committed = false;
    bool listed = false; ///< In the worker's last report.
    std::optional<Duration> reportAge;
    bool stopRequested = false;
    bool endProposed = false;
};

/// A task that the leader neither queued nor placed.
struct UntrackedState
{
};

/// Why a task has not been running.
using WaitState = std::variant<UntrackedState, QueuedState, BoundState>;

} // namespace guavashift
