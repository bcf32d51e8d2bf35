#pragma once

#include "action/not_run_proof.h"
#include "action/recorded_response.h"

#include <string>

namespace galenaroad {

/// A claim of a caller's key: the right to dispatch one attempt.
struct action_claim {
    std::string business;
    std::string key;
    std::string digest;
    std::string attempt_id;
    std::string tag; ///< Version tag of the row with the claim; empty when unknown.
};

/// How the attempt of a claim ended.
enum class settlement_kind {
    release,  ///< It certainly did not run.
    complete, ///< It ran and its response is known.
    unknown,  ///< It may have run.
};

/// Settlement of a claim: how its attempt ended, to be written to the claim's row.
struct settlement {
    action_claim claim;
    settlement_kind kind = settlement_kind::unknown;
    not_run_proof proof = not_run_proof::never_dispatched; ///< For `release`.
    recorded_response response;                            ///< For `complete`.
};

} // namespace galenaroad
