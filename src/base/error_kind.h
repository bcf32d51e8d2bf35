#pragma once

#include <chrono>
#include <string_view>
#include <system_error>

namespace galenaroad {

/// Closed list of all errors that the system reports. See error_answers() for their answers.
enum class error_kind {
    ok = 0,
    invalid_request,
    request_too_large,
    route_not_found,
    call_too_deep,
    key_required,
    key_reused,
    action_in_progress,
    upstream_busy,
    service_unavailable,
    leaving,
    deadline_exceeded_before_run,
    store_unavailable,
    outcome_unknown,
    upstream_failed,
    answer_incomplete,
    answer_mismatched,
    deadline_exceeded,
    configuration_unavailable,
    settings_invalid,
    declaration_invalid,
    sheet_invalid,
    version_conflict,
    floor_would_be_breached,
    peer_unreachable,
    internal,
};

/// What an error says about the execution of the request at the backend server.
enum class run_state {
    not_run,   ///< The request did not run and will not run.
    completed, ///< The request ran and its answer is known.
    unknown,   ///< The request may have run.
};

/// What a caller or operator receives for an error kind.
struct error_answer {
    error_kind kind;
    std::string_view name;
    int http_status;
    run_state run;
    std::chrono::milliseconds retry_after; ///< Zero when asking again does not help.
    int exit_code;                         ///< Exit code of the command-line tool.
    std::string_view title;
};

/// Finds the answer for an error kind.
/// @param kind the error kind.
/// @return the row of the table, valid for the life of the process.
const error_answer& answer_for(error_kind kind);

/// Finds an error kind by its name.
/// @param name the name, as in the `kind` member of an error answer.
/// @return the kind, or `internal` when no kind has that name.
error_kind error_kind_named(std::string_view name);

/// Names a run state as in the `run` member of an error answer.
/// @param run the run state.
/// @return `not_run`, `completed` or `unknown`.
std::string_view run_state_name(run_state run);

/// @return the category of all error_kind codes.
const std::error_category& error_kind_category();

/// @param kind the error kind.
/// @return the matching error code.
std::error_code make_error_code(error_kind kind);

/// Maps an error code to an error kind.
/// @param code the code; codes of other categories map to `internal`.
/// @return the error kind.
error_kind kind_of(const std::error_code& code);

} // namespace galenaroad

namespace std {
template <>
struct is_error_code_enum<galenaroad::error_kind> : true_type {
};
} // namespace std
