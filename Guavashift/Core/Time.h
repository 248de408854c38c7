#pragma once

#include <chrono>
#include <cstdint>
#include <ctime>

namespace guavashift {

/// Length of time in nanoseconds.
using Duration = std::chrono::nanoseconds;

/// Clock that keeps counting while the VM is suspended (CLOCK_BOOTTIME) and never steps. Used for
/// leases and timers.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now()
    {
        timespec spec{};
        clock_gettime(CLOCK_BOOTTIME, &spec);
        return time_point(std::chrono::seconds(spec.tv_sec)
                          + std::chrono::nanoseconds(spec.tv_nsec));
    }
};

/// Point in time on the BootClock of one VM. Not comparable between VMs.
using Instant = BootClock::time_point;

/// How long the VM has been suspended since it started.
inline Duration suspendedTime()
{
    return std::chrono::duration_cast<Duration>(
        BootClock::now().time_since_epoch() - std::chrono::steady_clock::now().time_since_epoch());
}

/// Wall-clock time in milliseconds since the Unix epoch. Used for times that VMs share: release
/// and due times, expiry of idempotency keys.
using WallMs = std::int64_t;

/// The current wall-clock time.
inline WallMs wallNow()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

/// Whole milliseconds in `duration`, rounded down.
constexpr std::int64_t toMs(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace guavashift
