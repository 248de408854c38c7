#pragma once

#include <Guavashift/Agent/Platform.h>

#include <set>
#include <variant>

namespace guavashift {

/// Calls to make at the platform.
struct StartOnPlatform
{
    TaskOrder order;
};
struct StopOnPlatform
{
    TaskId task;
    Attempt attempt = 0;
};
struct ThrottleOnPlatform
{
    TaskId task;
    Attempt attempt = 0;
    std::uint32_t speedPercent = 100;
};
struct ForgetOnPlatform
{
    TaskId task;
    Attempt attempt = 0;
};

using PlatformAction =
    std::variant<StartOnPlatform, StopOnPlatform, ThrottleOnPlatform, ForgetOnPlatform>;

/// Compares what should run on a worker with what the platform runs. Pure.
class WorkerReconciler final
{
public:
    explicit WorkerReconciler(WorkerId worker);

    struct Result
    {
        std::vector<PlatformAction> actions;
        std::vector<ReportAttempt> reports;
    };

    /// @param ordersKnown whether `orders` came from a leader at all since this agent started
    /// @param leaseHeld whether the worker lease allows starts now
    Result reconcile(const WorkerOrders &orders, const PlatformStatus &status, bool ordersKnown,
                     bool leaseHeld);

    /// The platform refused this attempt for good: it will never run here.
    void startRefused(const TaskId &task, Attempt attempt);
    /// The platform has confirmed a stop.
    void stopConfirmed(const TaskId &task, Attempt attempt);

private:
    struct AttemptKey
    {
        TaskId task;
        Attempt attempt = 0;
        auto operator<=>(const AttemptKey &) const = default;
    };

    void reconcileAbsent(const TaskOrder &order, bool leaseHeld, Result &result);
    void reconcilePresent(const TaskOrder &order, const PlatformTask &task, Result &result);
    [[nodiscard]] ReportAttempt reportOf(const TaskOrder &order, AttemptEvent event) const;

    WorkerId m_worker;
    /// Attempts that certainly will not run here any more.
    std::set<AttemptKey> m_ended;
};

} // namespace guavashift
