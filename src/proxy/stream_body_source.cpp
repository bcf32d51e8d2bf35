#include "proxy/stream_body_source.h"

#include <algorithm>
#include <cstring>

namespace galenaroad {

stream_body_source::stream_body_source(forward_stream& stream, std::string request_id,
                                       std::int64_t content_length)
    : m_stream(stream), m_request_id(std::move(request_id)), m_content_length(content_length)
{
}

body_read stream_body_source::read(char* buffer, std::size_t capacity)
{
    while (m_state == body_state::more && m_position == m_message.body().size()) {
        m_state = receive();
    }
    if (m_state != body_state::more) {
        return {0, m_state};
    }
    return hand_out(buffer, capacity);
}

body_state stream_body_source::receive()
{
    m_position = 0;
    m_message.Clear();
    if (!m_stream.Read(&m_message)) {
        return body_state::early_end;
    }
    if (m_message.request_id() != m_request_id) {
        return body_state::mismatched;
    }
    if (m_message.part_case() == peer::ForwardRequest::kEnd) {
        const bool is_whole = m_content_length < 0 || m_received == m_content_length;
        return is_whole ? body_state::complete : body_state::early_end;
    }
    if (m_message.part_case() != peer::ForwardRequest::kBody) {
        return body_state::malformed;
    }
    m_received += static_cast<std::int64_t>(m_message.body().size());
    const bool is_too_long = m_content_length >= 0 && m_received > m_content_length;
    return is_too_long ? body_state::malformed : body_state::more;
}

body_read stream_body_source::hand_out(char* buffer, std::size_t capacity)
{
    const auto size = std::min(capacity, m_message.body().size() - m_position);
    std::memcpy(buffer, m_message.body().data() + m_position, size);
    m_position += size;
    return {size, body_state::more};
}

} // namespace galenaroad
