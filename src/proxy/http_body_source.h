#pragma once

#include "base/clock.h"
#include "proxy/body_source.h"
#include "proxy/byte_input.h"

#include <cstdint>

namespace galenaroad {

/// How the end of an HTTP body is found.
struct body_framing {
    enum class kind { none, fixed_length, chunked };

    kind type = kind::none;
    std::uint64_t length = 0; ///< For `fixed_length`.
    std::uint64_t max_bytes = UINT64_MAX;
};

/// Reads an HTTP/1.1 body and tells a complete body from one that ended early.
///
/// POCO's chunked stream reports a connection that ends between two chunks, and an invalid chunk
/// size, as the end of the body; a truncated order would then be taken for a complete one.
class http_body_source : public body_source {
public:
    /// Longest pause between two parts of a body.
    static constexpr auto max_pause = std::chrono::milliseconds(10'000);

    /// @param input the connection; must outlive this object.
    /// @param framing how the end of the body is found.
    /// @param time the clock.
    /// @param deadline after it reads fail with `timed_out`.
    http_body_source(byte_input& input, body_framing framing, const clock& time,
                     steady_time deadline);

    body_read read(char* buffer, std::size_t capacity) override;

    /// @return true when the whole body has been read and the connection may carry a new message.
    bool consumed() const { return m_state == body_state::complete; }

private:
    body_read read_unguarded(char* buffer, std::size_t capacity);
    body_read read_part(char* buffer, std::size_t capacity);
    body_state start_chunk();
    body_state finish_chunk();
    body_state skip_trailers();
    body_state expect_line_end();
    body_state after_part();
    bool limit_wait();
    body_read finish(body_state state);

    byte_input& m_input;
    body_framing m_framing;
    const clock& m_clock;
    steady_time m_deadline;
    std::uint64_t m_left = 0; ///< Bytes left of the body or of the current chunk.
    std::uint64_t m_total = 0;
    body_state m_state = body_state::more;
};

} // namespace galenaroad
