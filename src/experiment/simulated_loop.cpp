#include "experiment/simulated_loop.h"

namespace galenaroad {

namespace {

// Decisions compare times with a default value, which has to lie far back.
constexpr auto start_time = std::chrono::hours(1);

} // namespace

simulated_loop::simulated_loop() : m_now(start_time) {}

system_time simulated_loop::system_now() const
{
    return system_time(std::chrono::duration_cast<system_time::duration>(m_now.time_since_epoch()));
}

void simulated_loop::after(std::chrono::nanoseconds delay, std::function<void()> action)
{
    m_events.push({m_now + delay, m_order++, std::move(action)});
}

void simulated_loop::run()
{
    while (!m_events.empty()) {
        run_next();
    }
}

void simulated_loop::run_for(std::chrono::nanoseconds length)
{
    const auto end = m_now + length;
    while (!m_events.empty() && m_events.top().at < end) {
        run_next();
    }
    m_now = end;
}

void simulated_loop::run_next()
{
    const auto next = m_events.top();
    m_events.pop();
    m_now = next.at;
    next.action();
}

} // namespace galenaroad
