#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>

namespace galenaroad {

/// Size limits in bytes of one message received from a peer. A faulty peer may send without end, so
/// each part of a message has its own limit.
struct message_limits {
    /// Start line and header fields.
    std::size_t max_head_bytes = std::size_t{64} * 1024;
    /// One chunk size line with its extensions, or one trailer field.
    std::size_t max_line_bytes = 1024;
    std::size_t max_trailer_bytes = std::size_t{16} * 1024;
    /// Chunk size lines and line ends of a chunked body may take this many bytes more than its
    /// payload. This allows bodies of small chunks, but not endless bodies of one-byte chunks.
    std::size_t max_chunk_overhead = std::size_t{64} * 1024;
    /// Interim responses and responses to earlier requests that precede the expected response.
    std::size_t max_skipped_bytes = std::size_t{1024} * 1024;
    std::uint64_t max_body_bytes = std::numeric_limits<std::uint64_t>::max();
};

} // namespace galenaroad
