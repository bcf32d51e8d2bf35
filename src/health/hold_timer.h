#pragma once

#include "base/clock.h"

#include <chrono>
#include <optional>

namespace galenaroad {

/// Phase of an upstream's return to service.
enum class hold_phase {
    cold,    ///< Recently announced: its share grows and its attempts are no evidence.
    serving, ///< Full share.
    held,    ///< Set aside after a sick verdict.
    probing, ///< The hold has ended: receives trial traffic only.
    ramping, ///< The trial passed: its share grows.
};

/// Keeps a flapping upstream set aside for longer each time, and lets it return slowly.
class hold_timer {
public:
    static constexpr std::chrono::seconds initial_hold{10};
    static constexpr std::chrono::seconds max_hold{300};
    static constexpr std::chrono::seconds probe_time{3};
    static constexpr std::chrono::seconds ramp_time{10};
    static constexpr std::chrono::seconds cold_start{30};
    /// The hold time returns to its first value after this time without a sick verdict.
    static constexpr std::chrono::seconds hold_reset_time{300};
    static constexpr double held_preference = 0.01;
    static constexpr double probe_preference = 0.05;

    /// Notes that the upstream was announced.
    /// @param now the current time.
    void on_announced(steady_time now);

    /// Notes a sick verdict. Within a hold it has no further effect.
    /// @param now the current time.
    void on_unhealthy(steady_time now);

    /// Takes over a hold that the upstream's owner reported. A hold never becomes shorter.
    /// @param end the end of the reported hold.
    /// @param now the current time.
    void hold_until(steady_time end, steady_time now);

    /// Notes that an ejection has ended: the upstream returns by trial traffic and slow start.
    /// @param now the current time.
    void on_ejection_ended(steady_time now);

    /// @param now the current time.
    /// @return the phase.
    hold_phase phase(steady_time now) const;

    /// @param now the current time.
    /// @return the preference weight of the phase, above 0 and at most 1.
    double preference(steady_time now) const;

    /// @param now the current time.
    /// @return the time left of the hold; zero when the upstream is not held.
    std::chrono::nanoseconds remaining(steady_time now) const;

    /// @return the length of the current or latest hold; zero before the first.
    std::chrono::seconds hold_time() const { return m_hold_time; }

private:
    std::optional<steady_time> m_announced;
    std::optional<steady_time> m_held_until;
    std::chrono::seconds m_hold_time{0};
};

} // namespace galenaroad
