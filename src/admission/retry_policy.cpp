#include "admission/retry_policy.h"

namespace galenaroad {

namespace {

// A leaving daemon refuses immediately and puts no load on its backend servers.
bool costs_budget(error_kind kind)
{
    return kind != error_kind::leaving;
}

bool is_final(error_kind kind)
{
    switch (kind) {
    case error_kind::upstream_busy:
    case error_kind::service_unavailable:
    case error_kind::leaving:
    case error_kind::peer_unreachable:
    case error_kind::outcome_unknown:
    case error_kind::upstream_failed:
    case error_kind::answer_incomplete:
    case error_kind::answer_mismatched:
    case error_kind::deadline_exceeded:
        return false;
    default:
        return true;
    }
}

} // namespace

bool retry_policy::may_retry(const failed_attempt& attempt, call_context& context,
                             retry_budget& budget, steady_time now)
{
    if (attempt.response_started || !attempt.replayable || is_final(attempt.kind)) {
        return false;
    }
    if (attempt.attempts >= max_attempts || context.remaining(now) < min_time_for_retry) {
        return false;
    }
    if (!attempt.idempotent && attempt.run != run_state::not_run) {
        return false;
    }
    if (!costs_budget(attempt.kind)) {
        return true;
    }
    if (context.retries_left <= 0 || !budget.take()) {
        return false;
    }
    --context.retries_left;
    return true;
}

std::chrono::milliseconds retry_policy::attempt_timeout(const call_context& context,
                                                        bool retry_possible, steady_time now)
{
    const auto remaining = context.remaining(now);
    return retry_possible ? remaining * 3 / 5 : remaining;
}

} // namespace galenaroad
