#pragma once

#include "net/header_field.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Head of a response.
struct answer_head {
    int status = 0;
    header_list headers;
    std::int64_t content_length = -1; ///< -1 when not known.
};

/// Receiver of a response while it streams.
class answer_sink {
public:
    answer_sink() = default;
    answer_sink(const answer_sink&) = delete;
    answer_sink& operator=(const answer_sink&) = delete;
    answer_sink(answer_sink&&) = delete;
    answer_sink& operator=(answer_sink&&) = delete;
    virtual ~answer_sink() = default;

    /// Receives the head, once.
    /// @param head the head.
    /// @return false when the receiver is gone.
    virtual bool begin(const answer_head& head) = 0;

    /// Receives the next part of the body, at most max_chunk_bytes long.
    /// @param bytes the part.
    /// @return false when the receiver is gone.
    virtual bool write(std::string_view bytes) = 0;
};

} // namespace galenaroad
