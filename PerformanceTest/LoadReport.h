#pragma once

#include <PerformanceTest/LoadRun.h>
#include <PerformanceTest/OrderAudit.h>

namespace guavashift {

/// Latencies of one second of a run.
struct LoadSecond
{
    double at = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    double p50Ms = 0;
    double p99Ms = 0;
};

/// The latency in milliseconds that `percent` of the succeeded samples do not exceed.
double percentileMs(std::vector<LoadSample> samples, double percent);

std::vector<LoadSecond> perSecond(const std::vector<LoadSample> &samples);

/// The table that is printed, and with the seconds also written to a file.
std::string formatReport(const LoadResult &result, const AuditResult *audit);
std::string formatSeconds(const std::vector<LoadSecond> &seconds);

/// Median and 99th percentile over time as an SVG picture.
std::string formatSvg(const std::vector<LoadSecond> &seconds);

} // namespace guavashift
