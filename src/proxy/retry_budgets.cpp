#include "proxy/retry_budgets.h"

namespace galenaroad {

void retry_budgets::note_request(const service_id& service)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_budgets[service].record_request();
}

bool retry_budgets::may_retry(const service_id& service, const failed_attempt& attempt,
                              call_context& context, steady_time now)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return retry_policy::may_retry(attempt, context, m_budgets[service], now);
}

} // namespace galenaroad
