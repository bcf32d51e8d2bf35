#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace galenaroad {

/// Bounds, in bytes, on what the other end of a connection may send as one message. The other end
/// may be faulty and send without end, so each part of a message has a bound of its own.
struct message_limits {
    /// The first line and the header fields.
    std::size_t max_head_bytes = std::size_t{64} * 1024;
    /// The size line of a chunk with its extensions, or a trailer field.
    std::size_t max_line_bytes = 1024;
    std::size_t max_trailer_bytes = std::size_t{16} * 1024;
    /// Size lines and line ends of a chunked body, beyond as many bytes as its payload has. Allows
    /// for bodies of small chunks, not for endless ones of a byte each.
    std::size_t max_chunk_overhead = std::size_t{64} * 1024;
    /// Interim responses, and responses to earlier requests, before the awaited one.
    std::size_t max_skipped_bytes = std::size_t{1024} * 1024;
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
};

} // namespace galenaroad
