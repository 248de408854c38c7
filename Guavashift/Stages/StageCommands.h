#pragma once

#include <Guavashift/Stages/AnsweredLifetimes.h>
#include <Guavashift/Stages/JobPlan.h>

#include <variant>

namespace guavashift {

/// Replaces the configuration if its version is higher than the one in force.
struct ReplaceConfiguration
{
    std::string document; ///< As the operator sent it.
};

/// Accepts a job under a new id, if its queue is configured.
struct AcceptJob
{
    std::string job;
    std::string queue;
    JobPlan plan;
    /// In entries of earlier versions, which accepted jobs also for a queue that had been removed.
    bool mayLackQueue = false;
};

/// Cancels an active job. For an unknown one, its submission is accepted as cancelled if it
/// arrives later.
struct CancelJob
{
    std::string job;
};

/// Binds the next run of a task to one worker. The worker's order is sent only once this is
/// committed.
struct StartRun
{
    TaskRef task;
    std::uint32_t run = 0;
    Lifetime lifetime;
    /// Not a command of its own: replicas of earlier versions skip all of an entry that has a kind
    /// of command they cannot read. Entries of theirs have no path.
    StartPath path = {};
};

/// Records the end of a run, as reported by its worker or derived from the worker's lease.
struct EndRun
{
    TaskRef task;
    std::uint32_t run = 0;
    RunEnd end = RunEnd::Done;
    std::string checkpoint;
    CrashEvidence evidence = CrashEvidence::None;
};

/// Evacuates a failure domain: nothing may start on its workers.
struct EvacuateDomain
{
    std::string domain;
};

/// Ends the evacuation of a failure domain.
struct TakeBackDomain
{
    std::string domain;
};

using StageCommand = std::variant<ReplaceConfiguration, AcceptJob, CancelJob, StartRun, EndRun,
                                  EvacuateDomain, TakeBackDomain>;

/// Commands that are proposed together, with the leader's wall-clock time.
struct StageBatch
{
    WallMs time = 0;
    std::vector<StageCommand> commands;

    [[nodiscard]] std::string encode() const;
    /// Throws Json::exception for bytes that encode() did not write.
    static StageBatch decode(std::string_view bytes);
};

} // namespace guavashift
