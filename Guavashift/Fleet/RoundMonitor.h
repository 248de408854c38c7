#pragma once

#include <Guavashift/Channel/EventLoop.h>
#include <Guavashift/Fleet/FleetMetrics.h>

namespace guavashift {

struct RoundMonitorSettings
{
    /// A longer round is logged: leaders send heartbeats and followers read them once per round.
    Duration slowRound = std::chrono::milliseconds(100);
    /// Interval of these log lines. Of several slow rounds in it the longest is logged.
    Duration logInterval = std::chrono::seconds(1);
};

/// Durations of the parts of a control process's round-end handler.
struct CoreRoundTimes
{
    Duration decide = Duration::zero();  ///< Scheduling, and orders to agents.
    Duration replica = Duration::zero(); ///< The replicated log: sending, syncing, applying.
};

/// Records the duration of each round of an event loop and logs slow ones. For use on the loop's
/// thread only.
class RoundMonitor final
{
public:
    RoundMonitor(EventLoop &loop, const RoundMonitorSettings &settings, FleetMetrics &metrics);
    ~RoundMonitor();
    RoundMonitor(const RoundMonitor &) = delete;
    RoundMonitor &operator=(const RoundMonitor &) = delete;

    /// To be called in a round, for the line that logs it.
    void setCoreTimes(const CoreRoundTimes &times) { m_core = times; }

    void roundEnded(const RoundTimes &times);

private:
    struct SlowRound
    {
        RoundTimes times;
        CoreRoundTimes core;
    };

    void log(const SlowRound &round, Instant now) const;

    EventLoop &m_loop;
    RoundMonitorSettings m_settings;
    FleetMetrics &m_metrics;
    CoreRoundTimes m_core;
    std::optional<SlowRound> m_longest; ///< Of the slow rounds that are not logged yet.
    std::uint64_t m_slowRounds = 0;     ///< Not logged yet.
    Instant m_nextLog;
};

} // namespace guavashift
