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
    /// Handles that the loop can watch. Opening fails above what the process may have.
    std::size_t maxHandles = 1024;
    /// Events that one round takes at most, so that busy peers cannot keep it from its end.
    std::size_t maxEventsPerRound = 512;
    /// Nor does a round that has taken `minEventsPerRound` take further ones once it has lasted
    /// this long. Wall time also passes while the machine withholds the processor, so it alone must
    /// not end a round.
    Duration maxRoundDuration = std::chrono::milliseconds(10);
    std::size_t minEventsPerRound = 64;
};

/// One thread that waits for sockets, timers and work posted by other threads. Everything that a
/// role believes is changed on this thread only, so it needs no locks.
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

    /// Carries out `work` soon on the loop's thread. Callable from any thread.
    void post(Work work);

    /// Carries out `work` once after `delay`. Only on the loop's thread.
    TimerId after(Duration delay, Work work);
    void cancel(TimerId timer);

    /// Called after each round of events, before waiting again. A round takes all events that are
    /// ready, within the limits of the settings, so what `work` costs is shared by them.
    void addRoundEndHandler(Work work) { m_roundEndHandlers.push_back(std::move(work)); }

    /// Runs until stop().
    void run();
    /// One round: waits for events, at most `maxWait`, and carries out what is due.
    void runOnce(Duration maxWait = std::chrono::milliseconds(500));
    /// Callable from any thread.
    void stop();

    [[nodiscard]] ACE_Reactor &reactor() { return *m_reactor; }

private:
    class WakeupHandler;

    void dispatchEvents(Duration maxWait);
    void runPosted();
    void runTimers();
    [[nodiscard]] Duration timeUntilNextTimer(Duration maxWait) const;

    EventLoopSettings m_settings;
    // Notifications that the reactor still holds at its end refer to the waker.
    std::unique_ptr<WakeupHandler> m_wakeupHandler;
    std::unique_ptr<ACE_Reactor> m_reactor;
    std::mutex m_mutex;
    std::deque<Work> m_posted;
    bool m_stopping = false;
    std::map<std::pair<Instant, TimerId>, Work> m_timers;
    std::map<TimerId, Instant> m_timerTimes;
    TimerId m_nextTimer = 1;
    std::vector<Work> m_roundEndHandlers;
};

} // namespace guavashift
