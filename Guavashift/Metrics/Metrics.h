#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
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

    /// Histogram of counts from 1 to 1024.
    prometheus::Histogram &sizes(const std::string &name, const std::string &help,
                                 const prometheus::Labels &labels = {});

    /// All metrics in the Prometheus text format.
    [[nodiscard]] std::string exposition() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace guavashift
