#pragma once

#include "net/http_client.h"
#include "relay/peer_state.h"

#include <chrono>
#include <string>

namespace galenaroad {

/// How long a question for a peer's state may take.
struct state_request_times {
    /// Longest idle time of a connection that may be used again; zero for a new connection.
    std::chrono::milliseconds max_idle{8000};
    std::chrono::milliseconds limit{0}; ///< Until the answer is complete.
};

/// @param peer address of the peer.
/// @param question what it is asked.
/// @param times how long that may take.
/// @return the request that asks it.
client_request make_state_request(const std::string& peer, const state_question& question,
                                  const state_request_times& times);

} // namespace galenaroad
