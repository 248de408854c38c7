#pragma once

#include <Guavashift/Dispatch/Dispatch.h>

#include <optional>
#include <set>
#include <span>

namespace guavashift {

/// Conditions for throttling or pausing best-effort tasks co-located with latency-critical tasks.
struct ThrottlerSettings
{
    /// Part of its target up to which the tail of a latency-critical task may rise.
    double targetFraction = 0.82;
    /// Nothing is throttled by interference for a task whose tail would be above this part of its
    /// target even without best-effort tasks.
    double unattainable = 1.3;
    /// Time until a new share shows in the tail: headroom is reserved for its fall until then.
    Duration headroomForecast = std::chrono::milliseconds(400);
    /// Images with less interference are not throttled for a task, nor rise in steps: that would
    /// cost them much and gain the task little.
    double minThrottledInterference = 1.5;
    /// Images with less interference are not paused for a task over its target, unless all are.
    double minPausedInterference = 0.9;
    /// Interference assumed for activity that has not shown its effect on the tails yet.
    double unconfirmedInterference = 5;
    /// Time in which it shows: until a new share takes effect, and one reading more.
    Duration confirmationTime = std::chrono::milliseconds(300);
    /// Least rise of the activity of one image, as a part of the worker's processors.
    double minRise = 0.02;
    /// After this long over the target, all best-effort tasks that may interfere with the task are
    /// paused. Two readings.
    Duration pauseAfter = std::chrono::milliseconds(450);
    /// After this long over the target, all best-effort tasks are paused, whatever interference was
    /// learned.
    Duration pauseAllAfter = std::chrono::milliseconds(1500);
    /// Shortest pause: until a new share takes effect, and two readings more.
    Duration minPause = std::chrono::milliseconds(700);
    /// A pause continues while a spike masks a tail, but no longer than this.
    Duration maxPause = std::chrono::milliseconds(3000);
    /// Time for which nothing is paused for a task that stayed over its target although all
    /// best-effort tasks were paused: they are not the cause.
    Duration exemption = std::chrono::milliseconds(2500);
};

/// Tail latency of one latency-critical task and its target, in milliseconds.
struct TailReading
{
    TaskRef task;
    std::string image;
    std::optional<double> tailMs; ///< Empty: not known, masked by a spike.
    double targetMs = 0;
};

/// Processor demand and usage of one best-effort task, as parts of the worker's processors.
struct BestEffortUsage
{
    std::string image;
    double wanted = 0;
    double used = 0;
};

/// Chooses the processor shares of the best-effort tasks on one worker, by image. Allows as much
/// activity as keeps latency-critical tails within their limits by the learned interference, and
/// throttles images with the most interference first. Lets the activity of images that may
/// interfere rise in steps: what was learned may be wrong, and the effect shows late. Pauses
/// best-effort tasks when a tail stays over its target, in the end all, whatever was learned.
/// Performs no I/O and reads no clock.
class Throttler final
{
public:
    using Shares = std::map<std::string, double>;

    explicit Throttler(const ThrottlerSettings &settings = {});

    /// Replaces the known interference of the pairs of images in `rows`.
    void learn(std::span<const InterferenceRow> rows);
    /// Returns the interference of all pairs of images that learn() was given.
    [[nodiscard]] std::vector<InterferenceRow> learned() const;

    /// Returns the shares by image, 0 (paused) to 1 (not throttled), from readings taken at `now`.
    Shares update(std::span<const TailReading> latencyCritical,
                  std::span<const BestEffortUsage> bestEffort, Instant now);

private:
    struct TrackedTask
    {
        HeadroomTrend baseHeadroom; ///< Headroom without best-effort tasks.
        Instant violatingSince;
        bool isViolating = false;
        bool isMasked = false;
        Instant exemptUntil;
        Instant readAt;
    };

    /// Activity of one best-effort image.
    struct TrackedActivity
    {
        double confirmed = 0; ///< Was in effect without a tail over its target.
        double allowed = 0;   ///< By the latest shares.
        Instant risenAt;
        Instant readAt;
    };

    /// Whether the image is paused for a task over its target.
    [[nodiscard]] bool mayInterfere(const std::string &latencyCriticalImage,
                                    const std::string &bestEffortImage) const;
    /// Lowers shares that would raise the activity of an image by more than one step.
    void limitRise(std::span<const TailReading> latencyCritical, const BestEffortActivity &wanted,
                   Shares &shares, Instant now);
    /// Records the activity that the shares allow, for the next update.
    void trackActivity(const BestEffortActivity &wanted, const Shares &shares, Instant now);
    [[nodiscard]] double interferenceOf(const std::string &latencyCriticalImage,
                                        const std::string &bestEffortImage) const;
    void track(const TailReading &reading, const BestEffortActivity &used, Instant now);
    void throttleFor(const TailReading &reading, const BestEffortActivity &wanted,
                     Shares &shares) const;
    void pauseOnViolation(std::span<const TailReading> latencyCritical, Shares &shares,
                          Instant now);
    void startPause(std::span<const TailReading> latencyCritical, Instant now);
    void endPause(Instant now);

    ThrottlerSettings m_settings;
    std::map<std::pair<std::string, std::string>, double> m_interference;
    std::map<TaskRef, TrackedTask> m_tracked;
    std::map<std::string, TrackedActivity> m_activity; ///< By best-effort image.
    Instant m_pausedSince;
    bool m_paused = false;
    bool m_allPaused = false;
    std::set<std::string> m_pausedFor; ///< Images of the latency-critical tasks over target.
};

} // namespace guavashift
