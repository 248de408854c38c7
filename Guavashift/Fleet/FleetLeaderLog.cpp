#include <Guavashift/Fleet/FleetLeader.h>

namespace guavashift {

void FleetLeader::logCrash(const Session &session, const WorkerCrashed &crashed) const
{
    constexpr std::size_t maxNamed = 8;
    std::string recent;
    for (std::size_t i = 0; i < std::min(crashed.recentRuns.size(), maxNamed); ++i) {
        const TaskRun &each = crashed.recentRuns[i];
        recent += fmt::format("{}{}:{}", i == 0 ? "" : ",", each.task.text(), each.run);
    }
    logEvent(LogLevel::Info, "worker-crashed",
             {{"worker", crashed.lifetime.worker},
              {"node", session.node},
              {"proof", nameOf(proofOf(session, crashed.lifetime))},
              {"runs", m_dispatcher.runsOn(crashed.lifetime)},
              {"recent_count", crashed.recentRuns.size()},
              {"recent", recent}});
}

void FleetLeader::logBinding(const StartRun &start, const StageOutcome &outcome,
                             const std::optional<BindingTimes> &times, Instant now) const
{
    // The times of bindings that an earlier leader decided are not known.
    const std::string ready =
        times ? std::to_string(toMs(times->decidedAt - times->readyAt)) : "unknown";
    const std::string commit = times ? std::to_string(toMs(now - times->decidedAt)) : "unknown";
    logEvent(LogLevel::Info, "run-bound",
             {{"task", start.task.text()},
              {"run", start.run},
              {"worker", start.lifetime.worker},
              {"ready_ms", ready},
              {"commit_ms", commit},
              {"applied", outcome.applied},
              {"reason", outcome.reason}});
}

void FleetLeader::reportLongRunningWaits(const LongRunningWaits &waits) const
{
    m_metrics.setLongRunningWaits(waits.count, waits.age);
    if (waits.count == 0)
        return;
    constexpr std::string_view event = "long-running-waits";
    const LogField count{"count", waits.count};
    const LogField task{"task", waits.oldest.text()};
    const LogField age{"age_ms", toMs(waits.age)};
    std::visit(
        Overloaded{[&](const UntrackedState &) {
                       logEvent(LogLevel::Info, event, {count, task, age, {"state", "untracked"}});
                   },
                   [&](const QueuedState &queued) {
                       logEvent(LogLevel::Info, event,
                                {count,
                                 task,
                                 age,
                                 {"state", "queued"},
                                 {"eligible", queued.eligible},
                                 {"no_session", queued.excludedBy(Exclusion::NoSession)},
                                 {"no_lease", queued.excludedBy(Exclusion::NoLease)},
                                 {"unreachable", queued.excludedBy(Exclusion::Unreachable)},
                                 {"draining", queued.excludedBy(Exclusion::Draining)},
                                 {"evacuated", queued.excludedBy(Exclusion::Evacuated)},
                                 {"suspect", queued.excludedBy(Exclusion::Suspect)},
                                 {"other_service", queued.excludedBy(Exclusion::OtherService)},
                                 {"label", queued.excludedBy(Exclusion::Label)},
                                 {"spread_limit", queued.excludedBy(Exclusion::SpreadLimit)},
                                 {"cold", queued.excludedBy(Exclusion::Cold)},
                                 {"crash_suspect", queued.excludedBy(Exclusion::CrashSuspect)},
                                 {"awaits_trial", queued.awaitsTrial},
                                 {"capacity", queued.excludedBy(Exclusion::Capacity)},
                                 {"interference", queued.excludedBy(Exclusion::Interference)}});
                   },
                   [&](const BoundState &bound) {
                       const std::string reportAge =
                           bound.reportAge ? std::to_string(toMs(*bound.reportAge)) : "unknown";
                       logEvent(LogLevel::Info, event,
                                {count,
                                 task,
                                 age,
                                 {"state", "bound"},
                                 {"run", bound.run},
                                 {"worker", bound.worker},
                                 {"committed", bound.committed},
                                 {"listed", bound.listed},
                                 {"report_age_ms", reportAge},
                                 {"stop_requested", bound.stopRequested},
                                 {"end_proposed", bound.endProposed}});
                   }},
        waits.state);
}

void FleetLeader::logEvacuation(std::string_view event, std::string_view domain,
                                const StageOutcome &outcome) const
{
    const std::size_t evacuated = m_jobTable.evacuations().names().size();
    m_metrics.setEvacuatedDomains(evacuated);
    logEvent(LogLevel::Info, event,
             {{"domain", domain},
              {"applied", outcome.applied},
              {"reason", outcome.reason},
              {"evacuated", evacuated}});
}

void FleetLeader::reportNearWaits(const std::vector<NearWaitEnd> &ends) const
{
    for (const NearWaitEnd &each : ends) {
        m_metrics.nearWaitEnded(each.outcome);
        logEvent(LogLevel::Info, "near-wait-ended",
                 {{"task", each.task.text()},
                  {"outcome", nameOf(each.outcome)},
                  {"waited_ms", toMs(each.waited)},
                  {"saved_ms", toMs(each.saved)}});
    }
}

void FleetLeader::logAnswer(const FleetCall &call, const FleetAnswer &answer) const
{
    logEvent(LogLevel::Info, "call-answered",
             {{"request", call.request},
              {"kind", nameOf(call.kind)},
              {"path", call.path},
              {"result", nameOf(answer.result)},
              {"configuration", m_jobTable.queues().version()},
              {"reason", call.kind == CallKind::ReadConfiguration ? std::string() : answer.text}});
}

} // namespace guavashift
