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

/// Where this daemon is.
struct daemon_location {
    std::string address; ///< At which peers reach it.
    std::string data_centre;
    std::string region;
};

/// What an owner told about its upstream with a response or a refusal.
struct owner_health {
    double failure_probability = 0; ///< Probability that the upstream is failing.
    double load = 0;                ///< Running and waiting requests in relation to its slots.
    /// False while the owner refuses all requests, since it or its upstream is leaving.
    bool accepts_requests = true;
    /// Time since the outcome of a request last showed how the upstream is; nothing when the owner
    /// did not tell. A refusal tells a condition without any new outcome.
    std::optional<std::chrono::milliseconds> last_outcome_age = std::nullopt;
};

/// Conditions beyond which an owner refuses a request.
struct refusal_thresholds {
    double failure_probability = 2; ///< Greatest probability of failing; above 1 for any.
    double load = 1e9;              ///< Load from which no slot is free.
};

/// What a request needs of the owner that is chosen for it.
struct owner_requirements {
    std::string service;
    std::set<std::string> excluded; ///< Owners that were tried.
    double payload_bytes = 0;       ///< Size of its body and expected size of its answer.
    refusal_thresholds thresholds;  ///< Conditions that make an owner not worth asking.
    bool may_retry = false;         ///< Another attempt can follow a failure.
};

/// What a choice did about the owners in doubt that are due for a trial.
enum class probe_decision {
    none_due,
    made,      ///< The owner that was chosen is on trial.
    no_budget, ///< One was due, but no further attempt could have followed.
};

/// @return the decision's name in logs and metrics.
std::string_view probe_decision_name(probe_decision decision);

/// The owner that was chosen for a request.
struct owner_choice {
    const owner_record* record = nullptr; ///< Null when none is left.
    probe_decision probe = probe_decision::none_due;
};

/// Chooses the owner to which a request is sent next.
///
/// Answers the load where a near upstream is failing or full while a farther one is not: the
/// price of the way, in bytes between data centres, is weighed against the chance of failing.
class owner_ranking {
public:
    /// @param location where this daemon is.
    /// @param random engine for choices among equals.
    owner_ranking(daemon_location location, random_engine random);

    /// Chooses an owner.
    /// @param directory the known owners.
    /// @param wish what the request needs.
    /// @param now the current time.
    /// @return the owner, and whether it is on trial.
    owner_choice choose(const owner_directory& directory, const owner_requirements& requirements,
                        steady_time now);

    /// @return true when an owner that is worth asking by other limits has just told that it would
    /// refuse by these ones.
    bool would_refuse(const std::string& address, refusal_thresholds thresholds,
                      steady_time now) const;

    /// Notes what an owner told.
    void record_health(const std::string& address, const owner_health& health, steady_time now);

    /// Notes what an owner told another daemon, which says nothing of the way to it from here.
    /// @param reported_at when it told that; older news than what is known is ignored.
    void record_relayed_health(const std::string& address, const owner_health& health,
                               steady_time reported_at);

    /// Notes that an owner refused a further attempt for want of the fleet's retry budget.
    /// @param service the owner's service; each one has a retry budget of its own.
    /// @param now the current time.
    void record_budget_exhausted(const std::string& service, steady_time now);

    /// Notes that an owner could not be reached; it is avoided for a growing time.
    void record_unreachable(const std::string& address, steady_time now);

    /// @param address the owner's address.
    /// @return false while the owner is avoided because it could not be reached, or is leaving.
    bool is_reachable(const std::string& address, steady_time now) const;

private:
    struct owner_view {
        owner_health health;
        steady_time reported_at;
        std::optional<steady_time> suspect_since; ///< Nothing while it is not in doubt.
        steady_time last_outcome_at; ///< Latest outcome at its upstream, or trial from here.
        bool has_report = false;
        steady_time avoided_until;
        int failed_connections = 0;
    };

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
