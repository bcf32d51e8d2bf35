#pragma once

#include "base/clock.h"
#include "net/http_client.h"
#include "net/http_head.h"
#include "relay/body_grace_period.h"
#include "relay/header_names.h"

namespace galenaroad {

/// State of an upstream's response while it arrives.
class upstream_response {
public:
    /// Creates the state before the response has begun.
    upstream_response() = default;

    /// @param head the response's head.
    /// @param names names of the header fields.
    /// @param now the current time.
    upstream_response(const http_response_head& head, const header_names& names, steady_time now);

    /// Determines which request a response belongs to. Upstreams echo the id of the request, and a
    /// faulty one may send the response to an earlier request again.
    /// @param head the response's head.
    /// @param identity_field name of the header field with the id.
    /// @param request_id id of the request; empty when it has none.
    static response_match origin_of(const http_response_head& head, std::string_view identity_field,
                                    std::string_view request_id);

    /// Records a received part of the body.
    void record_body(std::size_t bytes) { m_bytes += bytes; }

    /// @return true once the head has arrived.
    bool has_begun() const { return m_status != 0; }

    /// @return the status; 0 before the head.
    int status() const { return m_status; }

    /// @return true when the upstream states that the request has not run.
    bool is_rejection() const { return m_is_rejection; }

    /// @return false when the response is not the upstream's own and must not be delivered.
    bool is_genuine() const { return m_is_genuine; }

    /// @param now the current time.
    /// @return progress of the body.
    body_progress progress(steady_time now) const
    {
        return {m_framing, m_bytes, now - m_started_at};
    }

private:
    int m_status = 0;
    bool m_is_rejection = false;
    bool m_is_genuine = true;
    http_framing m_framing;
    std::uint64_t m_bytes = 0; ///< Of the body.
    steady_time m_started_at;
};

} // namespace galenaroad
