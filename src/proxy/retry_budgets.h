#pragma once

#include "admission/retry_policy.h"
#include "model/upstream.h"

#include <map>
#include <mutex>

namespace galenaroad {

/// Retry budgets of all services at this entry daemon. Thread-safe.
class retry_budgets {
public:
    /// Counts a new request.
    /// @param service the service.
    void note_request(const service_id& service);

    /// Decides on a retry by retry_policy.
    /// @param service the service.
    /// @param attempt the failed attempt.
    /// @param context the request's context; loses one retry when one is granted.
    /// @param now the current time.
    /// @return true when another attempt may be made.
    bool may_retry(const service_id& service, const failed_attempt& attempt, call_context& context,
                   steady_time now);

private:
    std::mutex m_mutex;
    std::map<service_id, retry_budget> m_budgets;
};

} // namespace galenaroad
