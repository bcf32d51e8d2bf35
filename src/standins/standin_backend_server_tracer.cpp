#include "standins/standin_backend_server_tracer.h"

#include "telemetry/span_builder.h"

namespace galenaroad {

standin_backend_server_tracer::standin_backend_server_tracer(
    const standin_backend_server_settings& settings)
    : m_service(settings.business + '/' + settings.service),
      m_is_enabled(!settings.spans_file.empty()),
      // Identifiers must differ between processes, so they do not follow the faults' seed.
      m_engine(std::random_device{}()),
      m_writer(settings.spans_file, "standin_backend_server", settings.name)
{
}

trace_context standin_backend_server_tracer::enter(const std::string& traceparent)
{
    const std::lock_guard lock(m_mutex);
    return trace_context::continue_from(traceparent, m_engine);
}

trace_context standin_backend_server_tracer::below(const trace_context& above)
{
    const std::lock_guard lock(m_mutex);
    return above.child(m_engine);
}

std::string standin_backend_server_tracer::header(const trace_context& context,
                                                  const std::string& incoming) const
{
    return m_is_enabled ? context.header() : incoming;
}

void standin_backend_server_tracer::finish(const std::string& name, span_kind kind,
                                           const trace_context& context, system_time start)
{
    if (!m_is_enabled) {
        return;
    }
    m_writer.write(span_builder(name, context, start)
                       .kind(kind)
                       .attribute("service", m_service)
                       .finish(std::chrono::system_clock::now()));
}

} // namespace galenaroad
