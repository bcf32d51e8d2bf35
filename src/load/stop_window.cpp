#include "load/stop_window.h"

#include <algorithm>

namespace galenaroad {

using namespace std::chrono_literals;

void stop_window::begin(steady_time clients_notified_at, steady_time exits_at)
{
    m_clients_notified_at = clients_notified_at;
    m_exits_at = exits_at;
}

bool stop_window::accepts_request(steady_time deadline, steady_time now) const
{
    return !m_exits_at || now < m_clients_notified_at || deadline <= *m_exits_at;
}

bool stop_window::may_start_owned(steady_time deadline, bool can_retry, steady_time now) const
{
    const bool is_early = now < m_clients_notified_at;
    return !m_exits_at || deadline <= *m_exits_at || (can_retry && is_early);
}

std::chrono::milliseconds stop_window::time_until_exit(steady_time now) const
{
    if (!m_exits_at) {
        return 0ms;
    }
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(*m_exits_at - now);
    return std::max(left, 0ms);
}

} // namespace galenaroad
