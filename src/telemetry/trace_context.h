#pragma once

#include "base/random_engine.h"

#include <optional>
#include <string>
#include <string_view>

namespace galenaroad {

/// Identity of a span within its trace, as the W3C header `traceparent` carries it.
class trace_context {
public:
    /// Starts a new trace.
    /// @param engine the source of the identifiers.
    /// @return the context of the trace's first span.
    static trace_context start(random_engine& engine);

    /// Reads a `traceparent` header.
    /// @param header the header's value.
    /// @return the caller's context, or nothing when the header is malformed.
    static std::optional<trace_context> parse(std::string_view header);

    /// Continues the caller's trace, or starts a new one when the header is absent or malformed.
    /// @param header the header's value; may be empty.
    /// @param engine the source of the identifiers.
    /// @return the context of the first span in this process.
    static trace_context continue_from(std::string_view header, random_engine& engine);

    /// @param engine the source of the identifier.
    /// @return the context of a span below this one.
    trace_context child(random_engine& engine) const;

    /// @return the value of a `traceparent` header that names this span as the parent.
    std::string header() const;

    /// @return 32 lower-case hexadecimal digits.
    const std::string& trace_id() const { return m_trace_id; }

    /// @return 16 lower-case hexadecimal digits.
    const std::string& span_id() const { return m_span_id; }

    /// @return the identifier of the span above, or an empty text.
    const std::string& parent_span_id() const { return m_parent_span_id; }

    /// @return true when the caller asked to record the trace.
    bool sampled() const { return m_sampled; }

private:
    std::string m_trace_id;
    std::string m_span_id;
    std::string m_parent_span_id;
    bool m_sampled = true;
};

} // namespace galenaroad
