#pragma once

#include "base/clock.h"

namespace galenaroad {

/// Fleet-wide bound on repeated requests to a service.
struct retry_budget_limits {
    double ratio = 0.2;        ///< Repeated requests for each first one.
    double extra_retries = 10; ///< Further repeated requests in each window, over all owners.
    std::chrono::milliseconds window{10000};
};

/// The part of the fleet's retry budget that one owner grants for its upstream.
///
/// Answers the load where a whole service fails and every request would be sent twice. Each owner
/// sees all arrivals at its upstream, so equal parts for all owners of a service keep the
/// budget without messages between them.
class owner_retry_budget {
public:
    /// @param bounds the fleet's bounds.
    explicit owner_retry_budget(retry_budget_limits limits);

    /// Notes the first attempt of a request.
    /// @param owners number of owners of the service.
    /// @param now the current time.
    void record_first_attempt(int owners, steady_time now);

    /// Takes the allowance for a repeated request.
    /// @param owners number of owners of the service.
    /// @param now the current time.
    /// @return false when it would exceed this owner's part.
    bool try_acquire(int owners, steady_time now);

private:
    void refill(int owners, steady_time now);
    double capacity(int owners) const;

    retry_budget_limits m_limits;
    double m_tokens = 0;
    steady_time m_refilled_at;
    bool m_is_unused = true; ///< Starts with its whole part.
};

} // namespace galenaroad
