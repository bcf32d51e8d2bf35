#include "proxy/stream_answer_sink.h"

namespace galenaroad {

stream_answer_sink::stream_answer_sink(forward_stream& stream, std::string request_id)
    : m_stream(stream), m_request_id(std::move(request_id))
{
}

bool stream_answer_sink::begin(const answer_head& head)
{
    auto sent = message();
    auto& part = *sent.mutable_head();
    part.set_status(static_cast<std::uint32_t>(head.status));
    part.set_content_length(head.content_length);
    for (const auto& field : head.headers) {
        auto& added = *part.add_headers();
        added.set_name(field.name);
        added.set_value(field.value);
    }
    return m_stream.Write(sent);
}

bool stream_answer_sink::write(std::string_view bytes)
{
    auto sent = message();
    sent.set_body(bytes.data(), bytes.size());
    m_body_bytes += bytes.size();
    return m_stream.Write(sent);
}

void stream_answer_sink::finish(peer::ResponseTrailer trailer)
{
    auto sent = message();
    trailer.set_body_bytes(m_body_bytes);
    *sent.mutable_trailer() = std::move(trailer);
    m_stream.Write(sent);
}

void stream_answer_sink::fail(const attempt_result& outcome)
{
    auto sent = message();
    auto& part = *sent.mutable_error();
    part.set_kind(std::string(answer_for(outcome.kind).name));
    part.set_run(std::string(run_state_name(outcome.run)));
    part.set_retry_after_ms(static_cast<std::uint32_t>(outcome.retry_after.count()));
    part.set_detail(outcome.detail);
    m_stream.Write(sent);
}

peer::ForwardResponse stream_answer_sink::message() const
{
    peer::ForwardResponse made;
    made.set_request_id(m_request_id);
    return made;
}

} // namespace galenaroad
