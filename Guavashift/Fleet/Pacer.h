#pragma once

#include <Guavashift/Dispatch/Dispatch.h>

#include <optional>
#include <set>
#include <span>

namespace guavashift {

/// How fillers beside serving tasks are slowed and let go again.
struct PacerSettings
{
    /// Part of its target that a serving task's tail may be driven to.
    double limit = 0.82;
    /// A task whose tail would be above this part of its target without fillers is over it
    /// whatever they do.
    double hopeless = 1.3;
    /// Weight of the newest reading of a task's own part.
    double newest = 0.4;
    /// After this long over target all fillers that may harm the task rest: two readings.
    Duration overLimit = std::chrono::milliseconds(450);
    /// After this long all rest, whatever was learned.
    Duration longOver = std::chrono::milliseconds(1500);
    /// How long they rest at least: until a new pace acts, and two readings more.
    Duration rest = std::chrono::milliseconds(700);
    /// Where an outburst hides the tail, they rest until it is seen, but not longer than this.
    Duration longestRest = std::chrono::milliseconds(3000);
    /// How long a task that rest did not help is taken to be over by its own doing.
    Duration excuse = std::chrono::milliseconds(2500);
};

/// One serving task's tail against its target, in milliseconds.
struct ServingReading
{
    TaskRef task;
    std::string image;
    std::optional<double> tailMs; ///< Nothing: not known, after an outburst.
    double targetMs = 0;
};

/// One filler: what it could use and what it uses, as parts of the worker's processors.
struct FillerReading
{
    std::string image;
    double wanted = 0;
    double used = 0;
};

/// Chooses the pace of the fillers on one worker, by image: as much activity as the tails of the
/// serving tasks beside them bear by the learned harms, the least harmful first; and whatever was
/// learned, rest for all when a tail stays over its target. Pure.
class Pacer final
{
public:
    using Paces = std::map<std::string, double>;

    explicit Pacer(const PacerSettings &settings = {});

    void learn(std::span<const InterferenceRow> rows);
    /// All that was learned.
    [[nodiscard]] std::vector<InterferenceRow> learned() const;

    /// Parts of full speed by image, from what was read at `now`.
    Paces update(std::span<const ServingReading> serving, std::span<const FillerReading> fillers,
                 Instant now);

private:
    struct Watched
    {
        double own = 0; ///< Headroom without fillers; smoothed.
        Instant overSince;
        bool isOver = false;
        bool isHidden = false;
        Instant excusedUntil;
        Instant readAt;
    };

    [[nodiscard]] double harmOf(const std::string &serving, const std::string &filler) const;
    void watch(const ServingReading &reading, const BestEffortActivity &used, Instant now);
    void slowDownFor(const ServingReading &reading, const BestEffortActivity &wanted,
                     Paces &paces) const;
    void restIfOver(std::span<const ServingReading> serving, Paces &paces, Instant now);
    void beginRest(std::span<const ServingReading> serving, Instant now);
    void endRest(Instant now);

    PacerSettings m_settings;
    std::map<std::pair<std::string, std::string>, double> m_harms;
    std::map<TaskRef, Watched> m_watched;
    Instant m_restSince;
    bool m_resting = false;
    bool m_allRest = false;
    std::set<std::string> m_restFor; ///< Images of the serving tasks that rest is for.
};

} // namespace guavashift
