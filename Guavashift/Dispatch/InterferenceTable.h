#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace guavashift {

/// Parameters of the regression in InterferenceTable.
struct InterferenceTableSettings
{
    /// Interference assumed for an unobserved pair of images: headroom lost if the best-effort
    /// image used the whole worker.
    double prior = 2;
    /// Weight of the prior, in squared activity over squared headroom.
    double priorWeight = 0.004;
    /// Weight of interference adopted from an earlier table, in the same unit.
    double adoptedWeight = 0.02;
    /// Upper limit of an estimate.
    double maxInterference = 25;
    /// Share of the accumulated observations that each solution keeps for the next.
    double retention = 0.997;
    /// Standard deviation of one observation, as a share of the headroom. Determines the margin
    /// that is added for pairs with few observations.
    double observationSpread = 0.18;
    /// Size of the margin, in standard deviations of the estimate.
    double marginSpreads = 0.4;
    /// Estimates below this cannot be told from 0. They count as 0 if that holds within the margin
    /// too.
    double negligible = 0.35;
    /// Largest sum of such an estimate and its margin that counts as 0.
    double negligibleBound = 0.9;
};

/// Activity of best-effort tasks on one worker by image: processors in use as a share of the
/// worker's processors.
using BestEffortActivity = std::map<std::string, double>;

/// State of one worker that runs tasks of a latency-critical step, at about the same time as that
/// of others.
struct HeadroomSample
{
    double headroom = 0; ///< Mean of the step's tasks there.
    const BestEffortActivity *activity = nullptr;
};

/// Ratio of a latency-critical task's target to its tail latency: 1 at the target, more below it.
/// Corresponds to the remaining capacity of a queue, so it falls linearly as load is added, whereas
/// the tail latency itself rises ever faster.
inline double headroom(double targetMs, double tailMs)
{
    // Tails are measured in whole milliseconds; less than this cannot be told from 0.
    constexpr double minTailMs = 0.5;
    return targetMs / std::max(tailMs, minTailMs);
}

/// Learns by how much best-effort tasks of one image lower the headroom of latency-critical tasks
/// of another image, from differences of headroom that accompany differences of activity: between
/// workers, or between two reports of one worker. Models the headroom as a part that the task has
/// by itself less the sum of interference times activity. Performs no I/O and reads no clock.
class InterferenceTable final
{
public:
    explicit InterferenceTable(const InterferenceTableSettings &settings = {});

    /// Records that the headroom of a latency-critical task changed while the activity of
    /// best-effort tasks on its worker changed. The spread of tail latencies is proportional to
    /// them, so observations at large headroom count less.
    void observe(const std::string &latencyCriticalImage, const BestEffortActivity &before,
                 const BestEffortActivity &now, double headroomBefore, double headroomNow);

    /// Records how the headroom of the tasks of one step differs between workers whose best-effort
    /// activity differs. The tasks share one load, so its variation has no part in the difference.
    void compare(const std::string &latencyCriticalImage, std::span<const HeadroomSample> samples);

    /// Uses the interference that an earlier table learned for a pair as its prior.
    void adopt(const std::string &latencyCriticalImage, const std::string &bestEffortImage,
               double interference);

    /// Recomputes all estimates from the observations.
    void solve();

    [[nodiscard]] double interference(std::string_view latencyCriticalImage,
                                      std::string_view bestEffortImage) const;
    using InterferenceByImage = std::map<std::string, double, std::less<>>;

    /// Changes whenever an estimate may have changed; never 0.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Estimates for all best-effort images observed with that latency-critical image or adopted
    /// for it.
    [[nodiscard]] const InterferenceByImage &
    interferenceOn(std::string_view latencyCriticalImage) const;
    /// Whether the pair was observed or adopted.
    [[nodiscard]] bool isKnown(std::string_view latencyCriticalImage,
                               std::string_view bestEffortImage) const;
    /// Headroom that a task of that image loses to `activity`.
    [[nodiscard]] double total(std::string_view latencyCriticalImage,
                               const BestEffortActivity &activity) const;

private:
    /// Sums of products for the regression of one latency-critical image.
    struct Sums
    {
        std::vector<std::string> bestEffortImages;
        std::vector<std::vector<double>> products; ///< Of activity changes, by pair of images.
        std::vector<double> responses;             ///< Activity change times loss of headroom.
        InterferenceByImage adopted;
        InterferenceByImage estimates;
        bool changed = false;
    };

    /// Differences of activity by position in `Sums::bestEffortImages`, scaled like the loss.
    using ActivityDifferences = std::vector<std::pair<std::size_t, double>>;

    /// Adds one observation to the sums of the regression.
    static void add(Sums &sums, const ActivityDifferences &differences, double loss);
    static std::size_t positionOf(Sums &sums, const std::string &bestEffortImage);
    void solve(Sums &sums) const;
    [[nodiscard]] std::pair<double, double> priorOf(const Sums &sums,
                                                    std::string_view bestEffortImage) const;

    InterferenceTableSettings m_settings;
    std::map<std::string, Sums, std::less<>> m_byLatencyCriticalImage;
    std::uint64_t m_version = 1;
};

} // namespace guavashift
