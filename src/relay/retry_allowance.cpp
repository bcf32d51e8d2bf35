#include "relay/retry_allowance.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Calls made by a repeated request count as repeated as well and are not seen here; the part of
// the bounds that is left unused covers them.
constexpr double used_part = 0.7;

} // namespace

retry_allowance::retry_allowance(retry_bounds bounds) : m_bounds(bounds) {}

void retry_allowance::note_first(int owners)
{
    if (m_is_full) {
        return;
    }
    m_tokens = std::min(m_tokens + m_bounds.ratio * used_part, capacity(owners));
}

bool retry_allowance::take(int owners)
{
    if (m_is_full) {
        m_is_full = false;
        m_tokens = capacity(owners);
    }
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

double retry_allowance::capacity(int owners) const
{
    return std::max(1.0, m_bounds.extra * used_part / std::max(owners, 1));
}

} // namespace galenaroad
