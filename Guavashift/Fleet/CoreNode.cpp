#include <Guavashift/Fleet/CoreNode.h>

namespace guavashift {

namespace {

/// Time without contact after which a voter counts as lost and another replica replaces it.
constexpr Duration voterLostAfter = std::chrono::milliseconds(1500);
/// Longest time in a round without serving the other replicas, apart from single units of work that
/// last longer. Well below the heartbeat interval.
constexpr Duration urgentInterval = std::chrono::milliseconds(25);

ReplicaDriverSettings driverSettings(const FleetSettings &fleet, const ChannelSettings &channel)
{
    ReplicaDriverSettings settings;
    settings.channel = channel;
    settings.membership.targetVoters = 2 * std::size_t{fleet.bounds.toleratedDiskLosses} + 1;
    settings.membership.voterLostAfter = voterLostAfter;
    settings.membership.learnerLostAfter = std::chrono::seconds(10);
    return settings;
}

JobTableSettings jobTableSettings(const FleetBounds &bounds)
{
    // A quarter more, since the wall clock of a leader may step forward.
    return {toMs(bounds.endedJobRetention) * 5 / 4};
}

DispatchSettings dispatchSettings(const FleetSettings &fleet)
{
    const FleetBounds &bounds = fleet.bounds;
    DispatchSettings settings;
    settings.workerLease = workerLeaseOf(bounds);
    // Worker clocks may be 2 % slow.
    settings.longestLease = bounds.maxWorkerLease;
    settings.leaseMargin = bounds.thawSlack + settings.workerLease / 50;
    settings.remoteFactor = bounds.remoteFactor;
    settings.evacuation.limit = bounds.evacuationLimit;
    settings.warmUp.overshoot = bounds.coldOvershoot;
    settings.warmUp.slack = bounds.coldSlack;
    settings.ordersJobsUnderOverload = fleet.decisions.overloadOrder;
    settings.refusesLateSubmissions = fleet.decisions.lateRefusals;
    settings.avoidsSlowWorkers = fleet.decisions.workerSpeed;
    settings.waitsForNearPlaces = fleet.decisions.nearPlaces;
    return settings;
}

} // namespace

CoreNode::CoreNode(EventLoop &loop, const FleetSettings &settings, const ChannelSettings &channel,
                   QueueTableReader reader, FleetMetrics &metrics, std::uint64_t seed,
                   LogStoreOpener openStore)
    : m_loop(loop)
    , m_settings(settings)
    , m_channel(channel)
    , m_rounds(loop, {}, metrics)
    , m_jobTable(jobTableSettings(settings.bounds), std::move(reader))
    , m_driver(loop, driverSettings(settings, channel), settings, m_jobTable, metrics,
               {[this](const StageCommand &command, const StageOutcome &outcome) {
                    m_leader.applied(command, outcome);
                },
                [this](bool leads) {
                    m_becameLeader = leads;
                    if (!leads)
                        m_leader.deactivate();
                    m_link.setEnabled(!leads);
                },
                [this] { readReplicas(); }, [this] { return m_link.knownCores(); }},
               seed, std::move(openStore))
    , m_leader(settings, dispatchSettings(settings), m_jobTable, m_driver, metrics)
    , m_link(loop, {channel}, settings, NodeRole::Core,
             {[](const SessionOpened &) {}, [] {},
              [this](const FleetMessage &message) { forwardedAnswer(message); },
              [this] { return m_driver.addresses(); }},
             seed + 1)
    , m_listener(loop, [this](ACE_HANDLE handle) { accept(handle); })
{
}

Result<void> CoreNode::start()
{
    if (Result<void> opened = m_driver.open(); !opened)
        return opened;
    m_loop.addRoundEndHandler([this] { endRound(); });
    m_loop.setUrgentWork(urgentInterval, [this] { m_driver.serveReplicas(); });
    m_link.setEnabled(true);
    return m_listener.open(m_settings.channelAddress());
}

void CoreNode::setSeeds(const std::vector<std::string> &seeds)
{
    m_driver.setSeeds(seeds);
    m_link.setSeeds(seeds);
}

void CoreNode::drain()
{
    m_driver.transferLeadership();
}

void CoreNode::endRound()
{
    CoreRoundTimes times;
    Instant partBegan = BootClock::now();
    const auto endPart = [&partBegan] {
        const Instant now = BootClock::now();
        return now - std::exchange(partBegan, now);
    };
    m_leader.endRound();
    times.decide = endPart();
    m_driver.endRound();
    times.replica = endPart();
    if (m_becameLeader && m_driver.mayAnswer()) {
        m_becameLeader = false;
        m_leader.activate();
    }
    m_leader.endRound();
    times.decide += endPart();
    // Proposals that follow from the commits of this round need not wait for the next.
    if (m_driver.hasProposals())
        m_driver.endRound();
    times.replica += endPart();
    m_rounds.setCoreTimes(times);
}

void CoreNode::readReplicas()
{
    for (const std::uint64_t id : m_replicaConnections)
        m_connections.at(id)->readAvailable();
}

void CoreNode::accept(ACE_HANDLE handle)
{
    const std::uint64_t id = m_nextConnection++;
    auto connection = std::make_unique<FrameConnection>(m_loop, m_channel);
    connection->setHandlers([this, id](std::string_view frame) { received(id, frame); },
                            [this, id](std::string_view) {
                                m_leader.sessionClosed(id);
                                m_replicaConnections.erase(id);
                                m_connections.erase(id);
                            });
    FrameConnection &adopted = *connection;
    m_connections.emplace(id, std::move(connection));
    adopted.adopt(handle);
}

void CoreNode::received(std::uint64_t id, std::string_view frame)
{
    const std::optional<FleetMessage> message = decodeFrame(frame);
    if (!message)
        return;
    const auto send = [this, id](const FleetMessage &reply) {
        const auto found = m_connections.find(id);
        if (found != m_connections.end())
            found->second->send(encodeFrame(reply));
    };
    const LeaderReply leader{m_leader.isActive() && m_driver.mayAnswer(), m_driver.leaderAddress()};
    std::visit(Overloaded{[&](const ReplicaMessages &messages) {
                              m_replicaConnections.insert(id);
                              m_driver.receive(messages);
                          },
                          [&](const JoinRequest &join) { m_driver.joinRequested(join.member); },
                          [&](const StateRequest &request) { m_driver.stateRequested(request); },
                          [&](const StatePart &part) { m_driver.stateReceived(part); },
                          [&](const LeaderQuery &) { send(leader); },
                          [&](const OpenSession &request) {
                              if (leader.isLeader)
                                  m_leader.openSession(id, request, send);
                              else
                                  send(leader);
                          },
                          [&](const auto &) {
                              // The node may believe in a session that another one has replaced.
                              if (!m_leader.receive(id, *message))
                                  send(LeaderReply{false, leader.address});
                          }},
               *message);
}

void CoreNode::call(FleetCall call, Duration timeout, FleetLeader::Answer answer)
{
    if (m_driver.leads())
        return m_leader.handle(call, answer);
    if (!m_link.isOpen())
        return answer({call.id, CallResult::Unavailable, "no leader is known", 1});
    call.id = m_nextCall++;
    const EventLoop::TimerId timer = m_loop.after(timeout, [this, id = call.id] {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return;
        const FleetLeader::Answer late = std::move(found->second.answer);
        m_pending.erase(found);
        late({id, CallResult::Unknown, "the leader did not answer in time", 0});
    });
    m_pending.emplace(call.id, Pending{std::move(answer), timer});
    m_link.send(call);
}

void CoreNode::forwardedAnswer(const FleetMessage &message)
{
    const auto *answer = std::get_if<FleetAnswer>(&message);
    const auto found = answer == nullptr ? m_pending.end() : m_pending.find(answer->id);
    if (found == m_pending.end())
        return;
    m_loop.cancel(found->second.timer);
    const FleetLeader::Answer pending = std::move(found->second.answer);
    m_pending.erase(found);
    pending(*answer);
}

} // namespace guavashift
