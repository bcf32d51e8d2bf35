#pragma once

#include <string_view>

namespace galenaroad {

/// Why it is certain that an attempt did not run and will not run.
enum class not_run_proof {
    never_dispatched, ///< The entry did not send the attempt to any owner.
    owner_refused,    ///< The owner refused the attempt.
    fenced,           ///< The owner replied to a fence request with `not_run`.
};

/// Returns the name of a proof in the rows of the table `actions`.
/// @param proof the proof.
/// @return its name.
constexpr std::string_view not_run_proof_name(not_run_proof proof)
{
    switch (proof) {
    case not_run_proof::owner_refused:
        return "owner_refused";
    case not_run_proof::fenced:
        return "fenced";
    case not_run_proof::never_dispatched:
        break;
    }
    return "never_dispatched";
}

} // namespace galenaroad
