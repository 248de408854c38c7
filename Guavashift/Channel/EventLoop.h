#pragma once

#include <Guavashift/Core/Core.h>

#include <ace/Event_Handler.h>
#include <ace/Reactor.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace guavashift {

struct EventLoopSettings
{
    /// Handles that the loop can watch. open() fails if the process may not have that many.
    std::size_t maxHandles = 1024;
    /// Maximum of events dispatched in one round, so that busy peers cannot prolong it endlessly.
    std::size_t maxEventsPerRound = 512;
    /// A round that has lasted this long dispatches no more events once it has dispatched
    /// `minEventsPerRound`. Elapsed time alone does not end a round, since it also passes while the
    /// thread gets no processor time.
    Duration maxRoundDuration = std::chrono::milliseconds(10);
    std::size_t minEventsPerRound = 64;
    /// Longest time that a round spends on posted work, of which it runs at least one unit. The
    /// rest follows in the next round, so that the round-end handlers do not wait for all of it.
    Duration maxPostedDuration = std::chrono::milliseconds(50);
};

/// Durations of one round and its parts, without the wait for its first event.
struct RoundTimes
{
    Instant endedAt;
    std::size_t events = 0;
    Duration dispatch = Duration::zero(); ///< Of these events.
    Duration posted = Duration::zero();   ///< Work posted by other threads.
    Duration timers = Duration::zero();
    Duration handlers = Duration::zero();  ///< Round-end handlers.
    Duration processor = Duration::zero(); ///< Processor time that the thread used.

    [[nodiscard]] Duration total() const { return dispatch + posted + timers + handlers; }
};

/// Single-threaded event loop for sockets, timers and work posted by other threads. A role's state
/// is changed on the loop's thread only, so it needs no locks.
class EventLoop final
{
public:
    using Work = std::function<void()>;
    using TimerId = std::uint64_t;

    explicit EventLoop(const EventLoopSettings &settings);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Opens the loop. Fails if the process may not have that many handles.
    Result<void> open();

    /// Queues `work` to run on the loop's thread. Callable from any thread.
    void post(Work work);

    /// Runs `work` once after `delay`. Callable on the loop's thread only.
    TimerId after(Duration delay, Work work);
    void cancel(TimerId timer);

    /// Adds `work` to run at the end of each round, before the loop waits again. A round dispatches
    /// all ready events within the limits of the settings, so they share the cost of `work`.
    void addRoundEndHandler(Work work) { m_roundEndHandlers.push_back(std::move(work)); }

    /// Called after the end handlers of each round. Replaces an earlier observer; empty: none.
    void setRoundObserver(std::function<void(const RoundTimes &)> observer)
    {
        m_roundObserver = std::move(observer);
    }

    /// Sets `work` to run between two units of work of a round (an event, posted work or a timer)
    /// whenever it has not run for `interval`. For work with deadlines that a long round would
    /// miss; it must be short.
    void setUrgentWork(Duration interval, Work work);

    /// Runs until stop().
    void run();
    /// Runs one round: waits for events for at most `maxWait`, dispatches them, then runs posted
    /// work, due timers and the round's end handlers.
    void runOnce(Duration maxWait = std::chrono::milliseconds(500));
    /// Ends run() after the current round. Callable from any thread.
    void stop();

    [[nodiscard]] ACE_Reactor &reactor() { return *m_reactor; }

private:
    class WakeupHandler;

    [[nodiscard]] bool waitForEvent(Duration maxWait);
    /// Dispatches the events that are ready and returns their number.
    std::size_t dispatchEvents();
    void runUrgentWork();
    [[nodiscard]] bool hasPosted();
    void runPosted();
    void runTimers();
    [[nodiscard]] Duration timeUntilNextTimer(Duration maxWait) const;

    EventLoopSettings m_settings;
    // Declared before the reactor, whose pending notifications refer to it until it is destroyed.
    std::unique_ptr<WakeupHandler> m_wakeupHandler;
    std::unique_ptr<ACE_Reactor> m_reactor;
    std::mutex m_mutex;
    std::deque<Work> m_posted;
    bool m_stopping = false;
    std::map<std::pair<Instant, TimerId>, Work> m_timers;
    std::map<TimerId, Instant> m_timerTimes;
    TimerId m_nextTimer = 1;
    std::vector<Work> m_roundEndHandlers;
    std::function<void(const RoundTimes &)> m_roundObserver;
    Work m_urgentWork;
    Duration m_urgentInterval = Duration::zero();
    Instant m_nextUrgentWork;
};

} // namespace guavashift
