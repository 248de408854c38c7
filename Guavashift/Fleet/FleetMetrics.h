#pragma once

#include <Guavashift/Fleet/WorkerPort.h>
#include <Guavashift/Metrics/Metrics.h>

#include <atomic>

namespace guavashift {

/// What a fleet's process counts and times. Those of the other roles stay at zero. Callable from
/// any thread.
class FleetMetrics final
{
public:
    FleetMetrics();

    // Leader.

    /// An own log entry was committed.
    void committed(std::size_t commands, Duration commit, Duration sync);
    /// A run was bound whose task had been ready for this long, until the binding's commit.
    void bound(Duration sinceReady);
    void answered(CallKind kind, CallResult result);

    // Entry.

    /// A caller got this result after it had waited.
    void finished(CallResult result, Duration waited);
    void setWaiting(std::size_t calls);

    // Agent.

    void polled();
    void startAnswered(WorkerCallResult result);
    /// An end that the worker listed this long ago is committed.
    void endCommitted(Duration sinceListed);

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string exposition();

private:
    Metrics m_metrics;
    prometheus::Histogram &m_commit;
    prometheus::Histogram &m_commitCommands;
    prometheus::Histogram &m_sync;
    prometheus::Histogram &m_readyToBound;
    prometheus::Gauge &m_waiting;
    prometheus::Counter &m_polls;
    prometheus::Histogram &m_endCommit;
    prometheus::Counter &m_linesDropped;
    std::atomic<std::uint64_t> m_droppedLinesExported = 0;
};

} // namespace guavashift
