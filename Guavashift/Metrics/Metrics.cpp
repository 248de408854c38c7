#include <Guavashift/Metrics/Metrics.h>

#include <prometheus/text_serializer.h>

namespace guavashift {

namespace {

const prometheus::Histogram::BucketBoundaries latencyBuckets{
    0.0005, 0.001, 0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.128, 0.256, 0.512, 1, 2, 4, 8, 16};

const prometheus::Histogram::BucketBoundaries sizeBuckets{1,  2,   4,   8,   16,  32,
                                                          64, 128, 256, 512, 1024};

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
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(*m_registry)
        .Add(labels, latencyBuckets);
}

prometheus::Histogram &Metrics::sizes(const std::string &name, const std::string &help,
                                      const prometheus::Labels &labels)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(*m_registry)
        .Add(labels, sizeBuckets);
}

std::string Metrics::exposition() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace guavashift
