#pragma once

#include <chrono>
#include <memory>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace galenaroad {

/// Metrics of a process. Returned metrics live as long as the registry and may be used by any
/// thread. The same name and labels give the same metric.
class metrics_registry {
public:
    /// Finds or adds a counter.
    /// @param name name of the metric, ending in `_total`.
    /// @param help what it counts.
    /// @param labels names and values of its labels.
    prometheus::Counter& counter(const std::string& name, const std::string& help,
                                 const prometheus::Labels& labels = {});

    /// Finds or adds a gauge.
    /// @param name name of the metric.
    /// @param help what it shows.
    /// @param labels names and values of its labels.
    prometheus::Gauge& gauge(const std::string& name, const std::string& help,
                             const prometheus::Labels& labels = {});

    /// Finds or adds a latency histogram in seconds.
    /// @param name name of the metric, ending in `_seconds`.
    /// @param help what it measures.
    /// @param labels names and values of its labels.
    prometheus::Histogram& latency(const std::string& name, const std::string& help,
                                   const prometheus::Labels& labels = {});

    /// @return all metrics in Prometheus' text format.
    std::string text() const;

    /// Media type of text().
    static constexpr const char* content_type = "text/plain; version=0.0.4; charset=utf-8";

private:
    prometheus::Registry m_registry;
};

/// Records a time in a latency histogram.
/// @param histogram the histogram.
/// @param elapsed the time.
void observe(prometheus::Histogram& histogram, std::chrono::nanoseconds elapsed);

} // namespace galenaroad
