#include <Guavashift/Fleet/LeaderLink.h>

#include <algorithm>

namespace guavashift {

LeaderLink::LeaderLink(EventLoop &loop, const LeaderLinkSettings &settings,
                       const FleetSettings &fleet, NodeRole role, Observer observer,
                       std::uint64_t seed)
    : m_loop(loop)
    , m_settings(settings)
    , m_fleet(fleet)
    , m_role(role)
    , m_observer(std::move(observer))
    , m_random(seed)
{
    m_directory.cores = fleet.seeds;
}

void LeaderLink::setEnabled(bool enabled)
{
    if (enabled == m_enabled)
        return;
    m_enabled = enabled;
    if (enabled) {
        m_discoveryRounds = 0;
        m_leaderSeen = BootClock::now();
        startDiscoveryRound();
        return;
    }
    if (m_timer != 0)
        m_loop.cancel(std::exchange(m_timer, 0));
    m_attempts.clear();
    endSession();
}

std::optional<std::uint64_t> LeaderLink::send(const FleetMessage &message)
{
    if (!m_isOpen || !m_session)
        return std::nullopt;
    const std::uint64_t position = m_session->bytesQueued();
    m_session->send(encodeFrame(message));
    return position;
}

std::uint64_t LeaderLink::bytesWritten() const
{
    return m_session ? m_session->bytesWritten() : m_lastBytesWritten;
}

Instant LeaderLink::lastHeard() const
{
    return m_session ? m_session->lastInput() : Instant{};
}

Duration LeaderLink::withoutLeader(Instant now) const
{
    return m_isOpen ? Duration::zero() : now - m_leaderSeen;
}

void LeaderLink::renew(std::string_view reason)
{
    if (m_session)
        sessionClosed(reason);
}

std::vector<std::string> LeaderLink::knownCores() const
{
    std::vector<std::string> cores;
    const std::vector<std::string> others =
        m_observer.otherCores ? m_observer.otherCores() : std::vector<std::string>();
    for (const auto *list : {&m_directory.cores, &m_fleet.seeds, &others}) {
        for (const std::string &address : *list) {
            if (address != m_fleet.channelAddress()
                && std::find(cores.begin(), cores.end(), address) == cores.end())
                cores.push_back(address);
        }
    }
    return cores;
}

std::vector<std::string> LeaderLink::pickRelays()
{
    std::vector<std::string> relays = m_directory.relays;
    std::erase(relays, m_fleet.channelAddress());
    std::shuffle(relays.begin(), relays.end(), m_random);
    if (relays.size() > m_settings.relaysPerRound)
        relays.resize(m_settings.relaysPerRound);
    return relays;
}

void LeaderLink::startDiscoveryRound()
{
    if (!m_enabled || m_session)
        return;
    m_attempts.clear();
    const std::vector<std::string> cores = knownCores();
    for (const std::string &core : cores)
        attempt(core, {});
    // A node that cannot reach the control processes may still reach other nodes.
    if ((m_discoveryRounds > 0 || m_sessionTimedOut) && m_role != NodeRole::Core
        && !cores.empty()) {
        for (const std::string &relay : pickRelays()) {
            const std::size_t pick = m_random() % cores.size();
            attempt(cores[pick], relay);
        }
    }
    ++m_discoveryRounds;
    m_timer = m_loop.after(m_settings.discoveryInterval, [this] {
        m_timer = 0;
        startDiscoveryRound();
    });
}

void LeaderLink::attempt(const std::string &target, const std::string &relay)
{
    for (const auto &[id, other] : m_attempts) {
        if (other.target == target && other.relay == relay)
            return;
    }
    const AttemptId id = m_nextAttempt++;
    Attempt &made = m_attempts[id];
    made.target = target;
    made.relay = relay;
    made.connection = std::make_unique<FrameConnection>(m_loop, m_settings.channel);
    made.connection->setHandlers([this, id](std::string_view frame) { answered(id, frame); },
                                 [this, id](std::string_view) { attemptClosed(id); });
    made.connection->connect(relay.empty() ? target : relay);
    if (!relay.empty())
        made.connection->send(encodeFrame(RelayTo{target}));
    made.connection->send(encodeFrame(LeaderQuery{}));
}

void LeaderLink::attemptClosed(AttemptId id)
{
    m_attempts.erase(id);
}

void LeaderLink::answered(AttemptId id, std::string_view frame)
{
    const auto found = m_attempts.find(id);
    const std::optional<FleetMessage> message = decodeFrame(frame);
    if (found == m_attempts.end() || !message)
        return;
    const auto *leader = std::get_if<LeaderReply>(&*message);
    if (leader == nullptr)
        return;
    // The connection that runs this callback must not be destroyed inside it.
    if (leader->isLeader) {
        m_loop.post([this, id] { adopt(id); });
        return;
    }
    const std::string hint = leader->address;
    if (hint.empty() || hint == found->second.target || hint == m_fleet.channelAddress())
        return;
    m_leaderSeen = BootClock::now();
    m_loop.post([this, hint, relay = found->second.relay] {
        if (m_enabled && !m_session)
            attempt(hint, relay);
    });
}

void LeaderLink::adopt(AttemptId id)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || m_session || !m_enabled)
        return;
    m_session = std::move(found->second.connection);
    m_sessionPath = found->second.relay.empty()
        ? found->second.target
        : fmt::format("{}>{}", found->second.relay, found->second.target);
    m_attempts.clear();
    if (m_timer != 0)
        m_loop.cancel(std::exchange(m_timer, 0));
    m_session->setHandlers([this](std::string_view frame) { sessionFrame(frame); },
                           [this](std::string_view reason) { sessionClosed(reason); });
    m_session->send(encodeFrame(OpenSession{m_role, m_fleet.node, m_fleet.channelAddress()}));
    m_timer = m_loop.after(m_settings.sessionTimeout, [this] {
        m_timer = 0;
        if (!m_isOpen)
            sessionClosed("the leader did not open the session in time");
    });
}

void LeaderLink::sessionFrame(std::string_view frame)
{
    const std::optional<FleetMessage> message = decodeFrame(frame);
    if (!message)
        return;
    if (const auto *directory = std::get_if<Directory>(&*message)) {
        m_directory = *directory;
        return;
    }
    if (const auto *opened = std::get_if<SessionOpened>(&*message)) {
        m_isOpen = true;
        m_discoveryRounds = 0;
        m_sessionTimedOut = false;
        logEvent(LogLevel::Info, "leader-found",
                 {{"path", m_sessionPath}, {"fence", opened->fence}});
        m_observer.opened(*opened);
        return;
    }
    // A LeaderReply in a session: the process does not lead any more.
    if (std::holds_alternative<LeaderReply>(*message)) {
        m_loop.post([this] { sessionClosed("not the leader"); });
        return;
    }
    if (m_isOpen)
        m_observer.received(*message);
}

void LeaderLink::sessionClosed(std::string_view reason)
{
    if (!m_session)
        return;
    logEvent(LogLevel::Warning, "leader-lost", {{"path", m_sessionPath}, {"reason", reason}});
    m_sessionTimedOut = reason == "silent";
    if (m_timer != 0)
        m_loop.cancel(std::exchange(m_timer, 0));
    endSession();
    m_discoveryRounds = 0;
    startDiscoveryRound();
}

void LeaderLink::endSession()
{
    if (m_session)
        m_lastBytesWritten = m_session->bytesWritten();
    m_session.reset();
    if (!std::exchange(m_isOpen, false))
        return;
    m_leaderSeen = BootClock::now();
    m_observer.lost();
}

} // namespace guavashift
