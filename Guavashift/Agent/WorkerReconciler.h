#pragma once

#include <Guavashift/Agent/Platform.h>

#include <set>
#include <variant>

namespace guavashift {

/// Calls that WorkerReconciler requests of the platform.
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

/// Compares the orders for a worker with the attempts at its platform. Does no I/O and reads no
/// clock. Not thread-safe.
class WorkerReconciler final
{
public:
    explicit WorkerReconciler(WorkerId worker);

    /// Calls to make now, and reports for the leader.
    struct Result
    {
        std::vector<PlatformAction> actions;
        std::vector<ReportAttempt> reports;
    };

    /// Returns nothing unless `ordersKnown`: a leader has sent `orders` since this agent started.
    /// `leaseHeld` tells whether the worker lease allows starts now.
    Result reconcile(const WorkerOrders &orders, const PlatformStatus &status, bool ordersKnown,
                     bool leaseHeld);

    /// Records that the platform refused to start the attempt, which will then never run here.
    void startRefused(const TaskId &task, Attempt attempt);
    /// Records that the platform has confirmed a stop.
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
    /// Ordered attempts that certainly will not run here any more.
    std::set<AttemptKey> m_ended;
};

} // namespace guavashift
