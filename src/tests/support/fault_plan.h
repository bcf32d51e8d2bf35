#pragma once

#include <vector>

namespace galenaroad {

/// Event that a test brings about in a fleet of processes.
enum class process_fault {
    daemon_killed,
    daemon_frozen,  ///< Stopped by a signal for longer than it takes to be declared dead.
    daemon_stopped, ///< Planned, by SIGTERM.
    server_killed,
    server_leaving, ///< Planned, by withdrawing the announcement.
    server_silent,
    server_slow,
    server_failing,
    server_truncating,
    store_unavailable,
    store_slow,
    store_losing_responses,
};

/// What happens to a fleet during a run.
struct fault_plan {
    unsigned seed = 1;
    std::vector<process_fault> faults; ///< Brought about together, on different targets.
};

} // namespace galenaroad
