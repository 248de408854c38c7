#include <Guavashift/Fleet/FleetMetrics.h>

#include <cmath>

namespace guavashift {

namespace {

// Upper limits of buckets in seconds, around the limits that matter for each. A page of metrics has
// room for few.
using Buckets = prometheus::Histogram::BucketBoundaries;
/// Heartbeats are due each 0.1 s, and 0.5 s without one start an election.
const Buckets roundBuckets{0.01, 0.1, 0.5};
const Buckets commitBuckets{0.016, 0.064, 0.256, 1};
/// A leader whose disk syncs for 0.1 s transfers leadership.
const Buckets syncBuckets{0.008, 0.1};
const Buckets readyToBoundBuckets{0.064, 1, 8};
const Buckets answerBuckets{0.064, 0.256, 1};
const Buckets endCommitBuckets{0.064, 0.256, 1, 4};

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FleetMetrics::FleetMetrics()
    : m_round(m_metrics.histogram("guavashift_fleet_round_seconds",
                                  "A round of the event loop, without its wait", roundBuckets))
    , m_commit(m_metrics.histogram("guavashift_fleet_commit_seconds",
                                   "From an entry's append to its commit, on the leader",
                                   commitBuckets))
    , m_commitCommands(
          m_metrics.summary("guavashift_fleet_commit_commands", "Commands that one commit carries"))
    , m_sync(m_metrics.histogram("guavashift_fleet_sync_seconds",
                                 "Sync of the leader's disk for one commit", syncBuckets))
    , m_readyToBound(m_metrics.histogram("guavashift_fleet_ready_to_bound_seconds",
                                         "From a task being ready to its binding's commit",
                                         readyToBoundBuckets))
    , m_leadershipChanges(m_metrics.counter("guavashift_fleet_leadership_changes_total",
                                            "Leaderships begun or ended"))
    , m_replicaAvailable(
          m_metrics.gauge("guavashift_fleet_replica_available", "1 while the replica takes part"))
    , m_silentVoters(m_metrics.gauge("guavashift_fleet_silent_voters",
                                     "Voters that do not answer this leader"))
    , m_longRunningWaits(m_metrics.gauge("guavashift_fleet_long_running_waits",
                                         "Long-running tasks that are not running"))
    , m_longRunningOldest(m_metrics.gauge("guavashift_fleet_long_running_oldest_seconds",
                                          "Age of the oldest of them"))
    , m_idleJobs(m_metrics.gauge("guavashift_fleet_idle_jobs",
                                 "Jobs of which nothing runs although there is capacity"))
    , m_evacuatedDomains(
          m_metrics.gauge("guavashift_fleet_evacuated", "Failure domains that are evacuated"))
    , m_load(m_metrics.gauge("guavashift_fleet_load", "Work due as a part of the room"))
    , m_endCommit(m_metrics.histogram("guavashift_fleet_agent_end_commit_seconds",
                                      "From a run's end being listed to the word of its commit",
                                      endCommitBuckets))
    , m_cut(m_metrics.counter("guavashift_fleet_cut_total", "Requests and connections cut"))
    , m_linesDropped(
          m_metrics.counter("guavashift_fleet_log_lines_dropped_total", "Log lines dropped"))
{
}

void FleetMetrics::roundEnded(Duration duration)
{
    m_round.Observe(seconds(duration));
}

void FleetMetrics::refused(CutReason)
{
    m_cut.Increment();
}

void FleetMetrics::committed(std::size_t commands, Duration commit, Duration sync)
{
    m_commitCommands.Observe(static_cast<double>(commands));
    m_commit.Observe(seconds(commit));
    m_sync.Observe(seconds(sync));
}

void FleetMetrics::bound(Duration sinceReady)
{
    m_readyToBound.Observe(seconds(sinceReady));
}

void FleetMetrics::leadershipChanged()
{
    m_leadershipChanges.Increment();
}

void FleetMetrics::setReplicaAvailable(bool available)
{
    m_isReplicaAvailable = available;
    updateReplicaAvailable();
}

void FleetMetrics::setStateUsable(bool isUsable)
{
    m_isStateUsable = isUsable;
    updateReplicaAvailable();
}

void FleetMetrics::updateReplicaAvailable()
{
    m_replicaAvailable.Set(m_isReplicaAvailable && m_isStateUsable ? 1 : 0);
}

void FleetMetrics::setSilentVoters(std::size_t voters)
{
    m_silentVoters.Set(static_cast<double>(voters));
}

void FleetMetrics::setLongRunningWaits(std::size_t tasks, Duration oldest)
{
    m_longRunningWaits.Set(static_cast<double>(tasks));
    m_longRunningOldest.Set(seconds(oldest));
}

void FleetMetrics::setIdleJobs(std::size_t jobs)
{
    m_idleJobs.Set(static_cast<double>(jobs));
}

void FleetMetrics::setEvacuatedDomains(std::size_t domains)
{
    m_evacuatedDomains.Set(static_cast<double>(domains));
}

void FleetMetrics::answered(CallKind kind, CallResult result)
{
    // Their counters would not fit on the page. Each of the few is logged.
    if (kind == CallKind::Evacuate || kind == CallKind::TakeBack)
        return;
    m_metrics
        .counter("guavashift_fleet_calls_total", "Calls answered as the leader",
                 {{"kind", std::string(nameOf(kind))}, {"result", std::string(nameOf(result))}})
        .Increment();
}

void FleetMetrics::setLoad(double load)
{
    // A page of metrics has room for few digits.
    constexpr double precision = 100;
    m_load.Set(std::round(load * precision) / precision);
}

void FleetMetrics::nearWaitEnded(NearOutcome outcome)
{
    // The page has no room for the others, which are logged.
    if (outcome != NearOutcome::NearPlace)
        return;
    m_metrics.counter("guavashift_fleet_near_total", "Waits that got a near place").Increment();
}

void FleetMetrics::finished(CallResult result, Duration waited)
{
    m_metrics
        .histogram("guavashift_fleet_entry_answer_seconds", "From a call's arrival to its answer",
                   answerBuckets, {{"result", std::string(nameOf(result))}})
        .Observe(seconds(waited));
}

void FleetMetrics::setWaiting(std::size_t calls)
{
    m_metrics.gauge("guavashift_fleet_entry_waiting", "Calls that wait for an answer")
        .Set(static_cast<double>(calls));
}

void FleetMetrics::refused(std::string_view reason)
{
    m_metrics
        .counter("guavashift_fleet_entry_refused_total",
                 "Calls refused as not done without an answer of a leader",
                 {{"reason", std::string(reason)}})
        .Increment();
}

void FleetMetrics::polled()
{
    m_metrics.counter("guavashift_fleet_agent_looks_total", "Looks at the worker").Increment();
}

void FleetMetrics::startAnswered(WorkerCallResult result)
{
    m_metrics
        .counter("guavashift_fleet_agent_starts_total", "Starts that the worker answered or not",
                 {{"result", std::string(nameOf(result))}})
        .Increment();
}

void FleetMetrics::endCommitted(Duration sinceListed)
{
    m_endCommit.Observe(seconds(sinceListed));
}

std::string FleetMetrics::exposition()
{
    const std::uint64_t dropped = droppedLogLines();
    m_linesDropped.Increment(
        static_cast<double>(dropped - m_droppedLinesExported.exchange(dropped)));
    return m_metrics.shortExposition();
}

} // namespace guavashift
