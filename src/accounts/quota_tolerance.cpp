#include "accounts/quota_tolerance.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Half of `over` is for the age of tokens, and half for the deputies.
constexpr double parts_of_over = 2;
// The response to a question must arrive within the age of its tokens.
constexpr std::chrono::milliseconds min_token_age(100);

} // namespace

std::chrono::milliseconds quota_shares::max_token_age(const quota_tolerance& tolerance)
{
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        tolerance.window * tolerance.over / parts_of_over);
    return std::max(age, min_token_age);
}

account_quota quota_shares::of_deputy(const quota_tolerance& tolerance, const account_quota& quota)
{
    const std::chrono::duration<double> window = tolerance.window;
    const double per_window = quota.rate * window.count() + quota.burst;
    const double share = (per_window * tolerance.over / parts_of_over + tolerance.slack) / deputies;
    // In one window a bucket grants its burst and what it accrues, and its burst once more when its
    // daemon is started again.
    return {share / 3 / window.count(), share / 3};
}

} // namespace galenaroad
