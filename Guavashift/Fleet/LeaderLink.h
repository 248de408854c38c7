#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/FleetMessages.h>
#include <Guavashift/Fleet/FleetSettings.h>

#include <random>

namespace guavashift {

struct LeaderLinkSettings
{
    ChannelSettings channel;
    /// Interval between two rounds of the search for the leader.
    Duration discoveryInterval = std::chrono::milliseconds(450);
    /// Longest wait for the answer to OpenSession.
    Duration sessionTimeout = std::chrono::milliseconds(700);
    /// Relays that are tried in one round of the search.
    std::size_t relaysPerRound = 2;
};

/// Keeps a session with the leading control process. Queries all known control processes, follows
/// their hints, and connects through relays when none can be reached directly. For use on the event
/// loop's thread only.
class LeaderLink final
{
public:
    struct Observer
    {
        std::function<void(const SessionOpened &)> opened;
        std::function<void()> lost;
        std::function<void(const FleetMessage &)> received;
        /// Channel addresses of control processes that this process knows of otherwise; may be
        /// empty.
        std::function<std::vector<std::string>()> otherCores = {};
    };

    LeaderLink(EventLoop &loop, const LeaderLinkSettings &settings, const FleetSettings &fleet,
               NodeRole role, Observer observer, std::uint64_t seed);

    /// Starts the search for a leader, or ends the session and the search.
    void setEnabled(bool enabled);
    /// Sends a message to the leader; drops it if no session is open. Returns the number of bytes
    /// that were queued in the session before the message, or nothing if it was dropped.
    std::optional<std::uint64_t> send(const FleetMessage &message);
    /// Bytes that the kernel has taken in this session, or took in the last one. A message with as
    /// many bytes before it, or more, has not left this process.
    [[nodiscard]] std::uint64_t bytesWritten() const;
    /// When the leader was last heard in this session.
    [[nodiscard]] Instant lastHeard() const;
    /// Time for which there has been neither a session nor a control process that names a leader.
    [[nodiscard]] Duration withoutLeader(Instant now) const;
    /// Replaces the seeds: control processes that are queried beside those that the leader names.
    void setSeeds(const std::vector<std::string> &seeds) { m_fleet.seeds = seeds; }
    [[nodiscard]] bool isOpen() const { return m_isOpen; }
    /// The directory that the leader sent last; the seeds before the first one.
    [[nodiscard]] const Directory &directory() const { return m_directory; }
    /// Channel addresses of the other control processes, from the directory, the seeds and the
    /// observer.
    [[nodiscard]] std::vector<std::string> knownCores() const;
    /// Ends the session and searches for the leader again.
    void renew(std::string_view reason);

private:
    struct Attempt
    {
        std::unique_ptr<FrameConnection> connection;
        std::string target;
        std::string relay; ///< Empty: direct connection.
    };

    using AttemptId = std::uint64_t;

    void startDiscoveryRound();
    void attempt(const std::string &target, const std::string &relay);
    void attemptClosed(AttemptId id);
    void answered(AttemptId id, std::string_view frame);
    void adopt(AttemptId id);
    void sessionClosed(std::string_view reason);
    void endSession();
    void sessionFrame(std::string_view frame);
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
    bool m_sessionTimedOut = false; ///< The last session ended because nothing was received.
    std::map<AttemptId, Attempt> m_attempts;
    AttemptId m_nextAttempt = 1;
    std::unique_ptr<FrameConnection> m_session;
    std::string m_sessionPath;
    std::uint64_t m_lastBytesWritten = 0; ///< Of the session that ended last.
    Instant m_leaderSeen;                 ///< Last time that a leader was known or named.
    EventLoop::TimerId m_timer = 0;
};

} // namespace guavashift
