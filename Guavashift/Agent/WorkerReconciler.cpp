#include <Guavashift/Agent/WorkerReconciler.h>

#include <algorithm>

namespace guavashift {

WorkerReconciler::WorkerReconciler(WorkerId worker)
    : m_worker(std::move(worker))
{
}

void WorkerReconciler::startRefused(const TaskId &task, Attempt attempt)
{
    m_ended.insert({task, attempt});
}

void WorkerReconciler::stopConfirmed(const TaskId &task, Attempt attempt)
{
    m_ended.insert({task, attempt});
}

ReportAttempt WorkerReconciler::reportOf(const TaskOrder &order, AttemptEvent event) const
{
    return {order.task, order.attempt, m_worker, event, order.checkpoint, order.doneMs};
}

WorkerReconciler::Result WorkerReconciler::reconcile(const WorkerOrders &orders,
                                                     const PlatformStatus &status, bool ordersKnown,
                                                     bool leaseHeld)
{
    Result result;
    if (!ordersKnown)
        return result;
    for (const TaskOrder &order : orders.tasks) {
        const auto same = [&](const PlatformTask &task) {
            return task.task == order.task && task.attempt == order.attempt;
        };
        const auto found = std::find_if(status.tasks.begin(), status.tasks.end(), same);
        if (found == status.tasks.end())
            reconcileAbsent(order, leaseHeld, result);
        else
            reconcilePresent(order, *found, result);
    }
    // An attempt without an order is stopped, or forgotten if it has ended: the replicated state
    // already has its end.
    for (const PlatformTask &task : status.tasks) {
        const bool ordered =
            std::any_of(orders.tasks.begin(), orders.tasks.end(), [&](const TaskOrder &order) {
                return order.task == task.task && order.attempt == task.attempt;
            });
        if (ordered)
            continue;
        if (task.state == PlatformTaskState::Running)
            result.actions.emplace_back(StopOnPlatform{task.task, task.attempt});
        else
            result.actions.emplace_back(ForgetOnPlatform{task.task, task.attempt});
    }
    // The leader no longer needs the end of an attempt that is not ordered any more.
    std::erase_if(m_ended, [&](const AttemptKey &key) {
        return std::none_of(orders.tasks.begin(), orders.tasks.end(), [&](const TaskOrder &order) {
            return order.task == key.task && order.attempt == key.attempt;
        });
    });
    return result;
}

void WorkerReconciler::reconcileAbsent(const TaskOrder &order, bool leaseHeld, Result &result)
{
    if (m_ended.contains({order.task, order.attempt})) {
        result.reports.push_back(reportOf(order, AttemptEvent::Stopped));
        return;
    }
    if (order.run) {
        if (leaseHeld)
            result.actions.emplace_back(StartOnPlatform{order});
        return;
    }
    // A start call may still be on its way. The end is certain only after the platform refuses the
    // attempt.
    result.actions.emplace_back(StopOnPlatform{order.task, order.attempt});
}

void WorkerReconciler::reconcilePresent(const TaskOrder &order, const PlatformTask &task,
                                        Result &result)
{
    ReportAttempt report = reportOf(order, AttemptEvent::Started);
    report.checkpoint = task.checkpoint;
    report.doneMs = task.doneMs;
    switch (task.state) {
    case PlatformTaskState::Running:
        if (!order.run)
            result.actions.emplace_back(StopOnPlatform{task.task, task.attempt});
        else if (task.speedPercent != order.speedPercent)
            result.actions.emplace_back(
                ThrottleOnPlatform{task.task, task.attempt, order.speedPercent});
        break;
    case PlatformTaskState::Completed:
        report.event = AttemptEvent::Completed;
        break;
    case PlatformTaskState::Failed:
        report.event = AttemptEvent::Failed;
        break;
    case PlatformTaskState::Stopped:
        report.event = AttemptEvent::Stopped;
        break;
    }
    result.reports.push_back(std::move(report));
}

} // namespace guavashift
