#include "proxy/http_body_source.h"

#include <Poco/Exception.h>
#include <algorithm>
#include <charconv>
#include <climits>
#include <string>

namespace galenaroad {

namespace {

// Sixteen hexadecimal digits hold any 64-bit size; extensions are skipped up to this length.
constexpr std::size_t max_size_line = 256;
constexpr std::size_t max_trailer_bytes = std::size_t{8} * 1024;

} // namespace

http_body_source::http_body_source(byte_input& input, body_framing framing, const clock& time,
                                   steady_time deadline)
    : m_input(input), m_framing(framing), m_clock(time), m_deadline(deadline)
{
    const bool is_fixed = framing.type == body_framing::kind::fixed_length;
    if (is_fixed) {
        m_left = framing.length;
    }
    if (framing.type == body_framing::kind::none || (is_fixed && m_left == 0)) {
        m_state = body_state::complete;
    }
}

body_read http_body_source::read(char* buffer, std::size_t capacity)
{
    if (m_state != body_state::more) {
        return {0, m_state};
    }
    try {
        return read_unguarded(buffer, capacity);
    }
    catch (const Poco::TimeoutException&) {
        return finish(body_state::timed_out);
    }
    catch (const Poco::Exception&) {
        return finish(body_state::early_end);
    }
}

body_read http_body_source::read_unguarded(char* buffer, std::size_t capacity)
{
    if (!limit_wait()) {
        return finish(body_state::timed_out);
    }
    if (m_framing.type == body_framing::kind::chunked && m_left == 0) {
        const auto state = start_chunk();
        if (state != body_state::more) {
            return finish(state);
        }
    }
    return read_part(buffer, capacity);
}

body_read http_body_source::read_part(char* buffer, std::size_t capacity)
{
    const auto wanted = std::min<std::uint64_t>({capacity, m_left, INT_MAX});
    const int received = m_input.read_bytes(buffer, static_cast<int>(wanted));
    if (received <= 0) {
        return finish(body_state::early_end);
    }
    m_left -= static_cast<std::uint64_t>(received);
    m_total += static_cast<std::uint64_t>(received);
    m_state = m_left == 0 ? after_part() : body_state::more;
    return {static_cast<std::size_t>(received), m_state};
}

body_state http_body_source::after_part()
{
    if (m_framing.type == body_framing::kind::fixed_length) {
        return body_state::complete;
    }
    return finish_chunk();
}

body_state http_body_source::start_chunk()
{
    std::string line;
    int byte = m_input.next_byte();
    while (byte >= 0 && byte != '\n' && line.size() < max_size_line) {
        line.push_back(static_cast<char>(byte));
        byte = m_input.next_byte();
    }
    if (byte < 0) {
        return body_state::early_end;
    }
    if (byte != '\n' || line.empty() || line.back() != '\r') {
        return body_state::malformed;
    }
    line.pop_back();
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), m_left, 16);
    const bool ends_well = parsed.ptr == line.data() + line.size() || *parsed.ptr == ';';
    if (parsed.ec != std::errc() || !ends_well) {
        return body_state::malformed;
    }
    if (m_left > m_framing.max_bytes || m_total > m_framing.max_bytes - m_left) {
        return body_state::malformed;
    }
    return m_left == 0 ? skip_trailers() : body_state::more;
}

body_state http_body_source::finish_chunk()
{
    const auto state = expect_line_end();
    return state == body_state::complete ? body_state::more : state;
}

body_state http_body_source::expect_line_end()
{
    const int first = m_input.next_byte();
    const int second = first < 0 ? first : m_input.next_byte();
    if (second < 0) {
        return body_state::early_end;
    }
    return first == '\r' && second == '\n' ? body_state::complete : body_state::malformed;
}

// Trailer fields are dropped: they are hop-by-hop unless both ends agreed on them.
body_state http_body_source::skip_trailers()
{
    std::size_t total = 0;
    std::size_t line_length = 0;
    while (total++ < max_trailer_bytes) {
        const int byte = m_input.next_byte();
        if (byte < 0) {
            return body_state::early_end;
        }
        if (byte == '\n' && line_length == 0) {
            return body_state::complete;
        }
        line_length = byte == '\n' ? 0 : line_length + (byte == '\r' ? 0 : 1);
    }
    return body_state::malformed;
}

bool http_body_source::limit_wait()
{
    const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - m_clock.steady_now());
    if (left.count() <= 0) {
        return false;
    }
    m_input.limit_wait(std::min(left, max_pause));
    return true;
}

body_read http_body_source::finish(body_state state)
{
    m_state = state;
    return {0, state};
}

} // namespace galenaroad
