#include <Guavashift/Channel/EventLoop.h>

#include <ace/Dev_Poll_Reactor.h>

namespace guavashift {

namespace {

/// Processor time that this thread has used.
Duration processorTime()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace

/// Only wakes the reactor; the work itself is in `m_posted`.
class EventLoop::WakeupHandler final : public ACE_Event_Handler
{
public:
    int handle_exception(ACE_HANDLE) override { return 0; } // NOLINT(readability-identifier-naming)
};

EventLoop::EventLoop(const EventLoopSettings &settings)
    : m_settings(settings)
    , m_wakeupHandler(std::make_unique<WakeupHandler>())
{
}

EventLoop::~EventLoop() = default;

Result<void> EventLoop::open()
{
    auto implementation = std::make_unique<ACE_Dev_Poll_Reactor>(m_settings.maxHandles, true);
    if (!implementation->initialized())
        return fail(ErrorCode::Io,
                    fmt::format("cannot open an event loop for {} handles", m_settings.maxHandles));
    m_reactor = std::make_unique<ACE_Reactor>(implementation.release(), true);
    return {};
}

void EventLoop::post(Work work)
{
    bool wake = false;
    {
        const std::lock_guard lock(m_mutex);
        wake = m_posted.empty();
        m_posted.push_back(std::move(work));
    }
    // One wake-up is enough for all work that is posted before the loop runs it.
    if (wake)
        m_reactor->notify(m_wakeupHandler.get());
}

EventLoop::TimerId EventLoop::after(Duration delay, Work work)
{
    const TimerId id = m_nextTimer++;
    const Instant at = BootClock::now() + delay;
    m_timers.emplace(std::pair(at, id), std::move(work));
    m_timerTimes.emplace(id, at);
    return id;
}

void EventLoop::cancel(TimerId timer)
{
    const auto found = m_timerTimes.find(timer);
    if (found == m_timerTimes.end())
        return;
    m_timers.erase({found->second, timer});
    m_timerTimes.erase(found);
}

void EventLoop::setUrgentWork(Duration interval, Work work)
{
    m_urgentInterval = interval;
    m_urgentWork = std::move(work);
}

void EventLoop::runUrgentWork()
{
    if (!m_urgentWork || BootClock::now() < m_nextUrgentWork)
        return;
    m_urgentWork();
    m_nextUrgentWork = BootClock::now() + m_urgentInterval;
}

void EventLoop::run()
{
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping)
                return;
        }
        runOnce();
    }
}

void EventLoop::runOnce(Duration maxWait)
{
    const bool isReady = waitForEvent(hasPosted() ? Duration::zero() : timeUntilNextTimer(maxWait));
    RoundTimes times;
    const Duration processorBefore = processorTime();
    Instant partBegan = BootClock::now();
    const auto endPart = [&partBegan] {
        const Instant now = BootClock::now();
        return now - std::exchange(partBegan, now);
    };
    if (isReady)
        times.events = dispatchEvents();
    times.dispatch = endPart();
    runPosted();
    times.posted = endPart();
    runTimers();
    times.timers = endPart();
    for (const Work &work : m_roundEndHandlers)
        work();
    times.handlers = endPart();
    times.endedAt = partBegan;
    times.processor = processorTime() - processorBefore;
    if (m_roundObserver)
        m_roundObserver(times);
}

bool EventLoop::waitForEvent(Duration maxWait)
{
    const ACE_Time_Value timeout(
        0, std::chrono::duration_cast<std::chrono::microseconds>(maxWait).count());
    return m_reactor->work_pending(timeout) > 0;
}

std::size_t EventLoop::dispatchEvents()
{
    // The reactor dispatches one event per call.
    ACE_Time_Value none;
    int dispatched = m_reactor->handle_events(none);
    std::size_t events = dispatched > 0 ? 1 : 0;
    const Instant start = BootClock::now();
    for (std::size_t taken = 1; dispatched > 0 && taken < m_settings.maxEventsPerRound; ++taken) {
        if (taken >= m_settings.minEventsPerRound
            && BootClock::now() - start >= m_settings.maxRoundDuration)
            return events;
        runUrgentWork();
        none = ACE_Time_Value::zero;
        dispatched = m_reactor->handle_events(none);
        events += dispatched > 0 ? 1 : 0;
    }
    return events;
}

void EventLoop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_reactor->notify(m_wakeupHandler.get());
}

bool EventLoop::hasPosted()
{
    const std::lock_guard lock(m_mutex);
    return !m_posted.empty();
}

void EventLoop::runPosted()
{
    std::deque<Work> posted;
    {
        const std::lock_guard lock(m_mutex);
        posted.swap(m_posted);
    }
    const Instant start = BootClock::now();
    while (!posted.empty()) {
        runUrgentWork();
        posted.front()();
        posted.pop_front();
        if (BootClock::now() - start >= m_settings.maxPostedDuration)
            break;
    }
    if (posted.empty())
        return;
    const std::lock_guard lock(m_mutex);
    std::move(m_posted.begin(), m_posted.end(), std::back_inserter(posted));
    m_posted.swap(posted);
}

void EventLoop::runTimers()
{
    const Instant now = BootClock::now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        const auto first = m_timers.begin();
        const Work work = std::move(first->second);
        m_timerTimes.erase(first->first.second);
        m_timers.erase(first);
        runUrgentWork();
        work();
    }
}

Duration EventLoop::timeUntilNextTimer(Duration maxWait) const
{
    if (m_timers.empty())
        return maxWait;
    const Duration wait = m_timers.begin()->first.first - BootClock::now();
    return std::clamp(wait, Duration::zero(), maxWait);
}

} // namespace guavashift
