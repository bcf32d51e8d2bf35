#include "health/hold_timer.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr double min_ramp_preference = 0.1;

double ramp_preference(std::chrono::nanoseconds elapsed, std::chrono::nanoseconds ramp_duration)
{
    const double share = std::chrono::duration<double>(elapsed) / ramp_duration;
    return min_ramp_preference + (1 - min_ramp_preference) * std::clamp(share, 0.0, 1.0);
}

} // namespace

void hold_timer::on_announced(steady_time now)
{
    *this = hold_timer{};
    m_announced_at = now;
}

void hold_timer::on_unhealthy(steady_time now)
{
    if (phase(now) == hold_phase::held) {
        return;
    }
    const bool is_reset = !m_held_until || now - *m_held_until >= hold_reset_time;
    m_hold_time = is_reset ? initial_hold_time : std::min(m_hold_time * 2, max_hold_time);
    m_held_until = now + m_hold_time;
}

void hold_timer::hold_until(steady_time end, steady_time now)
{
    if (end > now && (!m_held_until || end > *m_held_until)) {
        m_hold_time = std::max(m_hold_time, initial_hold_time);
        m_held_until = end;
    }
}

void hold_timer::on_ejection_ended(steady_time now)
{
    m_held_until = now;
    m_hold_time = std::max(m_hold_time, initial_hold_time);
}

hold_phase hold_timer::phase(steady_time now) const
{
    if (m_held_until) {
        const auto elapsed = now - *m_held_until;
        if (elapsed < std::chrono::nanoseconds(0)) {
            return hold_phase::held;
        }
        if (elapsed < probing_time) {
            return hold_phase::probing;
        }
        if (elapsed < probing_time + ramp_time) {
            return hold_phase::ramping;
        }
    }
    if (m_announced_at && now - *m_announced_at < cold_start_time) {
        return hold_phase::cold;
    }
    return hold_phase::serving;
}

double hold_timer::preference(steady_time now) const
{
    switch (phase(now)) {
    case hold_phase::cold:
        return ramp_preference(now - *m_announced_at, ramp_time);
    case hold_phase::held:
        return held_preference;
    case hold_phase::probing:
        return probing_preference;
    case hold_phase::ramping:
        return ramp_preference(now - *m_held_until - probing_time, ramp_time);
    case hold_phase::serving:
        break;
    }
    return 1.0;
}

std::chrono::nanoseconds hold_timer::remaining(steady_time now) const
{
    if (!m_held_until || *m_held_until <= now) {
        return std::chrono::nanoseconds(0);
    }
    return *m_held_until - now;
}

} // namespace galenaroad
