#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/summary.h>
#include <string>

namespace guavashift {

/// Metrics of the process, held in a prometheus-cpp registry.
class Metrics final
{
public:
    Metrics();

    /// The metric of that name and labels; created by the first call.
    prometheus::Counter &counter(const std::string &name, const std::string &help,
                                 const prometheus::Labels &labels = {});
    prometheus::Gauge &gauge(const std::string &name, const std::string &help,
                             const prometheus::Labels &labels = {});
    /// Histogram of seconds from 0.5 ms to 16 s.
    prometheus::Histogram &latency(const std::string &name, const std::string &help,
                                   const prometheus::Labels &labels = {});

    /// Histogram with the given upper limits of its buckets.
    prometheus::Histogram &histogram(const std::string &name, const std::string &help,
                                     const prometheus::Histogram::BucketBoundaries &buckets,
                                     const prometheus::Labels &labels = {});
    /// Number and sum of observed values, without quantiles.
    prometheus::Summary &summary(const std::string &name, const std::string &help);

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string exposition() const;
    /// The metrics in the same format, for readers that keep only the start of the page: gauges and
    /// counters come first, and neither help texts nor empty histograms and summaries are written.
    [[nodiscard]] std::string shortExposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace guavashift
