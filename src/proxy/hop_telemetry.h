#pragma once

#include "base/clock.h"
#include "model/upstream.h"
#include "proxy/attempt_result.h"
#include "proxy/id_source.h"
#include "telemetry/metrics_registry.h"
#include "telemetry/span_builder.h"
#include "telemetry/span_writer.h"

#include <string>
#include <string_view>

namespace galenaroad {

/// Records a span and metrics for each hop of a request. Thread-safe.
class hop_telemetry {
public:
    /// All references must outlive this object.
    /// @param spans receives the spans.
    /// @param metrics receives the metrics.
    /// @param time the clock.
    /// @param ids the source of span identifiers.
    hop_telemetry(span_writer& spans, metrics_registry& metrics, const clock& time, id_source& ids);

    /// Starts the span of a hop that receives a request.
    /// @param name the hop.
    /// @param traceparent the header of the hop before; may be empty or malformed.
    /// @return the span.
    span_builder receive(const std::string& name, std::string_view traceparent);

    /// Starts the span of a call to the next hop.
    /// @param name the call.
    /// @param parent the span that makes it.
    /// @return the span.
    span_builder call(const std::string& name, const trace_context& parent);

    /// Ends a span.
    /// @param started the span.
    /// @param outcome the outcome of its work.
    void finish(span_builder& started, const attempt_result& outcome);

    /// Counts an ended hop and records its duration.
    /// @param hop `entry` or `owner`.
    /// @param service the service; without names when no route matched.
    /// @param outcome the outcome.
    /// @param elapsed the duration.
    void count(const std::string& hop, const service_id& service, const attempt_result& outcome,
               std::chrono::nanoseconds elapsed);

private:
    span_writer& m_spans;
    metrics_registry& m_metrics;
    const clock& m_clock;
    id_source& m_ids;
};

} // namespace galenaroad
