#pragma once

#include "net/http_head.h"
#include "net/message_limits.h"

#include <string>
#include <string_view>

namespace galenaroad {

/// Incremental decoder for a message body: extracts the payload and finds the end of the body.
class http_body_decoder {
public:
    enum class state {
        incomplete,
        complete,
        malformed,
        oversized, ///< A part of the body exceeds its limit.
    };

    http_body_decoder() = default;

    /// @param framing how the end of the body is found.
    /// @param limits size limits of the body.
    explicit http_body_decoder(http_framing framing, message_limits limits = {});

    /// Decodes received bytes. Bytes after the end of the body stay in `input`.
    /// @param input the received bytes; decoded bytes are removed from its front.
    /// @param payload the decoded payload is appended to it.
    /// @return the state after decoding.
    state decode(std::string_view& input, std::string& payload);

    /// @return the state if the peer closes the connection now: complete when the body is complete
    /// or ends with the connection, otherwise malformed.
    state state_at_close() const;

    /// @return the current state.
    state current() const { return m_state; }

private:
    enum class part { size_line, data, data_end, trailer_line };

    void read_data(std::string_view& input, std::string& payload);
    void read_chunked(std::string_view& input, std::string& payload);
    bool read_line(std::string_view& input);
    void handle_line();
    void handle_size_line();
    void check_limits();

    http_framing m_framing;
    message_limits m_limits;
    state m_state = state::complete;
    part m_part = part::size_line;
    std::uint64_t m_remaining = 0;
    std::uint64_t m_payload_bytes = 0;  ///< Payload bytes decoded so far.
    std::uint64_t m_overhead_bytes = 0; ///< Bytes of chunk size lines and line ends.
    std::uint64_t m_trailer_bytes = 0;  ///< Bytes of the trailer fields.
    std::string m_line;
};

} // namespace galenaroad
