#pragma once

#include "experiment/fleet_history.h"

#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Rule of the specification that a history of processes breaks.
enum class fleet_rule {
    one_run,          ///< A key, or a request without one, runs at most once.
    true_not_run,     ///< A request that is answered `not_run` has no run.
    whole_download,   ///< A successful download has all its bytes and the right checksum.
    own_response,     ///< A success carries the caller's own request.
    answered,         ///< A reachable daemon sends at least the head of a response.
    in_time,          ///< A request ends by its deadline.
    version_order,    ///< A daemon's configuration version never decreases.
    version_in_force, ///< An accepted version is in force at reachable daemons in time.
    leaving_is_quiet, ///< A server that announced leaving starts no request after the bound.
    stop_is_graceful, ///< A planned stop cuts no request and exits with 0.
};

/// A broken rule and where it was found.
struct fleet_violation {
    fleet_rule rule;
    std::string detail;
};

/// Judges a history of a fleet of processes. It shares no code with the system that it judges.
class fleet_history_checker {
public:
    /// Time after a deadline for the response to arrive: a hundred times the 2 ms that section 1.3
    /// allows the path to add.
    static constexpr history_time deadline_allowance{200};
    /// Bound of invariants 5 and 7.
    static constexpr history_time news_bound{3000};
    /// A request sent this long before SIGTERM is in flight: its bytes have been read.
    static constexpr history_time in_flight_margin{100};

    /// @param history what was seen.
    explicit fleet_history_checker(const fleet_history& history) : m_history(history) {}

    /// Judges the history.
    /// @return the broken rules.
    std::vector<fleet_violation> violations() const;

    /// Judges the history.
    /// @return the names of the broken rules.
    std::set<fleet_rule> broken_rules() const;

    /// @return all violations, one a line.
    std::string report() const;

    /// @param rule the rule.
    /// @return its name.
    static std::string name_of(fleet_rule rule);

private:
    using findings = std::vector<fleet_violation>;

    void check_runs(findings& found) const;
    void check_refused_keys(findings& found) const;
    void check_call(const call_event& call, findings& found) const;
    void check_versions(findings& found) const;
    void check_acceptance(const accept_event& accept, findings& found) const;
    void check_leaves(findings& found) const;
    void check_stops(findings& found) const;
    bool was_unreachable(const call_event& call) const;
    history_time due_time(const accept_event& accept, const std::string& daemon) const;

    const fleet_history& m_history;
};

} // namespace galenaroad
