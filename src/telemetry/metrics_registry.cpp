#include "telemetry/metrics_registry.h"

#include <prometheus/text_serializer.h>

namespace galenaroad {

namespace {

// The steps between 1 and 10 ms are narrow because the targets for added latency lie there.
const prometheus::Histogram::BucketBoundaries latency_bounds_seconds{
    0.0001, 0.00025, 0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02,
    0.03,   0.05,    0.1,    0.2,   0.5,   1.0,   2.0,   5.0,    10.0, 30.0};

} // namespace

prometheus::Counter& metrics_registry::counter(const std::string& name, const std::string& help,
                                               const prometheus::Labels& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Gauge& metrics_registry::gauge(const std::string& name, const std::string& help,
                                           const prometheus::Labels& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(m_registry).Add(labels);
}

prometheus::Histogram& metrics_registry::latency(const std::string& name, const std::string& help,
                                                 const prometheus::Labels& labels)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(m_registry)
        .Add(labels, latency_bounds_seconds);
}

std::string metrics_registry::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

void observe(prometheus::Histogram& histogram, std::chrono::nanoseconds elapsed)
{
    histogram.Observe(std::chrono::duration<double>(elapsed).count());
}

} // namespace galenaroad
