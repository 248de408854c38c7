#pragma once

#include <Guavashift/Core/Core.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace guavashift {

struct HarmSettings
{
    /// Taken for a pair of images of which nothing has been seen: loss of headroom if the filler
    /// used the whole worker.
    double prior = 2;
    /// Weight of the prior, in squared activity over squared headroom.
    double priorWeight = 0.004;
    /// Weight of what an earlier table had learned, likewise.
    double adoptedWeight = 0.02;
    /// Harms above this are not believed.
    double most = 25;
    /// Part of what was learned that is kept from one solution to the next.
    double kept = 0.997;
    /// Spread of one observation, as a part of the headroom, for the margin added where little has
    /// been seen.
    double spread = 0.18;
    /// How many spreads the margin is.
    double margin = 0.3;
    /// Harms below this cannot be told from none and count as none.
    double negligible = 0.9;
};

/// Activity of fillers on one worker by image: processors in use as a part of the worker's.
using FillerActivity = std::map<std::string, double>;

/// A serving task's target over its tail latency: 1 at the target, more below it. What is left of a
/// queue's capacity, so it falls evenly as load is added, where the tail itself rises ever faster.
inline double headroom(double targetMs, double tailMs)
{
    // Tails are whole milliseconds; less than this cannot be told from nothing.
    constexpr double leastTailMs = 0.5;
    return targetMs / std::max(tailMs, leastTailMs);
}

/// Learns by how much fillers of one image lower the headroom of serving tasks of another, from how
/// headrooms change when the activity beside them changes. Headroom is taken to be the task's own
/// part less the sum of harm times activity. Pure.
class HarmTable final
{
public:
    explicit HarmTable(const HarmSettings &settings = {});

    /// The headroom of a serving task went from one value to another while the activity beside it
    /// changed so. Tails spread in proportion, so large headrooms say less.
    void observe(const std::string &serving, const FillerActivity &before,
                 const FillerActivity &now, double headroomBefore, double headroomNow);

    /// Takes over what an earlier table had learned of a pair, until more is seen of it.
    void adopt(const std::string &serving, const std::string &filler, double harm);

    /// Works out all harms anew from what was observed.
    void solve();

    [[nodiscard]] double harm(std::string_view serving, std::string_view filler) const;
    using Harms = std::map<std::string, double, std::less<>>;

    /// Changes whenever a harm may have changed; never 0.
    [[nodiscard]] std::uint64_t version() const { return m_version; }
    /// Of all fillers of which anything was seen beside that serving image, here or before.
    [[nodiscard]] const Harms &harmsTo(std::string_view serving) const;
    /// Whether anything was seen of the pair, here or before.
    [[nodiscard]] bool isKnown(std::string_view serving, std::string_view filler) const;
    /// By how much headroom is lowered by that activity.
    [[nodiscard]] double total(std::string_view serving, const FillerActivity &activity) const;

private:
    /// Sums of products for the regression of one serving image.
    struct Sums
    {
        std::vector<std::string> fillers;
        std::vector<std::vector<double>> products; ///< Of activity changes, by pair of fillers.
        std::vector<double> responses;             ///< Activity change times loss.
        Harms adopted;
        Harms harms;
        bool changed = false;
    };

    static std::size_t positionOf(Sums &sums, const std::string &filler);
    void solve(Sums &sums) const;
    [[nodiscard]] std::pair<double, double> priorOf(const Sums &sums,
                                                    std::string_view filler) const;

    HarmSettings m_settings;
    std::map<std::string, Sums, std::less<>> m_byServing;
    std::uint64_t m_version = 1;
};

} // namespace guavashift
