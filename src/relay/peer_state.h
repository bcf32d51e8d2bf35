#pragma once

#include "fleet/fleet_store.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace galenaroad {

/// How far one daemon has followed another one's changes of owners.
struct change_position {
    std::string start_id;     ///< Identifies one start of the followed daemon; empty for none.
    std::uint64_t change = 0; ///< The latest change that was received; see owner_directory.
};

/// What a daemon tells a peer when it asks for the peer's state.
struct state_request {
    std::uint64_t plan_version = 0; ///< Of the plan that it has in force; 0 without one.
    std::uint64_t digest = 0;       ///< Of its owners; see owner_directory.
    std::string address;            ///< At which peers reach it.
    change_position position;       ///< Of the asked daemon, when it is followed.
    bool was_fresh = false;         ///< As the peer said last.
    bool wants_owners = true;       ///< False when only the plan matters.
    /// Longest time for which the peer may hold the question until it has something new.
    std::chrono::milliseconds wait{0};
};

/// What a peer answers. Parts that the asking daemon has already are left out.
struct peer_state {
    std::optional<plan_document> plan;
    std::vector<owner_record> owners;
    change_position position; ///< After these changes.
    bool is_fresh = false;    ///< The peer reads the store, and the store answers it.
    bool is_reader = false;   ///< The peer reads the store, whether or not it is answered.
    bool is_complete = false; ///< The peer knows all owners.
    /// Daemons that the peer knows to be fresh, for those who find that it is not.
    std::vector<std::string> fresh_daemons;
};

/// Serializes the exchange of state between daemons: the question as the query of a target, the
/// answer as JSON.
class peer_state_codec {
public:
    /// Path at which peers are asked.
    static constexpr const char* path = "/galenaroad/v1/state";

    /// @return path and query.
    static std::string encode(const state_request& request);

    /// @param target path and query.
    /// @return the question, or nothing when the target is anything else.
    static std::optional<state_request> decode_request(const std::string& target);

    /// @return the answer's body.
    static std::string encode(const peer_state& state);

    /// Reads an answer; what cannot be read of it is left out.
    /// @param body the body.
    /// @return the state, or nothing when the body is no JSON object.
    static std::optional<peer_state> decode_state(std::string_view body);
};

} // namespace galenaroad
