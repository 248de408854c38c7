#include <Guavashift/Fleet/FleetLeader.h>

#include <Guavashift/Scheduling/Scheduling.h>

namespace guavashift {

namespace {

constexpr Duration directoryInterval = std::chrono::milliseconds(500);
/// Number of sessions in one term that get distinct fencing tokens.
constexpr std::uint64_t sessionsPerTerm = 1 << 16;

FleetAnswer unavailable(const FleetCall &call, std::string reason)
{
    // Callers return as soon as they may, but spread out.
    const std::int64_t seconds =
        RetryAdvice(RetryAdviceSettings()).seconds(call.path, Duration::zero(), Duration::zero());
    return {call.id, CallResult::Unavailable, std::move(reason), seconds};
}

std::string_view stateName(const StageJob &job, bool hasBegun)
{
    switch (job.status) {
    case StageJobStatus::Completed:
        return "completed";
    case StageJobStatus::Failed:
        return "failed";
    case StageJobStatus::Cancelled:
        return "cancelled";
    case StageJobStatus::Active:
        break;
    }
    return hasBegun ? "running" : "queued";
}

bool isJobId(std::string_view text)
{
    constexpr std::size_t maxCharacters = 128;
    return !text.empty() && text.size() <= maxCharacters
        && text.find_first_of("./ ") == std::string_view::npos;
}

} // namespace

FleetLeader::FleetLeader(const FleetSettings &fleet, const DispatchSettings &dispatch,
                         JobTable &jobTable, ReplicaDriver &driver, FleetMetrics &metrics)
    : m_fleet(fleet)
    , m_jobTable(jobTable)
    , m_driver(driver)
    , m_metrics(metrics)
    , m_dispatcher(dispatch, jobTable)
    , m_workerLease(dispatch.workerLease)
{
}

void FleetLeader::activate()
{
    m_active = true;
    m_sessionsOpened = 0;
    m_dispatcher.start(BootClock::now());
    logEvent(LogLevel::Info, "leading",
             {{"term", m_driver.term()},
              {"jobs", m_jobTable.jobs().size()},
              {"configuration", m_jobTable.queues().version()},
              {"evacuated", m_jobTable.evacuations().names().size()}});
    m_metrics.setEvacuatedDomains(m_jobTable.evacuations().names().size());
}

void FleetLeader::deactivate()
{
    if (!m_active)
        return;
    m_active = false;
    m_dispatcher.stop();
    m_proposedConfiguration.reset();
    m_metrics.setLongRunningWaits(0, Duration::zero());
    m_metrics.setIdleJobs(0);
    m_metrics.setEvacuatedDomains(0);
    m_metrics.setLoad(0);
    // This makes the nodes look for the new leader at once.
    for (const auto &[id, session] : m_sessions)
        session.send(LeaderReply{false, m_driver.leaderAddress()});
    m_sessions.clear();
    m_sessionOfNode.clear();
    logEvent(LogLevel::Info, "leading-ended");
}

void FleetLeader::openSession(SessionId id, const OpenSession &request, Send send)
{
    if (const auto before = m_sessionOfNode.find(request.node); before != m_sessionOfNode.end())
        sessionClosed(before->second);
    const std::uint64_t number = ++m_sessionsOpened;
    const std::uint64_t fence = (m_driver.term() * sessionsPerTerm + number) * fenceSpan;
    Session &session = m_sessions[id];
    session = {
        request.role, request.node, request.address, std::move(send), BootClock::now(), {}, {}};
    m_sessionOfNode[request.node] = id;
    session.send(SessionOpened{fence, toMs(m_workerLease)});
    session.send(m_directory);
    if (request.role == NodeRole::Gateway)
        session.send(CallerLimitsInForce{m_jobTable.queues().callerLimits()});
    logEvent(LogLevel::Info, "session-opened",
             {{"node", request.node}, {"fence", fence}, {"address", request.address}});
}

void FleetLeader::sessionClosed(SessionId id)
{
    const auto found = m_sessions.find(id);
    if (found == m_sessions.end())
        return;
    const Session session = std::move(found->second);
    m_sessions.erase(found);
    m_sessionOfNode.erase(session.node);
    if (session.role == NodeRole::Agent)
        m_dispatcher.nodeLost(session.node);
    logEvent(LogLevel::Info, "session-closed", {{"node", session.node}});
}

bool FleetLeader::receive(SessionId id, const FleetMessage &message)
{
    const auto found = m_sessions.find(id);
    // Reports of agents are accepted also during a short loss of the quorum: agents send some of
    // them only once per session, and every decision based on them needs a commit anyway.
    if (found == m_sessions.end() || !m_active)
        return false;
    if (const auto *call = std::get_if<FleetCall>(&message)) {
        handle(*call, [this, id](FleetAnswer answer) {
            const auto session = m_sessions.find(id);
            if (session != m_sessions.end())
                session->second.send(std::move(answer));
        });
    } else if (const auto *ended = std::get_if<RunsEnded>(&message)) {
        handleRunsEnded(id, *ended);
    } else {
        receiveFromAgent(found->second, message);
    }
    return true;
}

void FleetLeader::receiveFromAgent(Session &session, const FleetMessage &message)
{
    const Instant now = BootClock::now();
    std::visit(
        Overloaded{
            [&](const RenewLease &renew) {
                if (!m_driver.mayAnswer())
                    return;
                // An agent would pass on a lease that is recorded nowhere.
                if (m_dispatcher.leaseGranted(session.node, now))
                    session.send(LeaseGranted{renew.sentAt});
            },
            [&](const WorkerReport &report) {
                session.lifetime = report.facts.lifetime;
                m_dispatcher.workerReported(session.node, report.facts, now);
                logEvent(LogLevel::Info, "worker-reported",
                         {{"node", session.node},
                          {"worker", report.facts.lifetime.worker},
                          {"born", report.facts.lifetime.startedAt},
                          {"draining", report.facts.draining}});
            },
            [&](const Inventory &inventory) {
                m_dispatcher.inventoryReported(inventory.lifetime, inventory.rows,
                                               session.openedAt);
                session.send(KnownRuns{m_dispatcher.traitsOf(inventory.lifetime)});
            },
            [&](const RunTable &table) {
                m_dispatcher.runsReported(table.lifetime, table.rows, now);
            },
            [&](const InterferenceReport &report) {
                m_dispatcher.interferenceReported(report.rows);
            },
            [&](const StartRefused &refused) {
                m_dispatcher.startRefused(refused.lifetime, refused.task, refused.run, now);
                logEvent(LogLevel::Info, "start-refused",
                         {{"task", refused.task.text()},
                          {"run", refused.run},
                          {"worker", refused.lifetime.worker},
                          {"reason", refused.reason}});
            },
            [&](const OpenStarts &open) { m_dispatcher.startsOpen(open.lifetime, open.runs); },
            [&](const LateStarts &late) {
                m_dispatcher.startsMayArriveLate(late.lifetime, late.runs, late.namesAll);
            },
            [&](const EndProven &proven) { session.proven = proven; },
            [&](const LifetimeAnswered &answered) {
                m_dispatcher.lifetimeAnswered(session.node, answered.lifetime);
            },
            [&](const WorkerCrashed &crashed) {
                // An agent reports its last crash again in each session.
                if (m_dispatcher.runsOn(crashed.lifetime) == 0)
                    return;
                logCrash(session, crashed);
                handleEnd(session, crashed.lifetime, LifetimeEnd::Crashed, crashed.recentRuns);
            },
            [&](const LifetimeEnded &ended) {
                handleEnd(session, ended.lifetime,
                          ended.unreachable ? LifetimeEnd::Unreachable : LifetimeEnd::Left, {});
                logEvent(LogLevel::Info, "worker-ended",
                         {{"worker", ended.lifetime.worker},
                          {"born", ended.lifetime.startedAt},
                          {"proof", nameOf(proofOf(session, ended.lifetime))},
                          {"silent", ended.unreachable}});
            },
            [](const auto &) {}},
        message);
}

std::optional<LifetimeProof> FleetLeader::proofOf(const Session &session, const Lifetime &lifetime)
{
    if (!session.proven || session.proven->lifetime != lifetime)
        return std::nullopt;
    return session.proven->proof;
}

void FleetLeader::handleEnd(const Session &session, const Lifetime &lifetime, LifetimeEnd end,
                            std::span<const TaskRun> recentRuns)
{
    // Agents of earlier versions send no proof. They report a worker as unreachable only after its
    // lease, and do not report it again when it answers.
    auto proof = proofOf(session, lifetime);
    if (!proof && end == LifetimeEnd::Unreachable)
        proof = LifetimeProof::LeaseRanOut;
    if (proof)
        m_dispatcher.lifetimeEnded(lifetime, end, *proof, recentRuns);
    else
        m_dispatcher.lifetimeDoubted(lifetime);
}

void FleetLeader::handleRunsEnded(SessionId id, const RunsEnded &ended)
{
    std::uint64_t upTo = 0;
    for (const ListedEnd &each : ended.ends) {
        m_dispatcher.endReported(each.end);
        upTo = std::max(upTo, each.number);
    }
    // Decisions that follow from these ends are made once per round, not once per message.
    propose(m_dispatcher.takeCommands());
    // An empty proposal: its callback runs once everything proposed before it is committed.
    m_driver.propose({}, [this, id, lifetime = ended.lifetime, upTo](bool committed, auto) {
        const auto session = m_sessions.find(id);
        if (committed && session != m_sessions.end())
            session->second.send(EndsCommitted{lifetime, upTo});
    });
}

void FleetLeader::propose(const std::vector<StageCommand> &commands)
{
    if (commands.empty())
        return;
    m_driver.propose(commands, [this, commands](bool committed, auto) {
        if (committed || !m_active)
            return;
        for (const StageCommand &command : commands)
            m_dispatcher.proposalLost(command);
    });
}

void FleetLeader::applied(const StageCommand &command, const StageOutcome &outcome)
{
    if (!m_active)
        return;
    const Instant now = BootClock::now();
    std::optional<BindingTimes> times;
    // Read before applied(), since the dispatcher forgets a run that was not applied.
    if (const auto *start = std::get_if<StartRun>(&command))
        times = m_dispatcher.timesOf(*start);
    if (times && outcome.applied)
        m_metrics.bound(now - times->readyAt);
    m_dispatcher.applied(command, outcome, now);
    std::visit(Overloaded{[&](const StartRun &start) { logBinding(start, outcome, times, now); },
                          [&](const EndRun &end) {
                              logEvent(LogLevel::Info, "run-ended",
                                       {{"task", end.task.text()},
                                        {"run", end.run},
                                        {"end", nameOf(end.end)},
                                        {"crash", nameOf(end.evidence)},
                                        {"applied", outcome.applied}});
                          },
                          [&](const EvacuateDomain &evacuate) {
                              logEvacuation("domain-evacuated", evacuate.domain, outcome);
                          },
                          [&](const TakeBackDomain &takeBack) {
                              logEvacuation("domain-taken-back", takeBack.domain, outcome);
                          },
                          [](const auto &) {}},
               command);
}

void FleetLeader::endRound()
{
    if (!m_active)
        return;
    // Orders follow from commits and are sent at once. Sent later, they could reach a newer session
    // that has already settled these runs differently.
    flushOrders();
    const Instant now = BootClock::now();
    if (const auto waits = m_dispatcher.takeLongRunningWaits(now))
        reportLongRunningWaits(*waits);
    if (const auto idle = m_dispatcher.takeIdleJobs(now))
        reportIdleJobs(*idle);
    if (!m_driver.mayAnswer())
        return;
    propose(m_dispatcher.decide(now, wallNow(), [this] { m_driver.serveReplicasIfDue(); }));
    m_metrics.setLoad(m_dispatcher.overloadCounts().load);
    reportNearWaits(m_dispatcher.takeNearWaits());
    flushOrders();
    for (auto &[node, rows] : m_dispatcher.takeInterference(now)) {
        const auto session = m_sessionOfNode.find(node);
        if (session != m_sessionOfNode.end())
            m_sessions.at(session->second).send(InterferenceReport{std::move(rows)});
    }
    if (now >= m_nextDirectory) {
        m_nextDirectory = now + directoryInterval;
        sendDirectory();
        sendCallerLimits();
    }
}

void FleetLeader::flushOrders()
{
    for (auto &[node, order] : m_dispatcher.takeOrders()) {
        const auto session = m_sessionOfNode.find(node);
        if (session == m_sessionOfNode.end())
            continue;
        std::visit([&](auto &each) { m_sessions.at(session->second).send(std::move(each)); },
                   order);
    }
}

void FleetLeader::sendDirectory()
{
    Directory directory;
    directory.cores = m_driver.addresses();
    for (const auto &[id, session] : m_sessions) {
        if (session.role != NodeRole::Core)
            directory.relays.push_back(session.address);
    }
    if (directory == m_directory)
        return;
    m_directory = std::move(directory);
    for (const auto &[id, session] : m_sessions)
        session.send(m_directory);
}

void FleetLeader::sendCallerLimits()
{
    const CallerLimits &limits = m_jobTable.queues().callerLimits();
    if (limits == m_sentCallerLimits)
        return;
    m_sentCallerLimits = limits;
    for (const auto &[id, session] : m_sessions) {
        if (session.role == NodeRole::Gateway)
            session.send(CallerLimitsInForce{limits});
    }
}

void FleetLeader::handle(const FleetCall &call, const Answer &answer)
{
    const auto logged = [this, call, answer](FleetAnswer result) {
        result.id = call.id;
        m_metrics.answered(call.kind, result.result);
        logAnswer(call, result);
        answer(std::move(result));
    };
    if (!m_active || !m_driver.mayAnswer())
        return logged(unavailable(call, "this process does not lead"));
    if (call.kind == CallKind::ReplaceConfiguration)
        return replaceConfiguration(call, logged);
    // Nothing in a configuration bears on it, so the operator need not send one first.
    if (call.kind == CallKind::Evacuate || call.kind == CallKind::TakeBack)
        return changeEvacuation(call, logged);
    if (m_jobTable.document().empty())
        return logged(unavailable(call, "there is no configuration yet"));
    if (call.kind == CallKind::ReadConfiguration)
        return logged({call.id, CallResult::Document, m_jobTable.document(), 0});
    const std::optional<QueueMatch> match = m_jobTable.queues().match(call.host, call.path);
    if (!match)
        return logged({call.id, CallResult::NoQueue, {}, 0});
    if (call.kind == CallKind::Submit)
        return submit(call, *match, logged);
    if (call.kind == CallKind::Cancel)
        return cancel(call, match->remainder, logged);
    if (match->remainder.empty())
        return logged({call.id,
                       CallResult::Pending,
                       {},
                       static_cast<std::int64_t>(m_dispatcher.waitingIn(match->queue->name))});
    logged(stateOf(call, match->remainder));
}

void FleetLeader::submit(const FleetCall &call, const QueueMatch &match, const Answer &answer)
{
    const std::string job(match.remainder);
    if (!isJobId(job) || !call.plan)
        return answer({call.id, CallResult::Invalid, "no job id or no job", 0});
    if (const Findings findings = call.plan->check(); !findings.empty())
        return answer({call.id, CallResult::Invalid, describe(findings), 0});
    // A request that is sent again for an accepted job gets the same answer as the first.
    if (m_jobTable.find(job) != nullptr)
        return answer({call.id, CallResult::Done, {}, 0});
    if (!m_proposedJobs.contains(job)) {
        const auto refusal =
            m_dispatcher.refusalOf(job, *match.queue, *call.plan, BootClock::now(), wallNow());
        if (refusal)
            return answer(
                {call.id, CallResult::Unavailable, refusal->reason, refusal->retryAfterSeconds});
    }
    m_proposedJobs.insert(job);
    m_driver.propose({AcceptJob{job, match.queue->name, *call.plan}},
                     [this, answer, id = call.id, job](bool committed, auto) {
                         if (const auto found = m_proposedJobs.find(job);
                             found != m_proposedJobs.end())
                             m_proposedJobs.erase(found);
                         if (!committed)
                             return answer({id, CallResult::Unknown, "leadership was lost", 0});
                         // A configuration that removes the queue may have been committed first.
                         const bool isKnown = m_jobTable.find(job) != nullptr;
                         answer({id, isKnown ? CallResult::Done : CallResult::NoQueue, {}, 0});
                     });
}

void FleetLeader::cancel(const FleetCall &call, std::string_view job, const Answer &answer)
{
    if (!isJobId(job))
        return answer({call.id, CallResult::NoJob, {}, 0});
    // Also for a job that is not known: its submission may be proposed already, or still on its
    // way.
    m_driver.propose({CancelJob{std::string(job)}},
                     [this, answer, id = call.id, job = std::string(job)](bool committed, auto) {
                         if (!committed)
                             return answer({id, CallResult::Unknown, "leadership was lost", 0});
                         const bool isKnown = m_jobTable.find(job) != nullptr;
                         answer({id, isKnown ? CallResult::Done : CallResult::NoJob, {}, 0});
                     });
}

void FleetLeader::replaceConfiguration(const FleetCall &call, const Answer &answer)
{
    // handle() has checked the leader lease, so this document is the newest that is committed.
    if (!call.document.empty() && call.document == m_jobTable.document())
        return answer({call.id, CallResult::Done, {}, 0});
    if (m_proposedConfiguration && call.document == m_proposedConfiguration->document)
        return m_proposedConfiguration->answers.push_back(answer);
    const auto proposed =
        std::make_shared<ProposedConfiguration>(ProposedConfiguration{call.document, {answer}});
    m_proposedConfiguration = proposed;
    m_driver.propose({ReplaceConfiguration{call.document}},
                     [this, proposed, id = call.id](bool committed, auto) {
                         // Another document may have been proposed since.
                         if (m_proposedConfiguration == proposed)
                             m_proposedConfiguration.reset();
                         for (const Answer &each : std::exchange(proposed->answers, {}))
                             each({id, committed ? CallResult::Done : CallResult::Unknown, {}, 0});
                     });
}

void FleetLeader::changeEvacuation(const FleetCall &call, const Answer &answer)
{
    const std::string &domain = call.document;
    if (!EvacuatedDomains::isName(domain))
        return answer({call.id, CallResult::Invalid, "no name of a failure domain", 0});
    const bool evacuates = call.kind == CallKind::Evacuate;
    const StageCommand command =
        evacuates ? StageCommand(EvacuateDomain{domain}) : StageCommand(TakeBackDomain{domain});
    // Proposed also if it would change nothing now: an opposite call may be proposed before it.
    m_driver.propose(
        {command}, [this, answer, id = call.id, domain, evacuates](bool committed, auto) {
            if (!committed)
                return answer({id, CallResult::Unknown, "leadership was lost", 0});
            const EvacuatedDomains &evacuated = m_jobTable.evacuations();
            if (evacuates && evacuated.isFull() && !evacuated.contains(domain))
                return answer({id, CallResult::Invalid, "too many domains are evacuated", 0});
            answer({id, CallResult::Done, {}, 0});
        });
}

FleetAnswer FleetLeader::stateOf(const FleetCall &call, std::string_view job) const
{
    const StageJob *found = m_jobTable.find(job);
    if (found == nullptr)
        return {call.id, CallResult::NoJob, {}, 0};
    return {call.id, CallResult::State,
            std::string(stateName(*found, m_dispatcher.hasBegun(job, *found))), 0};
}

} // namespace guavashift
