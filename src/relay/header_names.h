#pragma once

#include <string>

namespace galenaroad {

/// Names of the header fields exchanged between clients, upstreams and the fleet's daemons.
/// A platform adapter replaces them with the names of its platform.
struct header_names {
    std::string request_id = "X-Request-Id";
    std::string remaining_ms = "X-Request-Timeout-Ms"; ///< Time that the sender will still wait.
    std::string response_stamp = "X-Upstream-Stamp";   ///< Present in each response of an upstream.
    std::string expected_upstream = "X-Expected-Upstream"; ///< Other upstreams refuse the request.
    std::string upstream_load = "X-Upstream-Load";
    std::string not_run = "X-Not-Run";                ///< The upstream has not run the request.
    std::string caller_service = "X-Calling-Service"; ///< Service whose instance sent the request.
    std::string account = "X-Client-Account";         ///< Name of the client account.
};

} // namespace galenaroad
