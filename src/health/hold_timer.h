#pragma once

#include "base/clock.h"

#include <chrono>
#include <optional>

namespace galenaroad {

/// Phase of an upstream's hold and return to service.
enum class hold_phase {
    cold,    ///< Recently announced: slow start; its attempts do not count as evidence.
    serving, ///< Receives its full share of the requests.
    held,    ///< Found unhealthy: receives almost no requests.
    probing, ///< The hold has ended: receives probe requests only.
    ramping, ///< Slow start after the probing phase.
};

/// Hold of one upstream, during which this daemon sends it almost no requests.
///
/// The hold time doubles for an upstream that becomes unhealthy again soon after its return. After
/// a hold the upstream receives probe requests and then returns by slow start.
class hold_timer {
public:
    static constexpr std::chrono::seconds initial_hold_time{10};
    static constexpr std::chrono::seconds max_hold_time{300};
    static constexpr std::chrono::seconds probing_time{3};
    static constexpr std::chrono::seconds ramp_time{10};
    static constexpr std::chrono::seconds cold_start_time{30};
    /// The hold time returns to its initial value after this time without an unhealthy verdict.
    static constexpr std::chrono::seconds hold_reset_time{300};
    static constexpr double held_preference = 0.01;
    static constexpr double probing_preference = 0.05;

    /// Resets the timer because the upstream was announced, and starts its cold phase.
    /// @param now the current time.
    void on_announced(steady_time now);

    /// Starts a hold after an unhealthy verdict. During a hold it has no effect.
    /// @param now the current time.
    void on_unhealthy(steady_time now);

    /// Applies a hold that the upstream's owner reported. It never shortens a hold.
    /// @param end the end of the reported hold.
    /// @param now the current time.
    void hold_until(steady_time end, steady_time now);

    /// Ends the hold because an ejection has ended: the upstream returns by probe requests and slow
    /// start.
    /// @param now the current time.
    void on_ejection_ended(steady_time now);

    /// @param now the current time.
    /// @return the phase.
    hold_phase phase(steady_time now) const;

    /// @param now the current time.
    /// @return the preference weight of the phase, above 0 and at most 1.
    double preference(steady_time now) const;

    /// @param now the current time.
    /// @return the remaining time of the hold; zero when the upstream is not held.
    std::chrono::nanoseconds remaining(steady_time now) const;

    /// @return the length of the current or latest hold; zero before the first.
    std::chrono::seconds hold_time() const { return m_hold_time; }

private:
    std::optional<steady_time> m_announced_at;
    std::optional<steady_time> m_held_until;
    std::chrono::seconds m_hold_time{0};
};

} // namespace galenaroad
