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

/// One attempt as the platform sees it.
struct PlatformTask
{
    TaskId task;
    Attempt attempt = 0;
    PlatformTaskState state = PlatformTaskState::Running;
    std::string checkpoint;
    std::int64_t doneMs = 0;
    std::uint32_t speedPercent = 100;
    std::optional<UsageReport> usage; ///< Lags behind.
};
void to_json(Json &json, const PlatformTask &task);   // NOLINT
void from_json(const Json &json, PlatformTask &task); // NOLINT

/// The platform's answer to a renewal.
struct PlatformStatus
{
    std::string bootId; ///< Changes when the VM restarts.
    std::vector<PlatformTask> tasks;
};
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlatformStatus, bootId, tasks)

/// The platform's interface on one worker. Leases are given as the end on this VM's BootClock, not
/// as a length, so that a call that is held up cannot extend them.
class Platform
{
public:
    Platform() = default;
    Platform(const Platform &) = delete;
    Platform &operator=(const Platform &) = delete;
    virtual ~Platform() = default;

    /// Extends the lease of all tasks to `leaseEnd` and tells what there is.
    virtual Result<PlatformStatus> renew(Instant leaseEnd) = 0;

    /// Starts an attempt that ends by itself at `leaseEnd` unless renewed. Refused after
    /// `leaseEnd`, or if this or a higher attempt was started or stopped before.
    virtual Result<void> start(const TaskOrder &order, Instant leaseEnd) = 0;

    /// Stops the attempt with a checkpoint and refuses it and lower ones from now on.
    virtual Result<void> stop(const TaskId &task, Attempt attempt) = 0;

    virtual Result<void> throttle(const TaskId &task, Attempt attempt,
                                  std::uint32_t speedPercent) = 0;

    /// Drops the record of an attempt that has ended.
    virtual Result<void> forget(const TaskId &task, Attempt attempt) = 0;
};

} // namespace guavashift
