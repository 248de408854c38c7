#pragma once

#include <PerformanceTest/LoadRun.h>
#include <PerformanceTest/OrderAudit.h>

namespace guavashift {

/// Counts of requests and latencies of successful ones in one second of a run.
struct LoadSecond
{
    double at = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    double p50Ms = 0;
    double p99Ms = 0;
};

/// Latency in milliseconds that `percent` of the successful samples do not exceed; 0 without any.
double percentileMs(std::vector<LoadSample> samples, double percent);

std::vector<LoadSecond> perSecond(const std::vector<LoadSample> &samples);

/// Formats the result table, with the counts of `audit` unless it is null. The report file holds
/// this table followed by that of formatSeconds().
std::string formatReport(const LoadResult &result, const AuditResult *audit);
std::string formatSeconds(const std::vector<LoadSecond> &seconds);

/// Plots median and 99th percentile latency over time as an SVG image.
std::string formatSvg(const std::vector<LoadSecond> &seconds);

} // namespace guavashift
