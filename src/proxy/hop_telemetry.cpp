#include "proxy/hop_telemetry.h"

namespace galenaroad {

hop_telemetry::hop_telemetry(span_writer& spans, metrics_registry& metrics, const clock& time,
                             id_source& ids)
    : m_spans(spans), m_metrics(metrics), m_clock(time), m_ids(ids)
{
}

span_builder hop_telemetry::receive(const std::string& name, std::string_view traceparent)
{
    random_engine engine(m_ids.seed());
    span_builder started(name, trace_context::continue_from(traceparent, engine),
                         m_clock.system_now());
    started.kind(span_kind::server);
    return started;
}

span_builder hop_telemetry::call(const std::string& name, const trace_context& parent)
{
    random_engine engine(m_ids.seed());
    span_builder started(name, parent.child(engine), m_clock.system_now());
    started.kind(span_kind::client);
    return started;
}

void hop_telemetry::finish(span_builder& started, const attempt_result& outcome)
{
    if (outcome.status != 0) {
        started.attribute("http.response.status_code", std::int64_t{outcome.status});
    }
    if (!outcome.ok()) {
        const std::string kind(answer_for(outcome.kind).name);
        started.attribute("galenaroad.kind", kind);
        started.attribute("galenaroad.run", std::string(run_state_name(outcome.run)));
        started.error(kind);
    }
    m_spans.write(started.finish(m_clock.system_now()));
}

void hop_telemetry::count(const std::string& hop, const service_id& service,
                          const attempt_result& outcome, std::chrono::nanoseconds elapsed)
{
    const prometheus::Labels labels{{"business", service.business},
                                    {"service", service.service},
                                    {"kind", std::string(answer_for(outcome.kind).name)}};
    m_metrics
        .counter("galenaroad_" + hop + "_requests_total", "Requests by service and outcome", labels)
        .Increment();
    observe(m_metrics.latency("galenaroad_" + hop + "_request_seconds",
                              "Duration of requests by service",
                              {{"business", service.business}, {"service", service.service}}),
            elapsed);
}

} // namespace galenaroad
