#pragma once

#include <Guavashift/Agent/Agent.h>
#include <StandIns/RecordFile.h>

#include <map>
#include <mutex>
#include <set>

namespace guavashift {

/// What a stand-in for the platform does.
struct PlatformStandInSettings
{
    std::string bootId = "boot";
    bool failEveryTask = false;
    Duration failAfter = std::chrono::milliseconds(50);
    /// Checks of the platform; tests take one out to see what it prevents.
    bool checkLease = true;
    bool checkAttempt = true;
};

/// Runs tasks by counting their work. Follows the rules of the Platform interface. Thread-safe.
class PlatformStandIn final
{
public:
    PlatformStandIn(const PlatformStandInSettings &settings, RecordFile &record);

    PlatformStatus renew(Instant leaseEnd, Instant now);
    Result<void> start(const TaskOrder &order, Instant leaseEnd, Instant now);
    void stop(const TaskId &task, Attempt attempt, Instant now);
    void throttle(const TaskId &task, Attempt attempt, std::uint32_t speedPercent, Instant now);
    void forget(const TaskId &task, Attempt attempt);

    /// Counts work on and ends tasks whose work or lease is at its end.
    void advance(Instant now);

    /// The services of the tasks that run, by task.
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
