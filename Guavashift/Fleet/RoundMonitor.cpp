#include <Guavashift/Fleet/RoundMonitor.h>

namespace guavashift {

RoundMonitor::RoundMonitor(EventLoop &loop, const RoundMonitorSettings &settings,
                           FleetMetrics &metrics)
    : m_loop(loop)
    , m_settings(settings)
    , m_metrics(metrics)
{
    m_loop.setRoundObserver([this](const RoundTimes &times) { roundEnded(times); });
}

RoundMonitor::~RoundMonitor()
{
    m_loop.setRoundObserver({});
}

void RoundMonitor::roundEnded(const RoundTimes &times)
{
    const CoreRoundTimes core = std::exchange(m_core, {});
    m_metrics.roundEnded(times.total());
    if (times.total() >= m_settings.slowRound) {
        ++m_slowRounds;
        if (!m_longest || times.total() > m_longest->times.total())
            m_longest = {times, core};
    }
    if (!m_longest || times.endedAt < m_nextLog)
        return;
    log(*m_longest, times.endedAt);
    m_longest.reset();
    m_slowRounds = 0;
    m_nextLog = times.endedAt + m_settings.logInterval;
}

void RoundMonitor::log(const SlowRound &round, Instant now) const
{
    const RoundTimes &times = round.times;
    logEvent(LogLevel::Warning, "round-slow",
             {{"round_ms", toMs(times.total())},
              {"cpu_ms", toMs(times.processor)},
              {"events", times.events},
              {"events_ms", toMs(times.dispatch)},
              {"posted_ms", toMs(times.posted)},
              {"timers_ms", toMs(times.timers)},
              {"handlers_ms", toMs(times.handlers)},
              {"decide_ms", toMs(round.core.decide)},
              {"replica_ms", toMs(round.core.replica)},
              {"ago_ms", toMs(now - times.endedAt)},
              {"slow_rounds", m_slowRounds}});
}

} // namespace guavashift
