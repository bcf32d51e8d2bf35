#include "load/stop_window.h"

#include <algorithm>

namespace galenaroad {

using namespace std::chrono_literals;

namespace {

// Time in which most requests end. One that the exit interrupts costs a retry; an upstream whose
// owner refuses everything for longer than this is without work until the next start of its owner.
constexpr auto usual_run_time = 1500ms;

} // namespace

void stop_window::begin(steady_time clients_notified_at, steady_time exits_at)
{
    m_clients_notified_at = clients_notified_at;
    m_exits_at = exits_at;
}

bool stop_window::accepts_request(steady_time deadline, steady_time now) const
{
    return now < m_clients_notified_at || ends_before_exit(deadline);
}

bool stop_window::ends_before_exit(steady_time deadline) const
{
    return !m_exits_at || deadline <= *m_exits_at;
}

bool stop_window::may_start_owned(steady_time deadline, bool may_be_interrupted,
                                  steady_time now) const
{
    return ends_before_exit(deadline) || (may_be_interrupted && now < starts_interruptible_until());
}

steady_time stop_window::starts_interruptible_until() const
{
    return m_exits_at ? *m_exits_at - usual_run_time : steady_time();
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
