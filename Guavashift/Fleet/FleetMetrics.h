#pragma once

#include <Guavashift/Fleet/WorkerPort.h>
#include <Guavashift/Http/RequestBudget.h>
#include <Guavashift/Metrics/Metrics.h>

#include <atomic>

namespace guavashift {

/// Counters and timings of a fleet's process. Those of other roles stay at zero or are missing.
/// Safe to call from any thread.
class FleetMetrics final
{
public:
    static constexpr std::size_t maxPageBytes = 4000;

    FleetMetrics();

    /// Records a round of the event loop.
    void roundEnded(Duration duration);
    /// Records a request that was refused, or a connection that was closed, to bound what clients
    /// make the process hold. The reasons are in the log: a page has no room for a counter each.
    void refused(CutReason reason);

    // Control process.

    /// Whether the replica takes part, i.e. is a member, stores entries and answers the others. It
    /// counts as available only while it has a state, too.
    void setReplicaAvailable(bool available);
    /// Whether the replica has a state that may be used, as it has at first.
    void setStateUsable(bool isUsable);

    // Leader.

    /// Records the commit of a log entry that this process appended as the leader.
    void committed(std::size_t commands, Duration commit, Duration sync);
    /// Records a binding: the time from the task becoming ready to the commit of the binding.
    void bound(Duration sinceReady);
    /// Records that this process became the leader or ceased to be.
    void leadershipChanged();
    /// Number of voters that have not answered this leader lately; 0 if this process does not lead.
    void setSilentVoters(std::size_t voters);
    /// Number of long-running tasks that are not running, and how long the oldest has not been.
    void setLongRunningWaits(std::size_t tasks, Duration oldest);
    /// Jobs of which nothing has been running for some time although there is capacity.
    void setIdleJobs(std::size_t jobs);
    /// Number of failure domains that are evacuated; 0 if this process does not lead.
    void setEvacuatedDomains(std::size_t domains);
    /// Counts a call, apart from evacuations.
    void answered(CallKind kind, CallResult result);
    /// Work that is due against the room until then, of the fullest pool.
    void setLoad(double load);
    /// Records the end of a wait for a place near a task's data or group, if the task was placed.
    void nearWaitEnded(NearOutcome outcome);

    // Entry.

    /// Records a result that was returned to a caller, and how long the caller waited for it.
    void finished(CallResult result, Duration waited);
    void setWaiting(std::size_t calls);
    /// Records a call that was refused as not done without asking a leader.
    void refused(std::string_view reason);

    // Agent.

    void polled();
    void startAnswered(WorkerCallResult result);
    /// Records the commit of an end that the worker listed this long ago.
    void endCommitted(Duration sinceListed);

    /// All metrics in the Prometheus text format, in at most about `maxPageBytes` bytes for the
    /// busiest control process, since the platform's collector keeps no more of a page.
    [[nodiscard]] std::string exposition();

private:
    void updateReplicaAvailable();

    Metrics m_metrics;
    prometheus::Histogram &m_round;
    prometheus::Histogram &m_commit;
    prometheus::Summary &m_commitCommands;
    prometheus::Histogram &m_sync;
    prometheus::Histogram &m_readyToBound;
    prometheus::Counter &m_leadershipChanges;
    prometheus::Gauge &m_replicaAvailable;
    prometheus::Gauge &m_silentVoters;
    prometheus::Gauge &m_longRunningWaits;
    prometheus::Gauge &m_longRunningOldest;
    prometheus::Gauge &m_idleJobs;
    prometheus::Gauge &m_evacuatedDomains;
    prometheus::Gauge &m_load;
    prometheus::Histogram &m_endCommit;
    prometheus::Counter &m_cut;
    prometheus::Counter &m_linesDropped;
    std::atomic<bool> m_isReplicaAvailable = false;
    std::atomic<bool> m_isStateUsable = true;
    std::atomic<std::uint64_t> m_droppedLinesExported = 0;
};

} // namespace guavashift
