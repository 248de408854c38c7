#include <Guavashift/Fleet/AgentNode.h>

#include <array>

namespace guavashift {

namespace {

constexpr std::array<std::string_view, 12> resultNames{
    "done",      "fenced-off", "too-old",        "too-late",           "no-room",  "no-approval",
    "unhealthy", "wrong",      "other-lifetime", "connection-refused", "not-sent", "no-answer"};

/// Whether the worker has answered a poll, be it that another session has sent a higher token.
bool isAnswered(WorkerCallResult result)
{
    return result == WorkerCallResult::Done || result == WorkerCallResult::FencedOff;
}

} // namespace

std::string_view nameOf(WorkerCallResult result)
{
    return resultNames.at(static_cast<std::size_t>(result));
}

AgentNode::AgentNode(EventLoop &loop, const AgentNodeSettings &agent, const FleetSettings &settings,
                     const ChannelSettings &channel, WorkerPort &port, FleetMetrics &metrics,
                     std::uint64_t seed)
    : m_loop(loop)
    , m_agent(agent)
    , m_settings(settings)
    , m_port(port)
    , m_metrics(metrics)
    , m_rounds(loop, {}, metrics)
    , m_link(loop, {channel}, settings, NodeRole::Agent,
             {[this](const SessionOpened &session) { opened(session); }, [this] { lost(); },
              [this](const FleetMessage &message) { received(message); }},
             seed)
    , m_relay(loop, channel,
              [this](const std::string &address) {
                  const std::vector<std::string> &cores = m_link.directory().cores;
                  return std::find(cores.begin(), cores.end(), address) != cores.end();
              })
    , m_verifier(loop, {}, port,
                 {[this] { return fence(); },
                  [this](std::string_view worker) {
                      return m_facts && m_facts->lifetime.worker == worker;
                  },
                  [this](const ReportedWorker &report) { lifetimeFound(report); },
                  [this](std::uint64_t refused) {
                      // A new session gets a higher token.
                      if (m_link.isOpen() && refused == fence())
                          m_link.renew("fenced off by the worker");
                  }})
    , m_lease(settings.bounds.maxWorkerLease, BootClock::now())
    , m_acknowledgements(agent.longestCallDelay)
{
}

Result<void> AgentNode::start()
{
    m_link.setEnabled(true);
    renewRegularly();
    sendTable();
    return m_relay.open(m_settings.channelAddress());
}

bool AgentNode::isCurrent(const Lifetime &lifetime) const
{
    return m_facts && m_facts->lifetime == lifetime;
}

// Messages from and to the leader.

void AgentNode::opened(const SessionOpened &session)
{
    m_sessionFence = session.fence;
    m_fenceStep = 0;
    m_leaseLength = std::chrono::milliseconds(session.leaseMs);
    m_inventoryDue = true;
    m_inventoryFence = fence();
    m_namedAllStarts = true;
    m_barrier.sessionOpened();
    for (const RunsEnded &ended : m_uncommittedEnds.messages())
        m_link.send(ended);
    // If it was found unreachable without a session, the leader was not informed. It is found
    // again if that still holds.
    m_unreachable = false;
    if (m_lastOpenStarts)
        m_link.send(*m_lastOpenStarts);
    if (m_lastCrash) {
        m_link.send(EndProven{m_lastCrash->lifetime, m_lastCrashProof});
        m_link.send(*m_lastCrash);
    }
    if (m_facts) {
        sendFacts();
        if (!m_connections.staysOpen())
            announceLateStarts(BootClock::now());
    }
    // A new leader has not learned any interference yet.
    m_link.send(InterferenceReport{m_throttler.learned()});
    renewLease();
    poll(Duration::zero());
}

void AgentNode::lost()
{
    m_inventoryDue = false;
    // The next leader finds that they do not run.
    std::erase_if(m_runs, [](const auto &each) { return each.second.unsent.has_value(); });
}

void AgentNode::renewLease()
{
    // The leader records the lease on the lifetime that it was told of before.
    if (m_facts)
        m_link.send(RenewLease{BootClock::now().time_since_epoch().count()});
}

void AgentNode::renewRegularly()
{
    renewLease();
    m_loop.after(m_agent.renewInterval, [this] { renewRegularly(); });
}

void AgentNode::received(const FleetMessage &message)
{
    std::visit(
        Overloaded{[this](const LeaseGranted &granted) { leaseGranted(granted); },
                   [this](const StartOrder &order) { startRun(order); },
                   [this](const StopOrder &order) { stopRun(order); },
                   [this](const EndsCommitted &committed) { endsCommitted(committed); },
                   [this](const InterferenceReport &report) { m_throttler.learn(report.rows); },
                   [this](const KnownRuns &known) {
                       m_barrier.inventoryAnswered();
                       for (const RunTraits &traits : known.runs) {
                           const auto run = m_runs.find({traits.task, traits.run});
                           if (run != m_runs.end())
                               run->second.traits = traits;
                       }
                   },
                   [](const auto &) {}},
        message);
}

void AgentNode::leaseGranted(const LeaseGranted &granted)
{
    const Instant sentAt{Duration(granted.sentAt)};
    // A lease that was asked for earlier is that of another lifetime.
    if (m_facts && sentAt >= m_foundAt)
        m_lease.granted(sentAt + m_leaseLength);
}

void AgentNode::endsCommitted(const EndsCommitted &committed)
{
    m_uncommittedEnds.committed(committed.lifetime, committed.upTo);
    if (!isCurrent(committed.lifetime) || committed.upTo <= m_acknowledgements.committedUpTo())
        return;
    m_acknowledgements.committed(committed.upTo);
    const Instant now = BootClock::now();
    while (!m_listedAt.empty() && m_listedAt.begin()->first <= committed.upTo) {
        m_metrics.endCommitted(now - m_listedAt.begin()->second);
        m_listedAt.erase(m_listedAt.begin());
    }
    // The worker answers an open poll at once, and the next one follows without a pause.
    if (m_openPolls > 0)
        return;
    if (m_pollTimer != 0)
        m_loop.cancel(std::exchange(m_pollTimer, 0));
    schedulePoll(Duration::zero());
}

void AgentNode::sendTable()
{
    if (m_link.isOpen() && m_facts && !m_inventoryDue && !m_unreachable) {
        RunTable table{m_facts->lifetime, {}};
        for (const auto &[key, run] : m_runs) {
            // A run that was only told to stop may not be there.
            if (run.stage != Stage::Running || run.seenAt == Instant())
                continue;
            table.rows.push_back(run.row);
            if (run.traits.tailTargetMs > 0)
                table.rows.back().measurement = run.tail.tailMs().value_or(0);
        }
        m_link.send(table);
        logLoad();
    }
    m_loop.after(m_agent.tableInterval, [this] { sendTable(); });
}

// The worker's reports about itself.

void AgentNode::workerReported(const ReportedWorker &report, ReportCallback answered)
{
    if (!isCurrent(report.facts.lifetime))
        return m_verifier.verify(report, std::move(answered));
    presentReported(report);
    answered(ReportAnswer::Taken);
}

void AgentNode::presentReported(const ReportedWorker &report)
{
    if (report.sequence <= m_sequence)
        return;
    m_sequence = report.sequence;
    WorkerFacts facts = report.facts;
    applyGoodbye(facts);
    applyHiddenEnds(facts);
    if (*m_facts == facts)
        return;
    const bool drains = facts.draining && !m_facts->draining;
    m_facts = std::move(facts);
    if (drains)
        logEvent(LogLevel::Info, "worker-drains", {{"worker", m_facts->lifetime.worker}});
    sendFacts();
}

void AgentNode::sendFacts()
{
    m_link.send(LifetimeAnswered{m_facts->lifetime});
    m_link.send(WorkerReport{*m_facts});
}

void AgentNode::lifetimeFound(const ReportedWorker &report)
{
    const Lifetime &lifetime = report.facts.lifetime;
    if (m_facts)
        endLostLifetime(m_facts->lifetime.worker == lifetime.worker
                            ? LifetimeProof::AnsweredByNext
                            : LifetimeProof::AnsweredByAnother);
    m_sequence = report.sequence;
    m_goodbyeAt.reset();
    // Polls of an earlier lifetime may still be open. Only those of this one keep the next poll
    // waiting.
    ++m_pollEpoch;
    m_openPolls = 0;
    m_openProbes = 0;
    m_isIdentifying = false;
    m_connections.lifetimeChanged();
    m_verifier.presentChanged();
    m_acknowledgements.lifetimeFound(lifetime);
    m_takesEarlierCalls = true;
    m_facts = report.facts;
    applyHiddenEnds(*m_facts);
    // Of the first lifetime, and of one that is found again, ends were acknowledged before.
    m_readsAllEnds = m_lastFound && m_lastFound != lifetime;
    m_lastFound = lifetime;
    m_foundAt = BootClock::now();
    m_listedUpTo = 0;
    m_listedAt.clear();
    m_endedAt.clear();
    // The worker may have restarted under its name. With a higher token, this lifetime refuses all
    // calls that were meant for the one before it.
    recallLifetime();
    raiseFence();
    m_inventoryDue = m_link.isOpen();
    m_inventoryFence = fence();
    m_namedAllStarts = true;
    m_unreachable = false;
    logEvent(LogLevel::Info, "worker-found",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"address", report.address},
              {"service", m_facts->service},
              {"sequence", report.sequence},
              {"milli_cores", m_facts->capacity.milliCores}});
    if (const std::uint64_t hidden = m_acknowledgements.hiddenUpTo(lifetime); hidden > 0)
        logEvent(LogLevel::Warning, "lifetime-unused",
                 {{"worker", lifetime.worker},
                  {"born", lifetime.startedAt},
                  {"may_hide_up_to", hidden}});
    sendFacts();
    renewLease();
    poll(Duration::zero());
}

void AgentNode::recallLifetime()
{
    const Lifetime &lifetime = m_facts->lifetime;
    // Repeated to the next leader, the report would settle runs that were bound since.
    if (m_lastCrash && m_lastCrash->lifetime == lifetime)
        m_lastCrash.reset();
    if (!m_lastOpenStarts || m_lastOpenStarts->lifetime != lifetime)
        return;
    // The leader waits for their outcome, which the next poll with a higher token shows.
    for (const TaskRun &open : m_lastOpenStarts->runs) {
        Run &run = m_runs[{open.task, open.run}];
        run.traits.task = open.task;
        run.traits.run = open.run;
        run.stage = Stage::Unconfirmed;
        run.fence = fence();
    }
    m_lastOpenStarts.reset();
}

ReportAnswer AgentNode::workerStopping(const std::string &worker)
{
    if (!m_facts || m_facts->lifetime.worker != worker)
        return ReportAnswer::NotOurs;
    logEvent(LogLevel::Info, "worker-leaves",
             {{"worker", worker}, {"born", m_facts->lifetime.startedAt}, {"runs", m_runs.size()}});
    // Without an acknowledgement the worker goes on for some seconds. Polls show when it is gone.
    m_goodbyeAt = BootClock::now();
    if (!std::exchange(m_facts->draining, true))
        sendFacts();
    return ReportAnswer::Taken;
}

void AgentNode::applyGoodbye(WorkerFacts &facts)
{
    if (!m_goodbyeAt)
        return;
    if (!facts.draining && BootClock::now() - *m_goodbyeAt > m_agent.goodbyeValidity)
        m_goodbyeAt.reset();
    else
        facts.draining = true;
}

void AgentNode::applyHiddenEnds(WorkerFacts &facts) const
{
    if (m_acknowledgements.hiddenUpTo(facts.lifetime) > 0)
        facts.draining = true;
}

void AgentNode::endLostLifetime(LifetimeProof proof)
{
    endLifetime(m_facts->draining ? LifetimeEnd::Left : LifetimeEnd::Crashed, proof);
}

std::vector<TaskRun> AgentNode::openStarts() const
{
    std::vector<TaskRun> open;
    for (const auto &[key, run] : m_runs) {
        if (run.stage != Stage::Running && !run.unsent)
            open.push_back({key.first, key.second});
    }
    return open;
}

std::vector<TaskRun> AgentNode::recentRuns() const
{
    const Instant crashedAt = m_pollsFailSince.value_or(BootClock::now());
    // A start without an answer may never have been carried out.
    const auto isRecent = [&](const Run &run) {
        return run.stage == Stage::Running && run.startSentAt != Instant()
            && crashedAt - run.startSentAt <= m_agent.crashProbation;
    };
    Instant last;
    for (const auto &[key, run] : m_runs) {
        if (isRecent(run))
            last = std::max(last, run.startSentAt);
    }
    std::vector<TaskRun> recent;
    for (const auto &[key, run] : m_runs) {
        if (isRecent(run) && last - run.startSentAt <= m_agent.crashWindow)
            recent.push_back({key.first, key.second});
    }
    return recent;
}

void AgentNode::endLifetime(LifetimeEnd end, LifetimeProof proof)
{
    const Lifetime lifetime = m_facts->lifetime;
    const std::size_t runs = m_runs.size();
    const std::vector<TaskRun> recent =
        end == LifetimeEnd::Crashed ? recentRuns() : std::vector<TaskRun>();
    // The lease in a start that reaches this lifetime after it was unreachable has expired. By the
    // clock of the next one it may not have.
    if (end == LifetimeEnd::Unreachable)
        std::erase_if(m_runs, [this](const auto &each) { return !mayWorkInNext(each.second); });
    const std::vector<TaskRun> open = openStarts();
    logEvent(LogLevel::Info, "lifetime-ended",
             {{"worker", lifetime.worker},
              {"born", lifetime.startedAt},
              {"end", nameOf(end)},
              {"proof", nameOf(proof)},
              {"runs", runs},
              {"recent_runs", recent.size()},
              {"open_starts", open.size()}});
    // A crash without such runs must not replace one with some.
    if (!recent.empty())
        m_lastCrash = WorkerCrashed{lifetime, recent}, m_lastCrashProof = proof;
    m_link.send(EndProven{lifetime, proof});
    if (!open.empty()) {
        m_link.send(OpenStarts{lifetime, open});
        // An unreachable worker's are sent again when its end is.
        if (end != LifetimeEnd::Unreachable)
            m_lastOpenStarts = OpenStarts{lifetime, open};
    }
    if (end == LifetimeEnd::Crashed)
        m_link.send(WorkerCrashed{lifetime, recent});
    m_link.send(LifetimeEnded{lifetime, end == LifetimeEnd::Unreachable});
    m_barrier.lifetimeEnded(lifetime);
    if (end != LifetimeEnd::Unreachable) {
        m_runs.clear();
        m_facts.reset();
        m_lease.workerChanged(BootClock::now());
    }
}

// Polling the worker.

void AgentNode::schedulePoll(Duration delay)
{
    if (m_pollTimer != 0)
        return;
    m_pollTimer = m_loop.after(delay, [this] {
        m_pollTimer = 0;
        const bool throttles = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &each) {
            return each.second.traits.bestEffort;
        });
        const Duration wait = throttles ? m_agent.throttledPollWait : m_agent.pollWait;
        poll(m_pollsFailSince ? Duration::zero() : wait);
    });
}

void AgentNode::poll(Duration wait)
{
    // Best-effort tasks are throttled between two sessions too, under the fencing token and lease
    // of the first one.
    if (!m_facts || m_sessionFence == 0)
        return;
    if (!m_connections.isKnown())
        return identify();
    PollRequest request;
    request.untilMs = leaseToSend(BootClock::now());
    request.wait = wait;
    request.connections = m_connections.allowed();
    if (m_acknowledgements.isDue()) {
        // On any connection, the acknowledgement follows the answer.
        if (request.connections)
            request.seenUpTo = m_acknowledgements.committedUpTo();
        else
            request.wait = Duration::zero();
    }
    // The leader keeps runs bound until it is known whether connections stay open.
    if (!m_namedAllStarts && m_connections.staysOpen() && !m_connections.isKnownToStayOpen())
        request.wait = Duration::zero();
    sendPoll(std::move(request));
}

std::int64_t AgentNode::leaseToSend(Instant now)
{
    // A failed poll may have been carried out. Extending the lease with each of them would put off
    // the time after which nothing runs on the worker, and with it the end of its runs, for ever.
    // A worker that has said goodbye, or that refuses connections, will probably not answer again.
    const bool mayArrive = !m_goodbyeAt && m_lastPollResult != WorkerCallResult::ConnectionRefused;
    const bool extends =
        !m_pollsFailSince || (mayArrive && now - *m_pollsFailSince < m_agent.failedPollGrace);
    return extends ? m_lease.untilMs(now, suspendedTime(), longestExtension()) : 0;
}

bool AgentNode::acknowledge(Instant sent)
{
    const Instant now = BootClock::now();
    if (m_connections.allowed() || !m_acknowledgements.isDue() || m_acknowledgements.isOpen()
        || now - sent > m_agent.acknowledgeWithin)
        return false;
    PollRequest request;
    request.seenUpTo = m_acknowledgements.committedUpTo();
    request.untilMs = leaseToSend(now);
    sendPoll(std::move(request));
    return true;
}

Duration AgentNode::longestExtension() const
{
    return m_facts->draining ? m_leaseLength / 2 : m_leaseLength;
}

void AgentNode::identify()
{
    if (std::exchange(m_isIdentifying, true))
        return;
    sendPoll({});
}

void AgentNode::sendPoll(PollRequest request)
{
    request.worker = m_facts->lifetime.worker;
    request.fence = fence();
    ++m_openPolls;
    m_metrics.polled();
    const Instant now = BootClock::now();
    std::optional<EndAcknowledgements::Id> acknowledgement;
    if (!request.connections && request.seenUpTo > 0)
        acknowledgement = m_acknowledgements.sent(m_facts->lifetime, request.seenUpTo, now);
    m_port.poll(request,
                [this, request, now, epoch = m_pollEpoch, lifetime = m_facts->lifetime,
                 acknowledgement](const WorkerReply &reply) {
                    if (acknowledgement)
                        m_acknowledgements.returned(*acknowledgement,
                                                    settlesAcknowledgement(lifetime, reply));
                    // The answer to a poll of an earlier lifetime says nothing about this one.
                    if (epoch != m_pollEpoch)
                        return;
                    --m_openPolls;
                    if (!request.connections)
                        m_isIdentifying = false;
                    if (reply.result == WorkerCallResult::NotSent)
                        return pollNotSent();
                    if (request.connections)
                        m_connections.callSent();
                    handlePollReply(request, now, reply);
                });
}

bool AgentNode::settlesAcknowledgement(const Lifetime &lifetime, const WorkerReply &reply) const
{
    switch (reply.result) {
    case WorkerCallResult::Done:
        return reply.born == lifetime.startedAt
            || (isCurrent(lifetime) && !mayBeFromOther(lifetime, reply));
    case WorkerCallResult::FencedOff:
    case WorkerCallResult::OtherLifetime:
    case WorkerCallResult::ConnectionRefused:
    case WorkerCallResult::NotSent:
    case WorkerCallResult::Unhealthy:
    case WorkerCallResult::Wrong:
        return true;
    default:
        return false;
    }
}

void AgentNode::pollNotSent()
{
    if (!m_facts)
        return;
    // An open call may hold the only connection.
    const bool startsAreOpen = std::any_of(m_runs.begin(), m_runs.end(), [](const auto &each) {
        return each.second.stage == Stage::Starting && !each.second.unsent;
    });
    if (m_openPolls == 0 && !startsAreOpen)
        countNotSent();
    identify();
}

void AgentNode::countNotSent()
{
    const bool stayedOpen = m_connections.staysOpen();
    m_connections.callNotSent();
    if (!stayedOpen || m_connections.staysOpen())
        return;
    logEvent(LogLevel::Warning, "connections-closed",
             {{"worker", m_facts->lifetime.worker}, {"born", m_facts->lifetime.startedAt}});
    announceLateStarts(BootClock::now());
    m_inventoryDue = m_link.isOpen();
}

void AgentNode::handlePollReply(const PollRequest &request, Instant sent, const WorkerReply &reply)
{
    const Instant now = BootClock::now();
    if (!m_facts || m_facts->lifetime.worker != request.worker)
        return;
    m_answersPolls = reply.result != WorkerCallResult::NoAnswer
        && reply.result != WorkerCallResult::ConnectionRefused;
    const bool succeeds = isAnswered(reply.result);
    if (succeeds == m_pollsFailSince.has_value() || (!succeeds && reply.result != m_lastPollResult))
        logPollChange(reply, now);
    if (succeeds)
        m_pollsFailSince.reset();
    else if (!m_pollsFailSince)
        m_pollsFailSince = now;
    m_lastPollResult = reply.result;
    if (const auto proof = proofOfEnd(reply, m_facts->lifetime))
        return endLostLifetime(*proof);
    switch (reply.result) {
    case WorkerCallResult::Done:
        break;
    case WorkerCallResult::FencedOff:
        // Another session has sent a higher token to the worker. A new session gets a higher one.
        if (request.fence == fence())
            m_link.renew("fenced off by the worker");
        else if (m_openPolls == 0)
            schedulePoll(m_agent.retryPause);
        return;
    default:
        // The failure of another poll may be that of one connection only.
        if (!request.connections)
            refuseUnsentStarts("no answer");
        if (m_unreachable)
            dropOverdueStarts();
        // Once the lease has expired without an answer, nothing runs on the worker any more. Before
        // that, a refused connection does not show that its program has ended: it may work on
        // behind a path that refuses connections.
        if (now > m_lease.latestEnd() && !m_unreachable) {
            // A crash counts against the runs, so a refused connection does not show one.
            if (reply.result == WorkerCallResult::ConnectionRefused && m_facts->draining)
                return endLostLifetime(LifetimeProof::LeaseRanOut);
            m_unreachable = true;
            endLifetime(LifetimeEnd::Unreachable, LifetimeProof::LeaseRanOut);
        }
        // The first failure may be that of one connection only.
        if (m_openPolls == 0)
            schedulePoll(m_pollsFailSince == now ? Duration::zero() : m_agent.retryPause);
        return;
    }
    if (m_unreachable) {
        m_unreachable = false;
        m_inventoryDue = true;
    }
    const bool isFromPresent = !mayBeFromOther(m_facts->lifetime, reply);
    if (isFromPresent) {
        m_connections.answered(reply.connection);
        m_acknowledgements.carriedOut(request.seenUpTo);
        m_acknowledgements.lifetimeAnswered(m_facts->lifetime, sent);
    }
    m_lease.observe(reply.clockMs, sent, now, suspendedTime());
    processEnds(reply);
    processRunning(request, sent, reply);
    sendUnsentStart();
    applyThrottling();
    // A poll that finds out who answers follows on a new lifetime and on broken connections.
    if (!request.connections && m_connections.staysOpen())
        openConnections();
    if (isFromPresent && acknowledge(sent))
        return;
    if (m_openPolls == 0)
        schedulePoll(pauseAfterPoll(isFromPresent));
}

void AgentNode::logPollChange(const WorkerReply &reply, Instant now) const
{
    logEvent(LogLevel::Info, isAnswered(reply.result) ? "polls-answered" : "polls-fail",
             {{"worker", m_facts->lifetime.worker},
              {"born", m_facts->lifetime.startedAt},
              {"result", nameOf(reply.result)},
              {"reply_born", reply.born},
              {"failed_ms", toMs(now - m_pollsFailSince.value_or(now))},
              {"lease_left_ms", toMs(m_lease.latestEnd() - now)},
              {"unreachable", m_unreachable}});
}

Duration AgentNode::pauseAfterPoll(bool isFromPresent) const
{
    // The worker answers at once while it lists ends: another poll would return the same.
    const bool mayAcknowledge = isFromPresent && m_acknowledgements.isDue();
    const bool onlyWaits = m_listedUpTo > m_acknowledgements.committedUpTo() && !mayAcknowledge;
    return onlyWaits ? m_agent.commitWait : Duration::zero();
}

void AgentNode::logHiddenEnds(const WorkerReply &reply) const
{
    if (!m_readsAllEnds || m_listedUpTo > 0 || reply.ended.empty())
        return;
    const auto first = std::min_element(
        reply.ended.begin(), reply.ended.end(),
        [](const ListedEnd &left, const ListedEnd &right) { return left.number < right.number; });
    if (first->number > 1)
        logEvent(LogLevel::Warning, "ends-hidden",
                 {{"worker", m_facts->lifetime.worker},
                  {"born", m_facts->lifetime.startedAt},
                  {"first_listed", first->number}});
}

void AgentNode::processEnds(const WorkerReply &reply)
{
    const Instant now = BootClock::now();
    std::erase_if(m_endedAt,
                  [&](const auto &each) { return now - each.second > m_agent.longestAnswerDelay; });
    logHiddenEnds(reply);
    RunsEnded ended{m_facts->lifetime, {}};
    for (const ListedEnd &each : reply.ended) {
        m_runs.erase({each.end.task, each.end.run});
        m_endedAt[{each.end.task, each.end.run}] = now;
        if (each.number <= m_listedUpTo)
            continue;
        m_listedUpTo = each.number;
        m_listedAt.try_emplace(each.number, now);
        m_uncommittedEnds.add(m_facts->lifetime, each);
        ended.ends.push_back(each);
        logEvent(
            LogLevel::Info, "run-listed",
            {{"task", each.end.task.text()}, {"run", each.end.run}, {"end", nameOf(each.end.end)}});
    }
    if (!ended.ends.empty())
        m_link.send(ended);
}

void AgentNode::processRunning(const PollRequest &request, Instant sent, const WorkerReply &reply)
{
    std::set<RunKey> running;
    for (const RunStatus &row : reply.running) {
        const RunKey key{row.task, row.run};
        running.insert(key);
        // An answer that another one overtook lists runs whose end is known.
        if (m_endedAt.contains(key))
            continue;
        const auto [position, added] = m_runs.try_emplace(key);
        Run &run = position->second;
        if (added)
            run.traits.task = row.task, run.traits.run = row.run;
        run.stage = Stage::Running;
        run.row = row;
        if (run.traits.tailTargetMs > 0)
            run.tail.update(row.measurement, BootClock::now());
        // A poll that waits lists what runs when it is answered.
        run.seenAt = BootClock::now();
    }
    // Until all ends are listed, a run that is in neither list may have ended.
    if (!reply.listsAllEnds)
        return;
    resolveUnconfirmed(request, sent, running);
    // processEnds() has removed the runs with a listed end. A run that a poll sent after an
    // answered stop does not list never ran.
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        const auto current = at++;
        const Run &run = current->second;
        if (running.contains(current->first))
            continue;
        if (run.stopAnswered && sent > run.stopSentAt && !mayArriveAfter(run, sent))
            drop(current->first, "stopped before it ran");
        else if (run.stage == Stage::Running && !run.stopWanted && sent > run.seenAt)
            forgetVanished(current->first);
    }
    if (!m_namedAllStarts && knowsAllStarts(sent))
        m_inventoryDue = m_link.isOpen();
    if (m_inventoryDue && request.fence >= m_inventoryFence) {
        m_inventoryDue = false;
        announceLateStarts(sent);
        // From now on the lifetime refuses calls for an earlier one.
        if (std::exchange(m_takesEarlierCalls, false))
            m_lease.assumeLongestLease(BootClock::now());
        m_link.send(Inventory{m_facts->lifetime, reply.running});
        m_barrier.inventorySent(m_facts->lifetime);
        logEvent(LogLevel::Info, "inventory-sent",
                 {{"worker", m_facts->lifetime.worker},
                  {"born", m_facts->lifetime.startedAt},
                  {"fence", request.fence},
                  {"runs", reply.running.size()}});
    }
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): the element of the key is erased.
void AgentNode::forgetVanished(RunKey key)
{
    m_runs.erase(key);
    logEvent(LogLevel::Warning, "run-vanished",
             {{"task", key.first.text()},
              {"run", key.second},
              {"worker", m_facts->lifetime.worker},
              {"born", m_facts->lifetime.startedAt}});
}

bool AgentNode::mayArriveAfter(const Run &run, Instant time)
{
    return run.stage != Stage::Running && !run.unsent && time < run.mayArriveUntil;
}

bool AgentNode::mayWorkInNext(const Run &run) const
{
    // Worker clocks may be 2 % slow.
    const Duration longestLease = m_settings.bounds.maxWorkerLease * 100 / 98;
    return mayArriveAfter(run, BootClock::now() - longestLease);
}

bool AgentNode::knowsAllStarts(Instant time) const
{
    return m_connections.isKnownToStayOpen() || time > m_createdAt + m_agent.longestCallDelay;
}

void AgentNode::announceLateStarts(Instant sent)
{
    m_namedAllStarts = knowsAllStarts(sent);
    LateStarts late{m_facts->lifetime, {}, m_namedAllStarts};
    for (const auto &[key, run] : m_runs) {
        if (mayArriveAfter(run, sent))
            late.runs.push_back({key.first, key.second});
    }
    if (!m_connections.staysOpen() || !m_namedAllStarts || !late.runs.empty())
        m_link.send(late);
}

void AgentNode::dropOverdueStarts()
{
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        const auto current = at++;
        if (current->second.stage == Stage::Unconfirmed && !mayWorkInNext(current->second))
            drop(current->first, "never arrived");
    }
}

void AgentNode::resolveUnconfirmed(const PollRequest &request, Instant sent,
                                   const std::set<RunKey> &running)
{
    // The worker has observed a higher token, so it rejects a start that arrives with a lower one.
    // Its next lifetime has not, and may carry out what was sent on any connection.
    for (auto at = m_runs.begin(); at != m_runs.end();) {
        const auto current = at++;
        const Run &run = current->second;
        const bool settled = run.stage == Stage::Unconfirmed && run.fence < request.fence
            && !running.contains(current->first) && !mayArriveAfter(run, sent);
        if (settled)
            drop(current->first, "never arrived");
    }
}

// The key is taken by value: callers pass the key of the element that is erased here.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void AgentNode::drop(RunKey key, std::string_view reason)
{
    m_runs.erase(key);
    if (m_facts)
        m_link.send(StartRefused{m_facts->lifetime, key.first, key.second, std::string(reason)});
}

// Orders from the leader.

void AgentNode::refuse(const StartOrder &order, std::string_view reason)
{
    m_link.send(
        StartRefused{order.lifetime, order.traits.task, order.traits.run, std::string(reason)});
}

void AgentNode::startRun(const StartOrder &order)
{
    if (!isCurrent(order.lifetime))
        return refuse(order, "another lifetime");
    if (m_facts->draining)
        return refuse(order, "draining");
    // The worker may have restarted under the same name. The new lifetime would then run a task
    // that is bound to the old one.
    if (!m_answersPolls)
        return refuse(order, "no answer");
    if (!m_barrier.mayCarryOut(order.lifetime))
        return refuse(order, "ordered before its end was handled");
    if (m_lease.untilMs(BootClock::now(), suspendedTime()) == 0)
        return refuse(order, "no lease");
    const RunKey key{order.traits.task, order.traits.run};
    const auto [position, added] = m_runs.try_emplace(key);
    if (!added)
        return;
    position->second.traits = order.traits;
    sendStart(position->second, order);
}

void AgentNode::sendStart(Run &run, const StartOrder &order)
{
    const Instant now = BootClock::now();
    const RunKey key{order.traits.task, order.traits.run};
    const std::uint64_t sentUnder = fence();
    run.unsent.reset();
    run.fence = sentUnder;
    run.startSentAt = now;
    const WorkerConnections connections = m_connections.allowed();
    run.mayArriveUntil = connections ? Instant() : now + m_agent.longestCallDelay;
    m_port.start({sentUnder, m_lease.untilMs(now, suspendedTime()), order, connections},
                 [this, order, key, sentUnder](const WorkerReply &reply) {
                     if (reply.result == WorkerCallResult::NotSent)
                         return startNotSent(order, sentUnder);
                     if (isCurrent(order.lifetime))
                         m_connections.callSent();
                     started(order.lifetime, key, sentUnder, reply);
                     sendUnsentStart();
                 });
}

void AgentNode::startNotSent(const StartOrder &order, std::uint64_t sentUnder)
{
    const auto found = m_runs.find({order.traits.task, order.traits.run});
    if (!isCurrent(order.lifetime) || found == m_runs.end()
        || found->second.stage != Stage::Starting || found->second.fence != sentUnder)
        return refuse(order, "its lifetime or session has ended");
    // The leader of a later session has settled the run, or will do so.
    if (sentUnder < m_sessionFence || !m_link.isOpen()) {
        m_runs.erase(found);
        return;
    }
    Run &run = found->second;
    if (run.stopWanted)
        return drop(found->first, "stopped before it was sent");
    run.unsent = order;
    if (run.keptSince == Instant())
        run.keptSince = BootClock::now();
    countNotSent();
    openConnections();
}

void AgentNode::sendUnsentStart()
{
    Run *oldest = nullptr;
    for (auto &[key, run] : m_runs) {
        if (run.unsent && (oldest == nullptr || run.keptSince < oldest->keptSince))
            oldest = &run;
    }
    if (oldest == nullptr)
        return;
    if (m_facts->draining)
        return refuseUnsentStarts("draining");
    if (m_lease.untilMs(BootClock::now(), suspendedTime()) == 0)
        return refuseUnsentStarts("no lease");
    sendStart(*oldest, StartOrder(*oldest->unsent));
}

void AgentNode::refuseUnsentStarts(std::string_view reason)
{
    std::vector<RunKey> unsent;
    for (const auto &[key, run] : m_runs) {
        if (run.unsent)
            unsent.push_back(key);
    }
    for (const RunKey &key : unsent)
        drop(key, reason);
}

void AgentNode::openConnections()
{
    if (m_openProbes > 0 || !m_facts)
        return;
    m_openProbes = m_agent.spareConnections;
    m_probesAnswered = false;
    const ProbeRequest request{m_facts->lifetime.worker, fence()};
    for (std::size_t i = 0; i < m_agent.spareConnections; ++i) {
        m_port.probe(request, [this, epoch = m_pollEpoch](const WorkerReply &reply) {
            if (epoch != m_pollEpoch)
                return;
            --m_openProbes;
            if (m_facts)
                probeAnswered(reply);
        });
    }
}

void AgentNode::probeAnswered(const WorkerReply &reply)
{
    if (const auto proof = proofOfEnd(reply, m_facts->lifetime))
        return endLostLifetime(*proof);
    if (isAnswered(reply.result)) {
        m_probesAnswered = true;
        if (!mayBeFromOther(m_facts->lifetime, reply))
            m_connections.answered(reply.connection);
        sendUnsentStart();
    }
    if (m_openProbes > 0)
        return;
    if (!m_probesAnswered)
        return refuseUnsentStarts("no answer");
    const bool keepsStarts = std::any_of(m_runs.begin(), m_runs.end(),
                                         [](const auto &each) { return each.second.unsent; });
    if (keepsStarts)
        openConnections();
}

bool AgentNode::raiseFence()
{
    if (m_fenceStep >= m_agent.fenceSteps) {
        m_link.renew("the session has no higher fencing token left");
        return false;
    }
    ++m_fenceStep;
    return true;
}

bool AgentNode::mayBeFromOther(const Lifetime &lifetime, const WorkerReply &reply) const
{
    if (reply.born != 0)
        return reply.born != lifetime.startedAt;
    return reply.clockMs != 0 && !m_lease.isClockOfWorker(reply.clockMs, BootClock::now());
}

void AgentNode::lateStartAnswered(const Lifetime &lifetime, const RunKey &key,
                                  const WorkerReply &reply)
{
    // Without an answer, or if the present lifetime has carried the start out, the inventory of the
    // next lifetime tells the leader whether it runs there.
    if (reply.result == WorkerCallResult::NoAnswer
        || (reply.result == WorkerCallResult::Done && reply.born != lifetime.startedAt))
        return;
    m_link.send(StartRefused{lifetime, key.first, key.second, "its lifetime has ended"});
}

void AgentNode::started(const Lifetime &lifetime, const RunKey &key, std::uint64_t sentUnder,
                        const WorkerReply &reply)
{
    m_metrics.startAnswered(reply.result);
    logEvent(LogLevel::Info, "start-answered",
             {{"task", key.first.text()},
              {"run", key.second},
              {"bound_to", lifetime.startedAt},
              {"born", reply.born},
              {"fence", sentUnder},
              {"clock_ms", reply.clockMs},
              {"result", nameOf(reply.result)}});
    if (!isCurrent(lifetime))
        return lateStartAnswered(lifetime, key, reply);
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || found->second.stage != Stage::Starting
        || found->second.fence != sentUnder)
        return;
    if (reply.born == lifetime.startedAt)
        m_connections.answered(reply.connection);
    Run &run = found->second;
    if (run.keptSince != Instant())
        logEvent(
            LogLevel::Info, "start-kept",
            {{"task", key.first.text()},
             {"run", key.second},
             {"kept_us",
              std::chrono::duration_cast<std::chrono::microseconds>(run.startSentAt - run.keptSince)
                  .count()}});
    WorkerCallResult result = reply.result;
    if (result == WorkerCallResult::Done && mayBeFromOther(lifetime, reply)) {
        // The worker restarted under the same name, and its next lifetime carried the start out.
        run.stage = Stage::Unconfirmed;
        if (const auto proof = proofOfEnd(reply, lifetime))
            return endLostLifetime(*proof);
        result = WorkerCallResult::NoAnswer;
    }
    switch (result) {
    case WorkerCallResult::Done:
        run.stage = Stage::Running;
        run.seenAt = BootClock::now();
        run.row.task = key.first;
        run.row.run = key.second;
        if (run.traits.bestEffort)
            applyThrottling();
        return;
    case WorkerCallResult::NoAnswer:
        // The start may still arrive, unless the worker has observed a higher token by then.
        run.stage = Stage::Unconfirmed;
        if (run.fence < fence() || raiseFence())
            poll(Duration::zero());
        // Its connection is closed now.
        if (m_connections.staysOpen())
            openConnections();
        return;
    default:
        drop(key, nameOf(result));
    }
}

void AgentNode::stopRun(const StopOrder &order)
{
    if (!isCurrent(order.lifetime))
        return;
    const RunKey key{order.task, order.run};
    // Ordered before the leader learnt of the end.
    if (m_endedAt.contains(key))
        return;
    const auto [position, added] = m_runs.try_emplace(key);
    if (added) {
        position->second.traits.task = order.task;
        position->second.traits.run = order.run;
        // An earlier process of the agent may have sent a start that has no answer.
        if (knowsAllStarts(BootClock::now())) {
            position->second.stage = Stage::Running;
        } else {
            position->second.stage = Stage::Unconfirmed;
            position->second.mayArriveUntil = m_createdAt + m_agent.longestCallDelay;
        }
    }
    if (position->second.unsent)
        return drop(key, "stopped before it was sent");
    position->second.stopWanted = true;
    sendStop(key);
}

void AgentNode::sendStop(const RunKey &key)
{
    const auto found = m_runs.find(key);
    if (found == m_runs.end() || !m_facts || !m_link.isOpen())
        return;
    m_port.stop({fence(), {m_facts->lifetime, key.first, key.second}},
                [this, key, lifetime = m_facts->lifetime](const WorkerReply &reply) {
                    logEvent(LogLevel::Info, "stop-answered",
                             {{"task", key.first.text()},
                              {"run", key.second},
                              {"result", nameOf(reply.result)}});
                    // The next lifetime may run the same task and run.
                    const auto run = m_runs.find(key);
                    if (run == m_runs.end() || !isCurrent(lifetime))
                        return;
                    if (reply.result == WorkerCallResult::Done
                        && !mayBeFromOther(lifetime, reply)) {
                        run->second.stopAnswered = true;
                        run->second.stopSentAt = BootClock::now();
                        poll(Duration::zero());
                        return;
                    }
                    m_loop.after(m_agent.stopRetry, [this, key, lifetime] {
                        if (isCurrent(lifetime))
                            sendStop(key);
                    });
                });
}

} // namespace guavashift
