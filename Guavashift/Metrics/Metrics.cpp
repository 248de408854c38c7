#include <Guavashift/Metrics/Metrics.h>

#include <algorithm>
#include <cmath>
#include <prometheus/text_serializer.h>

namespace guavashift {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBuckets{
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1, 2, 4, 8, 16};

bool isDistribution(const prometheus::MetricFamily &family)
{
    return family.type == prometheus::MetricType::Histogram
        || family.type == prometheus::MetricType::Summary;
}

/// A sum in as few digits as its unit's thousandths need.
double toMilli(double sum)
{
    constexpr double thousandths = 1000;
    return std::round(sum * thousandths) / thousandths;
}

} // namespace

Metrics::Metrics()
    : m_registry(
        std::make_shared<prometheus::Registry>(prometheus::Registry::InsertBehavior::Merge))
{
}

prometheus::Counter &Metrics::counter(const std::string &name, const std::string &help,
                                      const prometheus::Labels &labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Gauge &Metrics::gauge(const std::string &name, const std::string &help,
                                  const prometheus::Labels &labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*m_registry).Add(labels);
}

prometheus::Histogram &Metrics::latency(const std::string &name, const std::string &help,
                                        const prometheus::Labels &labels)
{
    return histogram(name, help, latencyBuckets, labels);
}

prometheus::Histogram &Metrics::histogram(const std::string &name, const std::string &help,
                                          const prometheus::Histogram::BucketBoundaries &buckets,
                                          const prometheus::Labels &labels)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(*m_registry)
        .Add(labels, buckets);
}

prometheus::Summary &Metrics::summary(const std::string &name, const std::string &help)
{
    return prometheus::BuildSummary()
        .Name(name)
        .Help(help)
        .Register(*m_registry)
        .Add({}, prometheus::Summary::Quantiles{});
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

std::string Metrics::shortExposition() const
{
    std::vector<prometheus::MetricFamily> families = m_registry->Collect();
    std::stable_partition(families.begin(), families.end(),
                          [](const auto &family) { return !isDistribution(family); });
    for (prometheus::MetricFamily &family : families) {
        family.help.clear();
        if (!isDistribution(family))
            continue;
        for (prometheus::ClientMetric &metric : family.metric) {
            metric.histogram.sample_sum = toMilli(metric.histogram.sample_sum);
            metric.summary.sample_sum = toMilli(metric.summary.sample_sum);
        }
        std::erase_if(family.metric, [](const prometheus::ClientMetric &metric) {
            // One of the two counts is always 0, by the family's type.
            return metric.histogram.sample_count + metric.summary.sample_count == 0;
        });
    }
    std::erase_if(families, [](const auto &family) { return family.metric.empty(); });
    return prometheus::TextSerializer().Serialize(families);
}

} // namespace guavashift
