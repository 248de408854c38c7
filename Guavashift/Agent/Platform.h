#pragma once

#include <Guavashift/Control/Protocol.h>
#include <Guavashift/Http/Http.h>

namespace guavashift {

enum class PlatformTaskState { Running, Completed, Failed, Stopped };
NLOHMANN_JSON_SERIALIZE_ENUM(PlatformTaskState,
                             {{PlatformTaskState::Running, "running"},
                              {PlatformTaskState::Completed, "completed"},
                              {PlatformTaskState::Failed, "failed"},
                              {PlatformTaskState::Stopped, "stopped"}})

/// State of one attempt at the platform.
struct PlatformTask
{
    TaskId task;
    Attempt attempt = 0;
    PlatformTaskState state = PlatformTaskState::Running;
    std::string checkpoint;
    std::int64_t doneMs = 0;
    std::uint32_t speedPercent = 100;
    std::optional<UsageReport> usage; ///< The newest measurement, which may be old.
};
void to_json(Json &json, const PlatformTask &task);   // NOLINT
void from_json(const Json &json, PlatformTask &task); // NOLINT

/// The platform's answer to a lease renewal.
struct PlatformStatus
{
    std::string bootId; ///< Changes when the VM restarts.
    std::vector<PlatformTask> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlatformStatus, bootId, tasks)

/// Interface of the platform on one worker, which runs the worker's tasks. A lease is given by its
/// end on this VM's BootClock and not by its length, so that a delayed call cannot extend it.
class Platform
{
public:
    Platform() = default;
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;
    virtual ~Platform() = default;

    /// Extends the lease of all tasks to `leaseEnd` and returns their state.
    virtual Result<PlatformStatus> renew(Instant leaseEnd) = 0;

    /// Starts an attempt, which the platform stops at `leaseEnd` unless the lease is renewed.
    /// Fails after `leaseEnd`, and with Conflict if this or a higher attempt was started or stopped
    /// before.
    virtual Result<void> start(const TaskOrder &order, Instant leaseEnd) = 0;

    /// Stops the attempt with a checkpoint. The platform then refuses to start it or a lower one.
    virtual Result<void> stop(const TaskId &task, Attempt attempt) = 0;

    /// Limits the attempt's speed to `speedPercent` of full speed.
    virtual Result<void> throttle(const TaskId &task, Attempt attempt,
                                  std::uint32_t speedPercent) = 0;

    /// Deletes the platform's record of an attempt that has ended.
    virtual Result<void> forget(const TaskId &task, Attempt attempt) = 0;
};

} // namespace guavashift
