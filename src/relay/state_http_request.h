#pragma once

#include "net/http_client.h"
#include "relay/peer_state.h"

#include <chrono>
#include <string>

namespace galenaroad {

/// How long a request for a peer's state may take.
struct state_request_limits {
    /// Longest idle time of a connection that may be used again; zero for a new connection.
    std::chrono::milliseconds max_idle{8000};
    std::chrono::milliseconds timeout{0}; ///< Until the answer is complete.
};

/// @param peer address of the peer.
/// @param request what it is asked.
/// @param limits how long that may take.
/// @return the request that asks it.
client_request make_state_http_request(const std::string& peer, const state_request& request,
                                       const state_request_limits& limits);

} // namespace galenaroad
