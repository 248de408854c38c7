#include <Guavashift/Fleet/AgentNode.h>

namespace guavashift {

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

} // namespace guavashift
