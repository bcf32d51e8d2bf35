#include "load/owner_retry_budget.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Share of the configured ratio that is used. The budget of the fleet counts only requests of
// clients as first attempts, but an owner also sees calls between services as first attempts. Calls
// made by a retried request count as retries.
constexpr double used_ratio_share = 0.6;
// Shares of the extra retries that are available at once and that are refilled over a window.
constexpr double burst_share = 0.35;
constexpr double refill_share = 0.45;

} // namespace

owner_retry_budget::owner_retry_budget(retry_budget_limits limits) : m_limits(limits) {}

void owner_retry_budget::record_first_attempt(int owners, steady_time now)
{
    refill(owners, now);
    m_tokens = std::min(m_tokens + m_limits.ratio * used_ratio_share, capacity(owners));
}

bool owner_retry_budget::try_acquire(int owners, steady_time now)
{
    if (!has_retry(owners, now)) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void owner_retry_budget::give_back(int owners, steady_time now)
{
    refill(owners, now);
    m_tokens = std::min(m_tokens + 1, capacity(owners));
}

bool owner_retry_budget::has_retry(int owners, steady_time now)
{
    refill(owners, now);
    return m_tokens >= 1;
}

void owner_retry_budget::refill(int owners, steady_time now)
{
    if (m_is_unused) {
        m_is_unused = false;
        m_tokens = capacity(owners);
        m_refilled_at = now;
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_refilled_at;
    const std::chrono::duration<double> window = m_limits.window;
    const double tokens_per_window = m_limits.extra_retries * refill_share / std::max(owners, 1);
    m_tokens = std::min(m_tokens + tokens_per_window * (elapsed / window), capacity(owners));
    m_refilled_at = now;
}

double owner_retry_budget::capacity(int owners) const
{
    return std::max(1.0, m_limits.extra_retries * burst_share / std::max(owners, 1));
}

} // namespace galenaroad
