#pragma once

#include <Guavashift/Channel/Channel.h>
#include <Guavashift/Fleet/Fleet.h>

namespace guavashift {

/// A worker in memory that keeps the rules of a real one: fencing tokens, run numbers, leases on
/// its own clock, ends listed until they are acknowledged. Tasks take as long as the test says.
class FakeWorker final : public WorkerPort
{
public:
    FakeWorker(EventLoop &loop, std::string id, std::int64_t born);

    /// The next starts get no answer and are not carried out.
    void dropStarts(int count) { m_startsToDrop = count; }
    /// Answers to calls made so far are dropped: their caller is gone.
    void disconnect() { ++m_connectionEpoch; }
    void setTaskTime(Duration time) { m_taskTime = time; }
    /// Whether polls get no answer. Starts are still carried out.
    void ignorePolls(bool ignore) { m_ignoresPolls = ignore; }
    /// All that runs ends as done now.
    void finishAll();
    [[nodiscard]] WorkerFacts facts() const;
    [[nodiscard]] std::size_t running() const { return m_running.size(); }
    /// How often it was looked at.
    [[nodiscard]] int polls() const { return m_polls; }
    /// The shortest time between two polls of which the second acknowledged nothing more and was
    /// answered at once.
    [[nodiscard]] std::optional<Duration> shortestIdlePoll() const { return m_shortestIdlePoll; }
    /// Ends that have not been acknowledged yet.
    [[nodiscard]] std::size_t listed() const { return m_listed.size(); }
    /// Starts that were carried out, by task.
    [[nodiscard]] const std::map<TaskRef, int> &starts() const { return m_starts; }
    /// Whether a task ever ran twice at the same time or after it was done.
    [[nodiscard]] bool sawDuplicateRun() const { return m_sawDuplicateRun; }

    void poll(const PollRequest &request, Callback callback) override;
    void start(const StartRequest &request, Callback callback) override;
    void stop(const StopRequest &request, Callback callback) override;
    void throttle(const ThrottleRequest &request, Callback callback) override;

private:
    using Key = std::pair<TaskRef, std::uint32_t>;

    [[nodiscard]] std::int64_t clockMs() const;
    [[nodiscard]] WorkerReply reply(WorkerCallResult result) const;
    bool acceptFence(std::uint64_t fence);
    /// Answers a look once an end is listed or its wait is over.
    void answerPoll(Instant waitsUntil, const Callback &callback);
    void end(const Key &key, RunEnd how);
    void expire();

    EventLoop &m_loop;
    std::string m_id;
    std::int64_t m_born;
    Instant m_startedAt;
    Duration m_taskTime = std::chrono::milliseconds(50);
    int m_startsToDrop = 0;
    bool m_ignoresPolls = false;
    std::uint64_t m_fence = 0;
    std::int64_t m_untilMs = 0;
    std::uint64_t m_ends = 0;
    std::map<Key, Instant> m_running;
    std::map<TaskRef, std::uint32_t> m_highest;
    std::vector<ListedEnd> m_listed;
    std::map<TaskRef, int> m_starts;
    std::set<TaskRef> m_done;
    bool m_sawDuplicateRun = false;
    int m_connectionEpoch = 0;
    int m_polls = 0;
    Instant m_polledAt;
    std::uint64_t m_seenUpTo = 0;
    std::optional<Duration> m_shortestIdlePoll;
};

} // namespace guavashift
