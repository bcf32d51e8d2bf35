#pragma once

#include "base/clock.h"

namespace galenaroad {

/// Clock that only moves when told to. Used by tests and experiments.
class manual_clock : public clock {
public:
    steady_time steady_now() const override { return steady_time(m_elapsed + m_start); }
    system_time system_now() const override
    {
        return system_time(std::chrono::duration_cast<system_time::duration>(m_elapsed + m_start));
    }

    /// Moves both clocks forward.
    /// @param step the time to add.
    void advance(std::chrono::nanoseconds step) { m_elapsed += step; }

private:
    // A start other than zero lets code subtract intervals without reaching negative times.
    std::chrono::nanoseconds m_start = std::chrono::hours(24);
    std::chrono::nanoseconds m_elapsed{0};
};

} // namespace galenaroad
