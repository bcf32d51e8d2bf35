#include "admission/retry_budget.h"

#include <algorithm>

namespace galenaroad {

namespace {

// Ten additions of 0.1 give slightly less than 1.0 in binary arithmetic.
constexpr double rounding_tolerance = 1e-9;

} // namespace

void retry_budget::record_request()
{
    m_tokens = std::min(m_tokens + tokens_per_request, max_tokens);
}

bool retry_budget::take()
{
    if (m_tokens + rounding_tolerance < 1.0) {
        return false;
    }
    m_tokens -= 1.0;
    return true;
}

} // namespace galenaroad
