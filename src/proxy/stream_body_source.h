#pragma once

#include "peer/peer_handlers.h"
#include "proxy/body_source.h"

#include <string>

namespace galenaroad {

/// Body of a forwarded request, as it arrives from the entry daemon.
class stream_body_source : public body_source {
public:
    /// @param stream the stream, after its head; must outlive this object.
    /// @param request_id the request id that every message must carry.
    /// @param content_length the declared length, or -1.
    stream_body_source(forward_stream& stream, std::string request_id, std::int64_t content_length);

    body_read read(char* buffer, std::size_t capacity) override;

private:
    body_state receive();
    body_read hand_out(char* buffer, std::size_t capacity);

    forward_stream& m_stream;
    std::string m_request_id;
    std::int64_t m_content_length;
    std::int64_t m_received = 0;
    peer::ForwardRequest m_message;
    std::size_t m_position = 0;
    body_state m_state = body_state::more;
};

} // namespace galenaroad
