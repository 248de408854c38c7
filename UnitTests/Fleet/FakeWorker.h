#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/Fleet.h>

namespace guavashift {

/// A worker in memory that follows the rules of a real one: fencing tokens, run numbers, leases on
/// its own clock, ends listed until they are acknowledged. The test sets how long tasks take.
class FakeWorker final : public WorkerPort
{
public:
    FakeWorker(EventLoop &loop, std::string id, std::int64_t born);

    /// Drops the next `count` starts: they get no answer and are not carried out.
    void dropStarts(int count) { m_startsToDrop = count; }
    /// Drops the answers to open polls, as if the agent's connections had closed.
    void disconnect() { ++m_connectionEpoch; }
    /// Whether an acknowledgement also holds for ends of lower numbers that come after it.
    void setKeepsAcknowledgements(bool keeps) { m_keepsAcknowledgements = keeps; }
    /// Begins another lifetime at once. Open calls get no answer.
    void restart();
    /// Sets how far the birth of the next lifetime lies after that of the one before; below 0 if
    /// the time of day is set back.
    void setBirthStep(std::int64_t step) { m_birthStep = step; }
    /// Sets how many ends it lists at a time.
    void setEndsPerList(std::size_t count) { m_endsPerList = count; }
    /// Sets the failure domain that it reports from now on.
    void setZone(std::string zone) { m_zone = std::move(zone); }
    void setTaskTime(Duration time) { m_taskTime = time; }
    /// Sets whether polls get no answer. Starts are still carried out.
    void ignorePolls(bool ignore) { m_ignoresPolls = ignore; }
    /// Makes all calls from now on get this result. None is carried out.
    void failAll(WorkerCallResult result) { m_failsWith = result; }
    /// Ends the worker's program shortly after each start of a task of that job.
    void crashOn(std::string job) { m_deadlyJob = std::move(job); }
    /// Ends the worker's program. It begins a new lifetime after `downtime` and calls `restarted`.
    void crash();
    void setRestarted(std::function<void()> restarted) { m_restarted = std::move(restarted); }
    [[nodiscard]] int crashes() const { return m_crashes; }
    /// Ends all runs with this result.
    void finishAll(RunEnd result = RunEnd::Done);
    [[nodiscard]] WorkerFacts facts() const;
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    /// Number of polls received.
    [[nodiscard]] int polls() const { return m_polls; }
    /// Shortest time between two polls of which the second acknowledged no further end although
    /// ends were listed, so that it was answered at once.
    [[nodiscard]] std::optional<Duration> shortestIdlePoll() const { return m_shortestIdlePoll; }
    /// Number of ends that are not acknowledged yet.
    [[nodiscard]] std::size_t listed() const { return m_listed.size(); }
    /// Starts that were carried out, by task.
    [[nodiscard]] const std::map<TaskRef, int> &starts() const { return m_starts; }
    /// Whether a task was started while another run of it was running or after it was done.
    [[nodiscard]] bool sawDuplicateRun() const { return m_sawDuplicateRun; }

    void poll(const PollRequest &request, Callback callback) override;
    void probe(const ProbeRequest &request, Callback callback) override;
    void start(const StartRequest &request, Callback callback) override;
    void stop(const StopRequest &request, Callback callback) override;
    void throttle(const ThrottleRequest &request, Callback callback) override;

    static constexpr Duration crashDelay = std::chrono::milliseconds(10);
    static constexpr Duration downtime = std::chrono::milliseconds(400);

private:
    using Key = std::pair<TaskRef, std::uint32_t>;

    [[nodiscard]] std::int64_t clockMs() const;
    [[nodiscard]] WorkerReply reply(WorkerCallResult result) const;
    /// The connection on which the agent's calls arrive now.
    [[nodiscard]] WorkerConnection connection() const;
    [[nodiscard]] bool reaches(const WorkerConnections &connections) const;
    void notSent(const Callback &callback);
    void beginLifetime();
    bool acceptFence(std::uint64_t fence);
    void fail(const Callback &callback);
    /// Answers a poll once an end is listed or its wait is over.
    void answerPoll(Instant waitsUntil, const Callback &callback);
    void end(const Key &key, RunEnd result);
    void expire();

    EventLoop &m_loop;
    std::string m_id;
    std::string m_zone;
    std::int64_t m_born;
    std::int64_t m_birthStep = 1;
    Instant m_startedAt;
    Duration m_taskTime = std::chrono::milliseconds(50);
    std::size_t m_endsPerList = 500;
    int m_startsToDrop = 0;
    bool m_ignoresPolls = false;
    bool m_keepsAcknowledgements = false;
    std::optional<WorkerCallResult> m_failsWith;
    std::string m_deadlyJob;
    std::function<void()> m_restarted;
    int m_crashes = 0;
    std::uint64_t m_fence = 0;
    std::int64_t m_untilMs = 0;
    std::uint64_t m_ends = 0;
    std::uint64_t m_acknowledgedUpTo = 0; ///< The highest of the lifetime.
    std::map<Key, Instant> m_running;
    std::map<TaskRef, std::uint32_t> m_highestRun;
    std::vector<ListedEnd> m_listed;
    std::map<TaskRef, int> m_starts;
    std::set<TaskRef> m_done;
    bool m_sawDuplicateRun = false;
    int m_connectionEpoch = 0;
    int m_polls = 0;
    Instant m_polledAt;
    std::optional<Duration> m_shortestIdlePoll;
};

} // namespace guavashift
