#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/FleetMessages.h>
#include <Guavashift/Fleet/FleetSettings.h>

#include <random>

namespace guavashift {

struct LeaderLinkSettings
{
    ChannelSettings channel;
    /// One discoveryInterval of asking around for the leader.
    Duration discoveryInterval = std::chrono::milliseconds(450);
    /// Longest wait for the answer to a greeting.
    Duration sessionTimeout = std::chrono::milliseconds(700);
    /// Relays that are tried in one discoveryInterval.
    std::size_t relaysPerRound = 2;
};

/// Keeps a session with whichever control process leads: asks all it knows, follows their hints,
/// and goes through other nodes when none can be reached directly. On an event loop's thread.
class LeaderLink final
{
public:
    struct Observer
    {
        std::function<void(const SessionOpened &)> opened;
        std::function<void()> lost;
        std::function<void(const FleetMessage &)> received;
    };

    LeaderLink(EventLoop &loop, const LeaderLinkSettings &settings, const FleetSettings &fleet,
               NodeRole role, Observer observer, std::uint64_t seed);

    /// Looks for a leader from now on, or ends the session and looks no more.
    void setEnabled(bool enabled);
    void send(const FleetMessage &message);
    /// Other control processes to ask from now on, beside those that the leader names.
    void setSeeds(const std::vector<std::string> &seeds) { m_fleet.seeds = seeds; }
    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    /// When the session's connection was last found to be alive is watched by the channel.
    [[nodiscard]] const Directory &directory() const { return m_directory; }
    /// Ends the session and looks for the leader anew.
    void renew(std::string_view reason);

private:
    struct Attempt
    {
        std::unique_ptr<FrameConnection> connection;
        std::string target;
        std::string relay; ///< Empty: directly.
    };

    using AttemptId = std::uint64_t;

    void startDiscoveryRound();
    void attempt(const std::string &target, const std::string &relay);
    void attemptClosed(AttemptId id);
    void answered(AttemptId id, std::string_view frame);
    void adopt(AttemptId id);
    void sessionClosed(std::string_view reason);
    void sessionFrame(std::string_view frame);
    [[nodiscard]] std::vector<std::string> knownCores() const;
    [[nodiscard]] std::vector<std::string> pickRelays();

    EventLoop &m_loop;
    LeaderLinkSettings m_settings;
    FleetSettings m_fleet;
    NodeRole m_role;
    Observer m_observer;
    std::mt19937_64 m_random;
    Directory m_directory;
    bool m_enabled = false;
    bool m_isOpen = false;
    int m_discoveryRounds = 0;
    bool m_sessionTimedOut = false;
    std::map<AttemptId, Attempt> m_attempts;
    AttemptId m_nextAttempt = 1;
    std::unique_ptr<FrameConnection> m_session;
    std::string m_sessionPath;
    EventLoop::TimerId m_timer = 0;
};

} // namespace guavashift
