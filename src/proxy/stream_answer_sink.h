#pragma once

#include "peer/peer_handlers.h"
#include "proxy/answer_sink.h"
#include "proxy/attempt_result.h"

#include <string>

namespace galenaroad {

/// Sends a response to the entry daemon that forwarded the request.
class stream_answer_sink : public answer_sink {
public:
    /// @param stream the stream; must outlive this object.
    /// @param request_id the request id that every message carries.
    stream_answer_sink(forward_stream& stream, std::string request_id);

    bool begin(const answer_head& head) override;
    bool write(std::string_view bytes) override;

    /// Ends a complete response.
    /// @param trailer the trailer, without the length of the body.
    void finish(peer::ResponseTrailer trailer);

    /// Ends an attempt that failed.
    /// @param outcome the failure.
    void fail(const attempt_result& outcome);

private:
    peer::ForwardResponse message() const;

    forward_stream& m_stream;
    std::string m_request_id;
    std::uint64_t m_body_bytes = 0;
};

} // namespace galenaroad
