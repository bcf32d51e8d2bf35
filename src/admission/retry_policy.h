#pragma once

#include "admission/call_context.h"
#include "admission/retry_budget.h"
#include "base/error_kind.h"

#include <chrono>

namespace galenaroad {

/// State of a request after a failed attempt.
struct failed_attempt {
    error_kind kind = error_kind::internal;
    run_state run = run_state::unknown; ///< What is known about the attempt.
    int attempts = 1;                   ///< Attempts so far, this one included.
    bool idempotent = false;            ///< The request may run more than once.
    bool replayable = false;            ///< The complete request body is still available.
    bool response_started = false;      ///< Part of the response was sent to the caller.
};

/// Decides whether a failed attempt is retried on a different upstream.
class retry_policy {
public:
    /// Attempts per request, the first one included.
    static constexpr int max_attempts = 2;
    /// With less time until the deadline, a retry could not complete and would only add load.
    static constexpr auto min_time_for_retry = std::chrono::milliseconds(10);

    /// Decides on a retry. Takes a token from the budget when it grants one.
    /// @param attempt the failed attempt.
    /// @param context the request's context; a granted retry is deducted from it.
    /// @param budget the service's retry budget.
    /// @param now the current time.
    /// @return true when a retry may be made.
    static bool may_retry(const failed_attempt& attempt, call_context& context,
                          retry_budget& budget, steady_time now);

    /// Computes the timeout of one attempt, so that an unresponsive upstream leaves time for a
    /// retry.
    /// @param context the request's context.
    /// @param retry_possible whether a retry could follow.
    /// @param now the current time.
    /// @return the timeout of the attempt.
    static std::chrono::milliseconds attempt_timeout(const call_context& context,
                                                     bool retry_possible, steady_time now);
};

} // namespace galenaroad
