#include "telemetry/span_builder.h"

namespace galenaroad {

span_builder::span_builder(std::string name, trace_context context, system_time start)
{
    m_span.name = std::move(name);
    m_span.context = std::move(context);
    m_span.start = start;
}

span_builder& span_builder::kind(span_kind kind)
{
    m_span.kind = kind;
    return *this;
}

span_builder& span_builder::attribute(std::string key, std::string value)
{
    m_span.attributes.emplace_back(std::move(key), std::move(value));
    return *this;
}

span_builder& span_builder::attribute(std::string key, std::int64_t value)
{
    m_span.attributes.emplace_back(std::move(key), value);
    return *this;
}

span_builder& span_builder::flag(std::string key, bool value)
{
    m_span.attributes.emplace_back(std::move(key), value);
    return *this;
}

span_builder& span_builder::error(std::string message)
{
    m_span.error = std::move(message);
    return *this;
}

span span_builder::finish(system_time end) const
{
    span finished = m_span;
    finished.end = end;
    return finished;
}

} // namespace galenaroad
