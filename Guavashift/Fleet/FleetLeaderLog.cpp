#include <Guavashift/Fleet/FleetLeader.h>

#include <cmath>

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

void FleetLeader::appendState(std::vector<LogField> &fields, const WaitState &state)
{
    const auto append = [&fields](std::initializer_list<LogField> more) {
        fields.insert(fields.end(), more.begin(), more.end());
    };
    std::visit(
        Overloaded{[&](const UntrackedState &) {
                       append({{"state", "untracked"}});
                   },
                   [&](const QueuedState &queued) {
                       append({{"state", "queued"},
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
                       append({{"state", "bound"},
                               {"run", bound.run},
                               {"worker", bound.worker},
                               {"committed", bound.committed},
                               {"listed", bound.listed},
                               {"report_age_ms", reportAge},
                               {"stop_requested", bound.stopRequested},
                               {"end_proposed", bound.endProposed}});
                   }},
        state);
}

void FleetLeader::reportLongRunningWaits(const LongRunningWaits &waits) const
{
    m_metrics.setLongRunningWaits(waits.count, waits.age);
    if (waits.count == 0)
        return;
    std::vector<LogField> fields{
        {"count", waits.count}, {"task", waits.oldest.text()}, {"age_ms", toMs(waits.age)}};
    appendState(fields, waits.state);
    logEvent(LogLevel::Info, "long-running-waits", fields);
}

void FleetLeader::reportIdleJobs(const IdleJobs &idle) const
{
    constexpr double percent = 100;
    m_metrics.setIdleJobs(idle.withCapacity);
    for (const IdleJob &each : idle.longest) {
        std::vector<LogField> fields{
            {"count", idle.count},
            {"with_capacity", idle.withCapacity},
            {"task", each.oldest.text()},
            {"age_ms", toMs(each.age)},
            {"queued", each.queued},
            {"bound", each.bound},
            {"fitting", each.fitting},
            {"reserved_percent", std::lround(each.reservedShare * percent)},
            {"unobserved", each.unobserved},
            {"best_speed_percent", std::lround(each.bestSpeed * percent)}};
        appendState(fields, each.state);
        logEvent(LogLevel::Info, "job-idle", fields);
    }
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
