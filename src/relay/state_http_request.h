#pragma once

#include "net/http_client.h"
#include "relay/peer_state.h"

#include <chrono>
#include <string>

namespace galenaroad {

/// Time limits of a state request.
struct state_request_limits {
    /// Maximum idle time of a connection that may be reused; zero forces a new connection.
    std::chrono::milliseconds max_idle{8000};
    std::chrono::milliseconds timeout{0}; ///< Until the response is complete.
};

/// @param peer address of the peer.
/// @param request the state request.
/// @param limits its time limits.
/// @return the HTTP request that carries the state request.
client_request make_state_http_request(const std::string& peer, const state_request& request,
                                       const state_request_limits& limits);

} // namespace galenaroad
