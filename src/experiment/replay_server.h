#pragma once

#include "base/random_engine.h"
#include "experiment/replay_scenario.h"
#include "load/owned_upstream.h"

#include <string>
#include <vector>

namespace galenaroad {

/// Where a server of a replay stands.
struct replay_place {
    std::size_t index = 0;   ///< Among all servers.
    std::size_t service = 0; ///< Index of its service.
    int number = 0;          ///< Among the servers of its service.
};

/// Model of a backend server: its owner's decisions, and how it fails, rejects, slows and leaves.
class replay_server {
public:
    /// @param scenario noise and faults; must outlive the server.
    /// @param place where it stands.
    /// @param time the clock; must outlive the server.
    /// @param policy how the owner judges it.
    /// @param random draws the periods in which it fails, the same for all versions.
    replay_server(const replay_scenario& scenario, replay_place place, const clock& time,
                  owner_policy policy, random_engine& random);

    /// @return where it stands.
    const replay_place& place() const { return m_place; }

    /// @return index of its data centre.
    std::size_t data_centre() const;

    /// @return its owner's record for the directory.
    owner_record record() const;

    /// @return probability that it fails a request now.
    double failing_share() const;

    /// @return probability that it rejects a request now.
    double rejecting_share() const;

    /// @return how many times as long as usual a request takes now.
    double slowness() const;

    /// @return true while it is gone.
    bool is_gone() const;

    /// @return true while it could run another request.
    bool has_free_slot() const;

    /// @param from begin of a span, as time since the start of the replay.
    /// @param until its end.
    /// @param after_fault time for which an upstream is not sound after a fault.
    /// @param after_failing the same after it has failed by itself.
    /// @return true when it is sound in the whole span.
    bool is_sound(std::chrono::nanoseconds from, std::chrono::nanoseconds until,
                  std::chrono::nanoseconds after_fault,
                  std::chrono::nanoseconds after_failing) const;

    owned_upstream owned;
    int running = 0; ///< Requests that it works on.

private:
    bool is_noisy() const;
    std::size_t noise_period(std::chrono::nanoseconds at) const;
    bool is_hit_by(const replay_fault& fault) const;
    const replay_fault* fault(replay_fault::effect what) const;
    const replay_service& service() const { return m_scenario.services[m_place.service]; }

    const replay_scenario& m_scenario;
    replay_place m_place;
    const clock& m_clock;
    steady_time m_start;
    std::chrono::nanoseconds m_noise_phase{0};
    std::vector<bool> m_noisy_periods;
};

} // namespace galenaroad
