#pragma once

#include <string>

namespace galenaroad {

/// Names of the header fields by which clients, upstreams and the fleet understand each other.
/// An adapter replaces them by those of its platform.
struct header_names {
    std::string request_id = "X-Request-Id";
    std::string remaining_ms = "X-Request-Timeout-Ms"; ///< Time that the sender still waits.
    std::string response_stamp = "X-Upstream-Stamp";   ///< Present in each response of an upstream.
    std::string expected_upstream = "X-Expected-Upstream"; ///< Another upstream refuses.
    std::string upstream_load = "X-Upstream-Load";
    std::string not_run = "X-Not-Run";                ///< The upstream has not run the request.
    std::string caller_service = "X-Calling-Service"; ///< Service beside which a request began.
};

} // namespace galenaroad
