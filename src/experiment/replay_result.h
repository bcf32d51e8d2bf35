#pragma once

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// What became of the requests of one kind, or of all.
struct replay_counts {
    long asked = 0;
    long served = 0;
    long refused = 0; ///< Told that they have not run.
    long failed = 0;
    double owed = 0;
    double credit = 0;

    /// @return the part of the credit owed that was earned.
    double worth() const { return owed > 0 ? credit / owed : 1; }
};

/// Measures of one replay.
struct replay_result {
    std::map<std::string, replay_counts> kinds;    ///< Of clients.
    std::map<std::string, replay_counts> accounts; ///< Of client accounts, by name.
    replay_counts all;
    std::vector<replay_counts> windows; ///< Of two seconds each.
    long attempts = 0;                  ///< Runs at upstreams, also of calls.
    long requests = 0;                  ///< Of clients and calls.
    long wasted_runs = 0;               ///< Ended after their request had been answered.
    long refused_beside_free_slot = 0;  ///< While an upstream of the service had a free slot.
    std::chrono::milliseconds refused_held{0}; ///< Sum of the time that refused requests took.
    double far_megabytes = 0;                  ///< Between data centres.
    long floor_breaches = 0;                   ///< See replay_floor.

    /// @return the share served, as a part of the nines that count at most (0.995).
    double nines() const;

    /// @return the mean of the two windows with the least worth.
    double worst_windows() const;

    /// @return the least worth of a kind.
    double worst_kind() const;

    /// @return all of it, weighed as the users weigh it, without prices.
    double worth() const;
};

} // namespace galenaroad
