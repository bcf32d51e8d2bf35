#pragma once

#include "fleet/owner_record.h"
#include "fleet/store_era.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// Position of one daemon in the sequence of owner changes of another daemon that it follows.
struct change_position {
    /// Identifies one start of the followed daemon; empty before the first response.
    std::string start_id;
    std::uint64_t change = 0; ///< Latest change received; see owner_directory.
};

/// Request of a daemon for the state of a peer. It says what the daemon has already.
struct state_request {
    /// Of the plan in force at the requesting daemon; 0 without one.
    std::uint64_t plan_version = 0;
    /// The newest version that the peer has reported; it does not report it again.
    std::uint64_t reported_plan_version = 0;
    std::uint64_t plan_digest = 0; ///< Of the plan in force; see plan_index::digest().
    /// Of the plan in the last response of the peer; 0 when it was not sent.
    std::uint64_t reported_plan_digest = 0;
    store_era reported_era;   ///< In the last response of the peer.
    std::uint64_t digest = 0; ///< Of the known owners; see owner_directory::digest().
    std::string address;      ///< Where peers reach the requesting daemon.
    change_position position; ///< In the changes of the peer, when it is followed.
    bool was_fresh = false;   ///< Whether the last response of the peer was fresh.
    bool wants_owners = true; ///< False when only the plan is requested.
    /// Maximum time for which the peer may hold the request until its state changes.
    std::chrono::milliseconds wait{0};
};

/// Response of a peer. Owners that the requesting daemon has already are left out.
struct peer_state {
    /// Of the plan in force at the peer, 0 without one; plan_fetcher fetches its contents.
    std::uint64_t plan_version = 0;
    /// Of that plan; sent when the store names its era, since a version of the plan may be written
    /// again with other contents after the store has come back from a copy. 0 when it is not sent.
    std::uint64_t plan_digest = 0;
    store_era era; ///< Of the store, as the peer knows it.
    std::vector<owner_record> owners;
    change_position position; ///< After these changes.
    bool is_fresh = false;    ///< The peer reads the store, and the store responds to it.
    bool is_reader = false;   ///< The peer reads the store, whether or not the store responds.
    /// The peer reads the store, which has stopped responding to it or has not responded for long.
    bool has_lost_store = false;
    bool is_complete = false; ///< The peer knows all owners.
    /// Daemons that the peer knows to be fresh; only sent when the peer itself is not fresh.
    std::vector<std::string> fresh_daemons;
};

/// Encodes and decodes the exchange of state between daemons: the request as the query string of a
/// request target, the response as JSON, which is compressed unless it is short.
class peer_state_codec {
public:
    /// Path of state requests.
    static constexpr const char* path = "/galenaroad/v2/state";

    /// @return the request target: path and query.
    static std::string encode(const state_request& request);

    /// @param target request target: path and query.
    /// @return the request, or nothing when the target is not a state request.
    static std::optional<state_request> decode_request(const std::string& target);

    /// @return the response body.
    static std::string encode(const peer_state& state);

    /// Decodes a response body; parts that cannot be decoded are left out.
    /// @param body the body.
    /// @return the state, or nothing when the body is not a JSON object.
    static std::optional<peer_state> decode_state(std::string_view body);
};

} // namespace galenaroad
