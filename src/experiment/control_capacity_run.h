#pragma once

#include "experiment/control_fleet.h"
#include "membership/name_pool.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace galenaroad {

/// What a capacity run measures for one fleet size.
struct capacity_row {
    int daemons = 0;
    int upstreams = 0;
    double sent_bytes_per_s = 0; ///< Mean of all daemons, payload by the real codec.
    double received_bytes_per_s = 0;
    double busiest_bytes_per_s = 0; ///< Sent and received by the daemon with the most.
    double cross_region_bytes_per_s = 0;
    double messages_per_s = 0; ///< Sent by a daemon.
    double cpu_us_per_s = 0;   ///< Per daemon, with codec and fake network.
    double in_force_median_ms = 0;
    double in_force_worst_ms = 0;
    double detected_first_ms = 0; ///< A killed daemon is dead in the first view.
    double detected_all_ms = 0;   ///< A killed daemon is out of all views.
    double left_all_ms = 0;       ///< A leaving daemon gets no new work from anybody.
    int restarts = 0;             ///< In the measured period.
    int changes = 0;
};

/// Settings of a capacity run.
struct capacity_settings {
    int daemons = 100;
    std::chrono::seconds period{60};
    std::uint64_t seed = 1;
    int probes = 10; ///< Changes, kills and departures that are timed after the period.
    membership_settings membership;
};

/// Runs a fleet under the churn of docs/design.md, scaled by its size, and measures what control
/// costs each daemon.
class control_capacity_run {
public:
    /// @param settings what to run.
    explicit control_capacity_run(const capacity_settings& settings);

    /// @return the measurements.
    capacity_row run();

private:
    struct traffic {
        std::uint64_t sent = 0;
        std::uint64_t received = 0;
    };

    void join_all();
    void load_contracts();
    void measure_period();
    void restart_next();
    void count(int from, int to, const fake_network::payload& content);
    void change_contract();
    double time_change();
    void time_changes();
    void time_kills();
    void time_departures();
    bool full_views() const;
    bool out_of_all_views(int gone) const;

    capacity_settings m_settings;
    control_fleet m_fleet;
    name_pool m_names;
    std::vector<traffic> m_traffic;
    std::uint64_t m_cross_region = 0;
    std::uint64_t m_messages = 0;
    std::uint64_t m_version = 0;
    int m_next_restart = 0;
    int m_restarting = -1;
    capacity_row m_row;
};

} // namespace galenaroad
