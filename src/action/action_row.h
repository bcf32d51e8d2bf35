#pragma once

#include "action/not_run_proof.h"
#include "action/recorded_response.h"
#include "base/result.h"

#include <cstdint>
#include <string>

namespace galenaroad {

/// State of the action for a caller's key.
enum class action_state {
    claimed,   ///< An attempt has claimed the key and may have run.
    released,  ///< The last attempt certainly did not run; a new one may claim the key.
    completed, ///< The action ran and its response is recorded.
};

/// A row of the table `actions`.
struct action_row {
    action_state state = action_state::claimed;
    std::string attempt_id;
    std::string instance;          ///< Instance whose daemon claimed the key.
    std::uint64_t incarnation = 0; ///< Incarnation of that daemon.
    std::string digest;            ///< Digest of the request to which the key is bound.
    bool outcome_unknown = false;  ///< For `claimed`: the outcome of the attempt is unknown.
    not_run_proof proof = not_run_proof::never_dispatched; ///< For `released`.
    recorded_response response;                            ///< For `completed`.
    std::string body_object; ///< Key of the object with the body; empty when the row has it.

    /// @return the row as JSON text.
    std::string to_json() const;

    /// Reads a row.
    /// @param text JSON text.
    /// @return the row, or `internal` when the text is not a row.
    static result<action_row> from_json(const std::string& text);
};

} // namespace galenaroad
