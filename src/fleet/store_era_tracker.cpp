#include "fleet/store_era_tracker.h"

namespace galenaroad {

namespace {

using namespace std::chrono_literals;

// Calls are given up after 1.5 s, so late responses do not come for longer than that, except to a
// few polls. A store that was reset is followed a few seconds later.
constexpr auto min_reset_time = 5s;
constexpr int min_reset_responses = 3;

} // namespace

era_verdict store_era_tracker::on_response(store_era era)
{
    const bool is_first = !m_has_response;
    m_has_response = true;
    if (!era.is_known()) {
        return era_verdict::current;
    }
    if (era == m_current) {
        m_lower_since.reset();
        return era_verdict::current;
    }
    if (era.is_before(m_current) && !has_been_reset()) {
        return era_verdict::outdated;
    }
    m_current = era;
    m_lower_since.reset();
    return is_first ? era_verdict::current : era_verdict::advanced;
}

bool store_era_tracker::has_been_reset()
{
    const auto now = m_clock.steady_now();
    if (!m_lower_since) {
        m_lower_since = now;
        m_lower_responses = 0;
    }
    ++m_lower_responses;
    return m_lower_responses >= min_reset_responses && now - *m_lower_since >= min_reset_time;
}

} // namespace galenaroad
