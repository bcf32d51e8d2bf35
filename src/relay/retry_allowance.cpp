#include "relay/retry_allowance.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Part of the ratio that is used. Only requests of clients count for the fleet's budget, while an
// owner sees calls between services as first attempts too; and calls made by a repeated request
// count as repeated.
constexpr double used_ratio = 0.6;
// Parts of the extra requests: at once, and evenly over the window.
constexpr double burst_part = 0.35;
constexpr double steady_part = 0.45;

} // namespace

retry_allowance::retry_allowance(retry_bounds bounds) : m_bounds(bounds) {}

void retry_allowance::note_first(int owners, steady_time now)
{
    refill(owners, now);
    m_tokens = std::min(m_tokens + m_bounds.ratio * used_ratio, capacity(owners));
}

bool retry_allowance::take(int owners, steady_time now)
{
    refill(owners, now);
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

void retry_allowance::refill(int owners, steady_time now)
{
    if (m_is_full) {
        m_is_full = false;
        m_tokens = capacity(owners);
        m_refilled_at = now;
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_refilled_at;
    const std::chrono::duration<double> window = m_bounds.window;
    const double part = m_bounds.extra * steady_part / std::max(owners, 1);
    m_tokens = std::min(m_tokens + part * (elapsed / window), capacity(owners));
    m_refilled_at = now;
}

double retry_allowance::capacity(int owners) const
{
    return std::max(1.0, m_bounds.extra * burst_part / std::max(owners, 1));
}

} // namespace galenaroad
