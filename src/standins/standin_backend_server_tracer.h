#pragma once

#include "standins/standin_backend_server_settings.h"
#include "telemetry/span_writer.h"

#include <mutex>
#include <string>

namespace galenaroad {

/// Writes the spans of a stand-in backend server. Safe for use by several threads.
class standin_backend_server_tracer {
public:
    /// @param settings names of the server and the spans file.
    explicit standin_backend_server_tracer(const standin_backend_server_settings& settings);

    /// @param traceparent the trace header of a request; may be empty.
    /// @return the context of the request's span.
    trace_context enter(const std::string& traceparent);

    /// @param above the context of a span.
    /// @return the context of a span below it.
    trace_context below(const trace_context& above);

    /// Chooses the trace header of a nested call.
    /// @param context the context of the call's span.
    /// @param incoming the trace header of the request.
    /// @return the span's header, or the incoming one when no spans are written.
    std::string header(const trace_context& context, const std::string& incoming) const;

    /// Writes a span that ends now.
    /// @param name name of the work.
    /// @param kind role of the span.
    /// @param context its context.
    /// @param start when the work started.
    void finish(const std::string& name, span_kind kind, const trace_context& context,
                system_time start);

private:
    std::string m_service;
    bool m_is_enabled;
    std::mutex m_mutex;
    random_engine m_engine;
    span_writer m_writer;
};

} // namespace galenaroad
