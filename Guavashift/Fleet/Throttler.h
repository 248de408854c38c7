#pragma once

#include <Guavashift/Dispatch/Dispatch.h>

#include <optional>
#include <set>
#include <span>

namespace guavashift {

/// How fillers beside serving tasks are slowed and let go again.
struct ThrottlerSettings
{
    /// Part of its target that a serving task's tail may be driven to.
    double targetFraction = 0.82;
    /// A task whose tail would be above this part of its target without fillers is over it
    /// whatever they do.
    double unattainable = 1.3;
    /// Weight of the newestWeight reading of a task's baseHeadroom part.
    double newestWeight = 0.4;
    /// After this long over target all fillers that may harm the task minPause: two readings.
    Duration pauseAfter = std::chrono::milliseconds(450);
    /// After this long all minPause, whatever was learned.
    Duration pauseAllAfter = std::chrono::milliseconds(1500);
    /// How long they minPause at least: until a new share acts, and two readings more.
    Duration minPause = std::chrono::milliseconds(700);
    /// Where an outburst hides the tail, they minPause until it is seen, but not longer than this.
    Duration maxPause = std::chrono::milliseconds(3000);
    /// How long a task that minPause did not help is taken to be over by its baseHeadroom doing.
    Duration exemption = std::chrono::milliseconds(2500);
};

/// One serving task's tail against its target, in milliseconds.
struct TailReading
{
    TaskRef task;
    std::string image;
    std::optional<double> tailMs; ///< Nothing: not known, after an outburst.
    double targetMs = 0;
};

/// One filler: what it could use and what it uses, as parts of the worker's processors.
struct BestEffortUsage
{
    std::string image;
    double wanted = 0;
    double used = 0;
};

/// Chooses the share of the fillers on one worker, by image: as much activity as the tails of the
/// serving tasks beside them bear by the learned harms, the least harmful first; and whatever was
/// learned, minPause for all when a tail stays over its target. Pure.
class Throttler final
{
public:
    using Shares = std::map<std::string, double>;

    explicit Throttler(const ThrottlerSettings &settings = {});

    void learn(std::span<const HarmRow> rows);
    /// All that was learned.
    [[nodiscard]] std::vector<HarmRow> learned() const;

    /// Parts of full speed by image, from what was read at `now`.
    Shares update(std::span<const TailReading> serving, std::span<const BestEffortUsage> fillers,
                  Instant now);

private:
    struct TrackedTask
    {
        double baseHeadroom = 0; ///< Headroom without fillers; smoothed.
        Instant violatingSince;
        bool isViolating = false;
        bool isMasked = false;
        Instant exemptUntil;
        Instant readAt;
    };

    [[nodiscard]] double interferenceOf(const std::string &serving,
                                        const std::string &filler) const;
    void track(const TailReading &reading, const FillerActivity &used, Instant now);
    void throttleFor(const TailReading &reading, const FillerActivity &wanted,
                     Shares &shares) const;
    void pauseOnViolation(std::span<const TailReading> serving, Shares &shares, Instant now);
    void startPause(std::span<const TailReading> serving, Instant now);
    void endPause(Instant now);

    ThrottlerSettings m_settings;
    std::map<std::pair<std::string, std::string>, double> m_interference;
    std::map<TaskRef, TrackedTask> m_tracked;
    Instant m_pausedSince;
    bool m_paused = false;
    bool m_allPaused = false;
    std::set<std::string> m_pausedFor; ///< Images of the serving tasks that minPause is for.
};

} // namespace guavashift
