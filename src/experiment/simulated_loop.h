#pragma once

#include "base/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace galenaroad {

/// Clock and timers of a model: time passes from one event to the next.
class simulated_loop : public clock {
public:
    simulated_loop();

    steady_time steady_now() const override { return m_now; }
    system_time system_now() const override;

    /// Calls an action later; those of the same moment in the order in which they were added.
    /// @param delay the time until then.
    /// @param action what is called.
    void after(std::chrono::nanoseconds delay, std::function<void()> action);

    /// Runs until no event is left.
    void run();

    /// Runs until no event is left before a time.
    /// @param length the time from the start.
    void run_for(std::chrono::nanoseconds length);

private:
    struct event {
        steady_time at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event& other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void run_next();

    steady_time m_now;
    std::uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
};

} // namespace galenaroad
