#include "base/error_kind.h"

#include <algorithm>
#include <array>
#include <string>

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

constexpr auto no_retry = 0ms;

// The order equals that of error_kind, so that a kind is its own index.
constexpr std::array<error_answer, 26> error_answers{{
    {error_kind::ok, "ok", 200, run_state::completed, no_retry, 0, "Success"},
    {error_kind::invalid_request, "invalid_request", 400, run_state::not_run, no_retry, 2,
     "The request is malformed"},
    {error_kind::request_too_large, "request_too_large", 413, run_state::not_run, no_retry, 2,
     "The request exceeds a size limit"},
    {error_kind::route_not_found, "route_not_found", 404, run_state::not_run, no_retry, 3,
     "No route matches the request"},
    {error_kind::call_too_deep, "call_too_deep", 508, run_state::not_run, no_retry, 3,
     "The chain of nested calls is too deep"},
    {error_kind::key_required, "key_required", 400, run_state::not_run, no_retry, 2,
     "The route requires an Idempotency-Key header"},
    {error_kind::key_reused, "key_reused", 422, run_state::not_run, no_retry, 2,
     "The idempotency key belongs to a different request"},
    {error_kind::action_in_progress, "action_in_progress", 409, run_state::unknown, 1000ms, 4,
     "An action with this idempotency key is in progress"},
    {error_kind::upstream_busy, "upstream_busy", 503, run_state::not_run, 1000ms, 4,
     "All upstreams are at their limits"},
    {error_kind::service_unavailable, "service_unavailable", 503, run_state::not_run, 2000ms, 4,
     "No upstream of the service can be reached"},
    {error_kind::leaving, "leaving", 503, run_state::not_run, 1000ms, 4,
     "The instance is shutting down"},
    {error_kind::deadline_exceeded_before_run, "deadline_exceeded_before_run", 504,
     run_state::not_run, 1000ms, 4, "The deadline passed before the request was started"},
    {error_kind::store_unavailable, "store_unavailable", 503, run_state::not_run, 5000ms, 5,
     "The platform's table service is unavailable"},
    {error_kind::outcome_unknown, "outcome_unknown", 502, run_state::unknown, 2000ms, 6,
     "The request may have run; its outcome is not known"},
    {error_kind::upstream_failed, "upstream_failed", 502, run_state::unknown, 1000ms, 6,
     "The backend server failed while it handled the request"},
    {error_kind::answer_incomplete, "answer_incomplete", 502, run_state::unknown, 1000ms, 6,
     "The answer of the backend server ended early"},
    {error_kind::answer_mismatched, "answer_mismatched", 502, run_state::unknown, 1000ms, 6,
     "An answer to another request was received and discarded"},
    {error_kind::deadline_exceeded, "deadline_exceeded", 504, run_state::unknown, 1000ms, 6,
     "The deadline passed while the request was running"},
    {error_kind::configuration_unavailable, "configuration_unavailable", 503, run_state::not_run,
     2000ms, 5, "No configuration has been received yet"},
    {error_kind::settings_invalid, "settings_invalid", 500, run_state::not_run, no_retry, 64,
     "The settings are invalid"},
    {error_kind::declaration_invalid, "declaration_invalid", 422, run_state::not_run, no_retry, 65,
     "The declaration is invalid"},
    {error_kind::sheet_invalid, "sheet_invalid", 422, run_state::not_run, no_retry, 66,
     "The sheet is invalid"},
    {error_kind::version_conflict, "version_conflict", 409, run_state::not_run, no_retry, 7,
     "Another change was accepted first"},
    {error_kind::floor_would_be_breached, "floor_would_be_breached", 409, run_state::not_run,
     5000ms, 8, "The service's capacity would fall below its floor"},
    {error_kind::peer_unreachable, "peer_unreachable", 503, run_state::not_run, 1000ms, 9,
     "The daemon cannot be reached"},
    {error_kind::internal, "internal", 500, run_state::unknown, no_retry, 70, "Internal error"},
}};

class error_kind_category_type : public std::error_category {
public:
    const char* name() const noexcept override { return "galenaroad"; }
    std::string message(int value) const override
    {
        return std::string(answer_for(static_cast<error_kind>(value)).title);
    }
};

} // namespace

const error_answer& answer_for(error_kind kind)
{
    const auto index = static_cast<std::size_t>(kind);
    if (index >= error_answers.size()) {
        return error_answers.back();
    }
    return error_answers[index];
}

error_kind error_kind_named(std::string_view name)
{
    const auto* const found = std::find_if(error_answers.begin(), error_answers.end(),
                                           [&](const auto& row) { return row.name == name; });
    return found == error_answers.end() ? error_kind::internal : found->kind;
}

std::string_view run_state_name(run_state run)
{
    switch (run) {
    case run_state::not_run:
        return "not_run";
    case run_state::completed:
        return "completed";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

const std::error_category& error_kind_category()
{
    static const error_kind_category_type category;
    return category;
}

std::error_code make_error_code(error_kind kind)
{
    return {static_cast<int>(kind), error_kind_category()};
}

error_kind kind_of(const std::error_code& code)
{
    if (code.category() != error_kind_category()) {
        return code ? error_kind::internal : error_kind::ok;
    }
    return static_cast<error_kind>(code.value());
}

} // namespace galenaroad
