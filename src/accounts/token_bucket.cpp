#include "accounts/token_bucket.h"

#include <algorithm>

namespace galenaroad {

double token_bucket::capacity(const account_quota& quota)
{
    return std::max(quota.burst, 1.0);
}

void token_bucket::update(const account_quota& quota, steady_time now)
{
    const std::chrono::duration<double> elapsed = std::max(now - m_updated_at, {});
    m_level = std::min(m_level + elapsed.count() * quota.rate, capacity(quota));
    m_updated_at = std::max(m_updated_at, now);
}

int token_bucket::take(int wanted)
{
    const int taken = std::clamp(static_cast<int>(m_level), 0, wanted);
    m_level -= taken;
    return taken;
}

} // namespace galenaroad
