#pragma once

#include "base/clock.h"
#include "base/random_engine.h"
#include "fleet/owner_directory.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace galenaroad {

/// Location of this daemon.
struct daemon_location {
    std::string address; ///< Address at which peers reach this daemon.
    std::string data_centre;
    std::string region;
};

/// Health of an upstream as its owner reports it with each response or refusal.
struct owner_health {
    double failure_probability = 0; ///< Probability that the upstream is failing.
    double load = 0; ///< Running and waiting requests divided by the number of slots.
    /// False while the owner refuses all requests because it or its upstream is leaving.
    bool accepts_requests = true;
    /// Time since the latest outcome that gave evidence about the upstream; nothing if the owner
    /// did not report it. A refusal reports health without a new outcome.
    std::optional<std::chrono::milliseconds> last_outcome_age = std::nullopt;
    /// True while the owner refuses requests that cannot be retried because it is stopping.
    bool accepts_only_retryable = false;
};

/// Thresholds above which an owner refuses a request.
struct refusal_thresholds {
    /// Maximum failure probability; values above 1 disable the check.
    double failure_probability = 2;
    double load = 1e9; ///< Load at which no slot is free.
};

/// What a request requires of the owner that is chosen for it.
struct owner_requirements {
    std::string service;
    std::set<std::string> excluded; ///< Owners that have already been tried.
    double payload_bytes = 0;       ///< Size of the request body and expected size of the response.
    refusal_thresholds thresholds;  ///< Owners whose health exceeds these are skipped.
    bool may_retry = false;         ///< A failed attempt can be retried.
    bool avoids_stopping = false;   ///< Owners that are known to be stopping are skipped.
};

/// Whether the choice of an owner probes a suspect upstream. A probe is an ordinary request that is
/// sent to a suspect upstream to find out whether it has recovered.
enum class probe_decision {
    none_due,
    made,      ///< The request probes the chosen owner.
    no_budget, ///< A probe was due, but a failed probe could not have been retried.
};

/// @return the decision's name in logs and metrics.
std::string_view probe_decision_name(probe_decision decision);

/// The owner that was chosen for a request.
struct owner_choice {
    const owner_record* record = nullptr; ///< Null if no owner is left.
    probe_decision probe = probe_decision::none_due;
};

/// Chooses the owner to which a request is sent next.
///
/// When a nearby upstream is failing or overloaded and a more distant one is not, the cost of the
/// traffic between data centres is weighed against the probability of a failure.
class owner_ranking {
public:
    /// @param location location of this daemon.
    /// @param random engine that breaks ties between equal owners.
    owner_ranking(daemon_location location, random_engine random);

    /// Chooses the owner with the lowest expected cost.
    /// @param directory the known owners.
    /// @param requirements what the request requires.
    /// @param now the current time.
    /// @return the owner, and whether the request probes it.
    owner_choice choose(const owner_directory& directory, const owner_requirements& requirements,
                        steady_time now);

    /// @return true if the owner's latest report is recent and exceeds the thresholds, so that the
    /// owner would refuse the request.
    bool would_refuse(const std::string& address, refusal_thresholds thresholds,
                      steady_time now) const;

    /// Records the health that an owner reported to this daemon.
    void record_health(const std::string& address, const owner_health& health, steady_time now);

    /// Records the health that an owner reported to another daemon, which says nothing about the
    /// network path from here to that owner.
    /// @param reported_at time of the report; reports older than the known one are ignored.
    void record_relayed_health(const std::string& address, const owner_health& health,
                               steady_time reported_at);

    /// Records that an owner refused a retry because the retry budget is exhausted.
    /// @param service the owner's service; each service has its own retry budget.
    /// @param now the current time.
    void record_budget_exhausted(const std::string& service, steady_time now);

    /// Records that an owner has announced an upstream that accepts requests. What it refused
    /// before, while it stopped or had no upstream, no longer counts.
    /// @param address the owner's address.
    void record_joined(const std::string& address);

    /// Records that an owner could not be reached. It is avoided for a time that grows with each
    /// failure.
    void record_unreachable(const std::string& address, steady_time now);

    /// @param address the owner's address.
    /// @return false while the owner is avoided because it was unreachable or is leaving.
    bool is_reachable(const std::string& address, steady_time now) const
    {
        return is_available(address, false, now);
    }

private:
    struct owner_view {
        owner_health health;
        steady_time reported_at;
        std::optional<steady_time> suspect_since; ///< Empty while the upstream is not suspect.
        /// Latest outcome at the upstream, or latest probe by this daemon.
        steady_time last_outcome_at;
        bool has_report = false;
        steady_time avoided_until;
        int failed_connections = 0;
    };

    /// @param accepts_stopping whether the request may be sent to an owner that is stopping.
    /// @return is_reachable(), but true for an owner that is stopping if it accepts requests that
    /// can be retried and the request may be sent to it.
    bool is_available(const std::string& address, bool accepts_stopping, steady_time now) const;

    double cost(const owner_record& record, const owner_requirements& requirements,
                steady_time now);
    const owner_view* reported_view(const std::string& address) const;
    bool is_local(const owner_record& record) const;
    static bool is_due_for_probe(const owner_view& view, steady_time now);
    static bool is_stale(const owner_view& view, steady_time now);
    bool has_retry_budget(const std::string& service, steady_time now) const;
    double failure_cost(const owner_requirements& requirements, steady_time now) const;
    double transfer_cost(const owner_record& record, double payload_bytes) const;

    daemon_location m_location;
    random_engine m_random;
    std::map<std::string, owner_view> m_views;
    std::map<std::string, steady_time> m_budget_exhausted_at; ///< By service.
};

} // namespace galenaroad
