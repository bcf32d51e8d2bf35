#pragma once

#include "base/clock.h"

namespace galenaroad {

/// Limits on the retries to a service across the whole fleet.
struct retry_budget_limits {
    double ratio = 0.2; ///< Allowed retries per first attempt.
    /// Additional retries allowed per window, summed over all owners of the service.
    double extra_retries = 10;
    std::chrono::milliseconds window{10000};
};

/// The share of the fleet's retry budget that one owner manages for its upstream.
///
/// The budget limits retries when a whole service fails and every request would otherwise be sent
/// twice. Each owner sees all attempts at its upstream, so the budget is split equally among the
/// owners of a service and needs no messages between them.
class owner_retry_budget {
public:
    /// @param limits the limits for the whole fleet.
    explicit owner_retry_budget(retry_budget_limits limits);

    /// Records the first attempt of a request, which adds to the budget.
    /// @param owners number of owners of the service.
    /// @param now the current time.
    void record_first_attempt(int owners, steady_time now);

    /// Takes one retry out of the budget.
    /// @param owners number of owners of the service.
    /// @param now the current time.
    /// @return false if this owner's share of the budget is exhausted.
    bool try_acquire(int owners, steady_time now);

    /// Puts a retry back that was taken and is not made.
    /// @param owners number of owners of the service.
    /// @param now the current time.
    void give_back(int owners, steady_time now);

    /// @param owners number of owners of the service.
    /// @param now the current time.
    /// @return false if try_acquire() would fail.
    bool has_retry(int owners, steady_time now);

private:
    void refill(int owners, steady_time now);
    double capacity(int owners) const;

    retry_budget_limits m_limits;
    double m_tokens = 0;
    steady_time m_refilled_at;
    bool m_is_unused = true; ///< The bucket starts full.
};

} // namespace galenaroad
