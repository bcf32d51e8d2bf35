#include "net/http_body_decoder.h"

#include <algorithm>
#include <charconv>

namespace galenaroad {

http_body_decoder::http_body_decoder(http_framing framing, message_limits limits)
    : m_framing(framing), m_limits(limits)
{
    const bool is_empty =
        framing.end == body_end::none || (framing.end == body_end::length && framing.length == 0);
    m_state = is_empty ? state::complete : state::incomplete;
    m_remaining = framing.end == body_end::length ? framing.length : 0;
}

http_body_decoder::state http_body_decoder::decode(std::string_view& input, std::string& payload)
{
    while (m_state == state::incomplete && !input.empty()) {
        if (m_framing.end == body_end::close) {
            payload.append(input);
            m_payload_bytes += input.size();
            input = {};
        }
        else if (m_framing.end == body_end::chunked) {
            read_chunked(input, payload);
        }
        else {
            read_data(input, payload);
            m_state = m_remaining == 0 ? state::complete : state::incomplete;
        }
        check_limits();
    }
    return m_state;
}

http_body_decoder::state http_body_decoder::state_at_close() const
{
    if (m_state == state::incomplete && m_framing.end == body_end::close) {
        return state::complete;
    }
    return m_state == state::complete ? state::complete : state::malformed;
}

void http_body_decoder::read_data(std::string_view& input, std::string& payload)
{
    const auto size = static_cast<std::size_t>(std::min<std::uint64_t>(m_remaining, input.size()));
    payload.append(input.substr(0, size));
    m_payload_bytes += size;
    input.remove_prefix(size);
    m_remaining -= size;
}

void http_body_decoder::read_chunked(std::string_view& input, std::string& payload)
{
    if (m_part == part::data) {
        read_data(input, payload);
        m_part = m_remaining == 0 ? part::data_end : part::data;
        return;
    }
    if (read_line(input)) {
        handle_line();
        m_line.clear();
    }
}

// Returns true when m_line holds a complete line, without its line end.
bool http_body_decoder::read_line(std::string_view& input)
{
    const auto end = input.find('\n');
    const bool is_complete_line = end != std::string_view::npos;
    m_line.append(input.substr(0, end));
    const auto consumed = is_complete_line ? end + 1 : input.size();
    input.remove_prefix(consumed);
    (m_part == part::trailer_line ? m_trailer_bytes : m_overhead_bytes) += consumed;
    if (m_line.size() > m_limits.max_line_bytes) {
        m_state = state::oversized;
        return false;
    }
    if (!is_complete_line) {
        return false;
    }
    if (m_line.empty() || m_line.back() != '\r') {
        m_state = state::malformed;
        return false;
    }
    m_line.pop_back();
    return true;
}

void http_body_decoder::handle_line()
{
    switch (m_part) {
    case part::size_line:
        handle_size_line();
        break;
    case part::data_end:
        m_part = part::size_line;
        m_state = m_line.empty() ? state::incomplete : state::malformed;
        break;
    case part::trailer_line:
        // Trailer fields are dropped: they apply to one connection only.
        m_state = m_line.empty() ? state::complete : state::incomplete;
        break;
    case part::data:
        break;
    }
}

// The limits apply only while the body is incomplete. A complete body is accepted.
void http_body_decoder::check_limits()
{
    const bool is_oversized = m_payload_bytes > m_limits.max_body_bytes ||
                              m_overhead_bytes > m_limits.max_chunk_overhead + m_payload_bytes ||
                              m_trailer_bytes > m_limits.max_trailer_bytes;
    if (m_state == state::incomplete && is_oversized) {
        m_state = state::oversized;
    }
}

void http_body_decoder::handle_size_line()
{
    const auto* const end = m_line.data() + m_line.size();
    const auto parsed = std::from_chars(m_line.data(), end, m_remaining, 16);
    const bool has_valid_end = parsed.ptr == end || *parsed.ptr == ';';
    if (parsed.ec != std::errc() || !has_valid_end) {
        m_state = state::malformed;
        return;
    }
    m_part = m_remaining == 0 ? part::trailer_line : part::data;
}

} // namespace galenaroad
