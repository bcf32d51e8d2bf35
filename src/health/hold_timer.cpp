#include "health/hold_timer.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr double least_ramp_preference = 0.1;

double share_of(std::chrono::nanoseconds passed, std::chrono::nanoseconds whole)
{
    const double share = std::chrono::duration<double>(passed) / whole;
    return least_ramp_preference + (1 - least_ramp_preference) * std::clamp(share, 0.0, 1.0);
}

} // namespace

void hold_timer::announced(steady_time now)
{
    *this = hold_timer{};
    m_announced = now;
}

void hold_timer::sick(steady_time now)
{
    if (phase(now) == hold_phase::held) {
        return;
    }
    const bool is_forgiven = !m_held_until || now - *m_held_until >= forgiveness;
    m_hold = is_forgiven ? first_hold : std::min(m_hold * 2, longest_hold);
    m_held_until = now + m_hold;
}

void hold_timer::hold_until(steady_time end, steady_time now)
{
    if (end > now && (!m_held_until || end > *m_held_until)) {
        m_hold = std::max(m_hold, first_hold);
        m_held_until = end;
    }
}

void hold_timer::returned(steady_time now)
{
    m_held_until = now;
    m_hold = std::max(m_hold, first_hold);
}

hold_phase hold_timer::phase(steady_time now) const
{
    if (m_held_until) {
        const auto passed = now - *m_held_until;
        if (passed < std::chrono::nanoseconds(0)) {
            return hold_phase::held;
        }
        if (passed < trial_time) {
            return hold_phase::trial;
        }
        if (passed < trial_time + ramp_time) {
            return hold_phase::ramping;
        }
    }
    if (m_announced && now - *m_announced < cold_start) {
        return hold_phase::cold;
    }
    return hold_phase::serving;
}

double hold_timer::preference(steady_time now) const
{
    switch (phase(now)) {
    case hold_phase::cold:
        return share_of(now - *m_announced, ramp_time);
    case hold_phase::held:
        return held_preference;
    case hold_phase::trial:
        return trial_preference;
    case hold_phase::ramping:
        return share_of(now - *m_held_until - trial_time, ramp_time);
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
