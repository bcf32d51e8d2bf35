#pragma once

#include "net/http_head.h"
#include "net/message_limits.h"

#include <string>
#include <string_view>

namespace galenaroad {

/// Finds the payload and the end of a message body in bytes that arrive in pieces.
class http_body_decoder {
public:
    enum class state {
        incomplete,
        complete,
        malformed,
        oversized, ///< A part is larger than its bound allows.
    };

    http_body_decoder() = default;

    /// @param framing how the body ends.
    /// @param bounds what the body may hold.
    explicit http_body_decoder(http_framing framing, message_limits limits = {});

    /// Takes bytes of the body; those after its end stay in `input`.
    /// @param input the received bytes; what was used is removed from its front.
    /// @param payload receives the payload.
    /// @return the state afterwards.
    state decode(std::string_view& input, std::string& payload);

    /// @return the state for an orderly end of the connection: complete when it ends the body.
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
    std::uint64_t m_payload_bytes = 0;  ///< Bytes of the payload so far.
    std::uint64_t m_overhead_bytes = 0; ///< Bytes between the parts of a chunked payload.
    std::uint64_t m_trailer_bytes = 0;  ///< Bytes of the trailer fields.
    std::string m_line;
};

} // namespace galenaroad
