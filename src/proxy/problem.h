#pragma once

#include "proxy/attempt_result.h"

#include <Poco/Net/HTTPServerResponse.h>
#include <string>

namespace galenaroad {

/// Error response of RFC 9457 (application/problem+json).
class problem {
public:
    /// Makes the body.
    /// @param failure the failure.
    /// @param request_id the id of the request; may be empty.
    /// @return JSON text.
    static std::string body(const attempt_result& failure, const std::string& request_id);

    /// Sends the error response.
    /// @param response the response, of which nothing has been sent.
    /// @param failure the failure.
    /// @param request_id the id of the request.
    static void send(Poco::Net::HTTPServerResponse& response, const attempt_result& failure,
                     const std::string& request_id);
};

} // namespace galenaroad
