#pragma once

#include <cstddef>

namespace galenaroad {

/// State of a body after a read.
enum class body_state {
    more,      ///< Further bytes may follow.
    complete,  ///< The body has ended as declared.
    early_end, ///< The connection ended before the body.
    timed_out,
    malformed,  ///< The framing is invalid or the body exceeds its limit.
    mismatched, ///< A part of another request's body was received.
};

/// Result of one read of a body.
struct body_read {
    std::size_t size = 0; ///< Bytes placed in the buffer, also when the state is not `more`.
    body_state state = body_state::more;
};

/// Body that is read in chunks.
class body_source {
public:
    body_source() = default;
    body_source(const body_source&) = delete;
    body_source& operator=(const body_source&) = delete;
    body_source(body_source&&) = delete;
    body_source& operator=(body_source&&) = delete;
    virtual ~body_source() = default;

    /// Reads the next bytes. Blocks until at least one byte arrived or the state is final.
    /// @param buffer receives the bytes.
    /// @param capacity the buffer's size.
    /// @return the number of bytes and the body's state.
    virtual body_read read(char* buffer, std::size_t capacity) = 0;
};

} // namespace galenaroad
