#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavashift {

struct InterferenceTableSettings
{
    /// Taken for a pair of images of which nothing has been seen: loss of headroom if the filler
    /// used the whole worker.
    double prior = 2;
    /// Weight of the prior, in squared activity over squared headroom.
    double priorWeight = 0.004;
    /// Weight of what an earlier table had learned, likewise.
    double adoptedWeight = 0.02;
    /// InterferenceByImage above this are not believed.
    double maxInterference = 25;
    /// Part of what was learned that is retention from one solution to the next.
    double retention = 0.997;
    /// Spread of one observation, as a part of the headroom, for the marginSpreads added where
    /// little has been seen.
    double observationSpread = 0.18;
    /// How many spreads the marginSpreads is.
    double marginSpreads = 0.3;
    /// InterferenceByImage below this cannot be told from none and count as none.
    double negligible = 0.9;
};

/// Activity of fillers on one worker by image: processors in use as a part of the worker's.
using BestEffortActivity = std::map<std::string, double>;

/// A serving task's target over its tail latency: 1 at the target, more below it. What is left of a
/// queue's capacity, so it falls evenly as load is added, where the tail itself rises ever faster.
inline double headroom(double targetMs, double tailMs)
{
    // Tails are whole milliseconds; less than this cannot be told from nothing.
    constexpr double minTailMs = 0.5;
    return targetMs / std::max(tailMs, minTailMs);
}

/// Learns by how much fillers of one image lower the headroom of serving tasks of another, from how
/// headrooms change when the activity beside them changes. Headroom is taken to be the task's own
/// part less the sum of interference times activity. Pure.
class InterferenceTable final
{
public:
    explicit InterferenceTable(const InterferenceTableSettings &settings = {});

    /// The headroom of a serving task went from one value to another while the activity beside it
    /// changed so. Tails observationSpread in proportion, so large headrooms say less.
    void observe(const std::string &latencyCriticalImage, const BestEffortActivity &before,
                 const BestEffortActivity &now, double headroomBefore, double headroomNow);

    /// Takes over what an earlier table had learned of a pair, until more is seen of it.
    void adopt(const std::string &latencyCriticalImage, const std::string &bestEffortImage,
               double interference);

    /// Works out all estimates anew from what was observed.
    void solve();

    [[nodiscard]] double interference(std::string_view latencyCriticalImage,
                                      std::string_view bestEffortImage) const;
    using InterferenceByImage = std::map<std::string, double, std::less<>>;

    /// Changes whenever a interference may have changed; never 0.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Of all fillers of which anything was seen beside that serving image, here or before.
    [[nodiscard]] const InterferenceByImage &
    interferenceOn(std::string_view latencyCriticalImage) const;
    /// Whether anything was seen of the pair, here or before.
    [[nodiscard]] bool isKnown(std::string_view latencyCriticalImage,
                               std::string_view bestEffortImage) const;
    /// By how much headroom is lowered by that activity.
    [[nodiscard]] double total(std::string_view latencyCriticalImage,
                               const BestEffortActivity &activity) const;

private:
    /// Sums of products for the regression of one serving image.
    struct Sums
    {
        std::vector<std::string> bestEffortImages;
        std::vector<std::vector<double>> products; ///< Of activity changes, by pair of fillers.
        std::vector<double> responses;             ///< Activity change times loss.
        InterferenceByImage adopted;
        InterferenceByImage estimates;
        bool changed = false;
    };

    static std::size_t positionOf(Sums &sums, const std::string &bestEffortImage);
    void solve(Sums &sums) const;
    [[nodiscard]] std::pair<double, double> priorOf(const Sums &sums,
                                                    std::string_view bestEffortImage) const;

    InterferenceTableSettings m_settings;
    std::map<std::string, Sums, std::less<>> m_byLatencyCriticalImage;
    std::uint64_t m_version = 1;
};

} // namespace guavashift
