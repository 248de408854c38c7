#pragma once

#include <Guavashift/Agent/Agent.h>
#include <StandIns/RecordFile.h>

#include <map>
#include <mutex>
#include <set>

namespace guavashift {

/// Behavior of a PlatformStandIn.
struct PlatformStandInSettings
{
    std::string bootId = "boot";
    /// Makes every task fail `failAfter` after its start.
    bool failEveryTask = false;
    Duration failAfter = std::chrono::milliseconds(50);
    /// Checks that the platform makes. Tests turn one off to show which failure it prevents.
    bool checkLease = true;
    bool checkAttempt = true;
};

/// Simulates tasks: their progress is the time they ran, scaled by their speed. Obeys the contract
/// of the Platform interface. Thread-safe.
class PlatformStandIn final
{
public:
    PlatformStandIn(const PlatformStandInSettings &settings, RecordFile &record);

    PlatformStatus renew(Instant leaseEnd, Instant now);
    Result<void> start(const TaskOrder &order, Instant leaseEnd, Instant now);
    void stop(const TaskId &task, Attempt attempt, Instant now);
    void throttle(const TaskId &task, Attempt attempt, std::uint32_t speedPercent, Instant now);
    void forget(const TaskId &task, Attempt attempt);

    /// Updates the progress of running tasks and ends those that are complete, that fail by the
    /// settings, or whose lease has expired.
    void advance(Instant now);

    /// Orders of the running latency-critical tasks, by task.
    [[nodiscard]] std::map<TaskId, TaskOrder> runningServices() const;

private:
    struct HostedTask
    {
        TaskOrder order;
        PlatformTaskState state = PlatformTaskState::Running;
        double doneMs = 0;
        std::uint32_t speedPercent = 100;
        Instant startedAt;
        Instant progressAt;
    };

    void updateProgress(HostedTask &task, Instant now) const;
    void end(HostedTask &task, PlatformTaskState state, Instant now);
    [[nodiscard]] PlatformTask describe(const HostedTask &task, Instant now) const;

    PlatformStandInSettings m_settings;
    RecordFile &m_record;
    mutable std::mutex m_mutex;
    Instant m_leaseEnd;
    std::map<TaskId, HostedTask> m_tasks;
    std::map<TaskId, Attempt> m_highestAttempt;
};

} // namespace guavashift
