#pragma once

#include <Guavashift/Core/Core.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace guavashift {

struct RunTimesSettings
{
    /// Number of runs after which an earlier one counts half.
    double halfLifeRuns = 64;
    /// Declared time, in milliseconds, that estimates count for until runs have ended: one run that
    /// took long says little about its kind.
    double priorMs = 8000;
    /// Limits of the factor: a run may have waited for reasons that say nothing about its kind.
    double leastFactor = 0.2;
    double greatestFactor = 8;
    /// Most kinds that are kept. Others are judged by their queue.
    std::size_t maxKinds = 1000;
};

/// How long runs really take against the estimates that their callers declared, by queue and image.
/// Whatever slows runs down is part of it: throttling, data on another rack, slow workers.
///
/// Sums of actual and of declared times are compared, not single ratios: estimates that are off to
/// either side then even out, and long runs weigh as much as the room that they take.
class RunTimes final
{
public:
    explicit RunTimes(const RunTimesSettings &settings = {});

    /// Records a run that went from its start to its end. Times in milliseconds.
    void ended(std::string_view queue, std::string_view image, std::int64_t estimateMs,
               std::int64_t actualMs);
    /// Time that a run with this estimate is expected to take, in milliseconds; at least 1.
    [[nodiscard]] double expectedMs(std::string_view queue, std::string_view image,
                                    std::int64_t estimateMs) const;
    void clear();

private:
    struct Sums
    {
        double actualMs = 0;
        double declaredMs = 0;
    };
    using Key = std::pair<std::string, std::string>;

    void add(Sums &sums, double declaredMs, double actualMs) const;

    RunTimesSettings m_settings;
    double m_decay;
    std::map<std::string, Sums, std::less<>> m_queues;
    std::map<Key, Sums, std::less<>> m_kinds;
};

} // namespace guavashift
