#pragma once

#include "telemetry/span.h"

namespace galenaroad {

/// Builds a span while its work runs.
class span_builder {
public:
    /// @param name name of the work, the same for all spans of its type.
    /// @param context identity of the span.
    /// @param start when the work started.
    span_builder(std::string name, trace_context context, system_time start);

    /// @param kind role of the span in a call.
    span_builder& kind(span_kind kind);

    /// Adds a text.
    /// @param key name of the attribute.
    /// @param value its value.
    span_builder& attribute(std::string key, std::string value);

    /// Adds a number.
    /// @param key name of the attribute.
    /// @param value its value.
    span_builder& attribute(std::string key, std::int64_t value);

    /// Adds a truth value.
    /// @param key name of the attribute.
    /// @param value its value.
    span_builder& flag(std::string key, bool value);

    /// Marks the work as failed.
    /// @param message what failed.
    span_builder& error(std::string message);

    /// @return identity of the span, for calls below it.
    const trace_context& context() const { return m_span.context; }

    /// @param end when the work ended.
    /// @return the span.
    span finish(system_time end) const;

private:
    span m_span;
};

} // namespace galenaroad
