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
struct owner_condition {
    double failing = 0; ///< Probability that the upstream is failing.
    double load = 0;    ///< Running and waiting requests in relation to its slots.
    /// False while the owner refuses all requests, since it or its upstream is leaving.
    bool takes_work = true;
    /// Time since the outcome of a request last showed how the upstream is; nothing when the owner
    /// did not tell. A refusal tells a condition without any new outcome.
    std::optional<std::chrono::milliseconds> tested_ago = std::nullopt;
};

/// Conditions beyond which an owner refuses a request.
struct condition_limits {
    double failing = 2; ///< Greatest probability of failing; above 1 for any.
    double load = 1e9;  ///< Load from which no slot is free.
};

/// What a request needs of the owner that is chosen for it.
struct owner_wish {
    std::string service;
    std::set<std::string> excluded; ///< Owners that were tried.
    double payload_bytes = 0;       ///< Size of its body and expected size of its answer.
    condition_limits skips;         ///< Conditions that make an owner not worth asking.
    bool may_repeat = false;        ///< Another attempt can follow a failure.
};

/// What a choice did about the owners in doubt that are due for a trial.
enum class trial_decision {
    none_due,
    made,      ///< The owner that was chosen is on trial.
    no_budget, ///< One was due, but no further attempt could have followed.
};

/// @return the decision's name in logs and metrics.
std::string_view trial_decision_name(trial_decision decision);

/// The owner that was chosen for a request.
struct owner_choice {
    const owner_record* record = nullptr; ///< Null when none is left.
    trial_decision trial = trial_decision::none_due;
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
    owner_choice choose(const owner_directory& directory, const owner_wish& wish, steady_time now);

    /// @return true when an owner that is worth asking by other limits has just told that it would
    /// refuse by these ones.
    bool would_refuse(const std::string& address, condition_limits limits, steady_time now) const;

    /// Notes what an owner told.
    void note_condition(const std::string& address, const owner_condition& condition,
                        steady_time now);

    /// Notes what an owner told another daemon, which says nothing of the way to it from here.
    /// @param told_at when it told that; older news than what is known is ignored.
    void note_news(const std::string& address, const owner_condition& condition,
                   steady_time told_at);

    /// Notes that an owner refused a further attempt for want of the fleet's retry budget.
    /// @param service the owner's service; each one has a retry budget of its own.
    /// @param now the current time.
    void note_budget_used_up(const std::string& service, steady_time now);

    /// Notes that an owner could not be reached; it is avoided for a growing time.
    void note_unreachable(const std::string& address, steady_time now);

    /// @param address the owner's address.
    /// @return false while the owner is avoided because it could not be reached, or is leaving.
    bool is_reachable(const std::string& address, steady_time now) const;

private:
    struct owner_view {
        owner_condition condition;
        steady_time told_at;
        std::optional<steady_time> in_doubt_since; ///< Nothing while it is not in doubt.
        steady_time tested_at; ///< Latest outcome at its upstream, or trial from here.
        bool was_told = false;
        steady_time avoided_until;
        int failed_connections = 0;
    };

    double cost(const owner_record& record, const owner_wish& wish, steady_time now);
    const owner_view* told_view(const std::string& address) const;
    bool is_near(const owner_record& record) const;
    static bool is_due_for_trial(const owner_view& view, steady_time now);
    static bool is_out_of_date(const owner_view& view, steady_time now);
    bool has_retry_budget(const std::string& service, steady_time now) const;
    double failure_cost(const owner_wish& wish, steady_time now) const;
    double way_cost(const owner_record& record, double payload_bytes) const;

    daemon_location m_location;
    random_engine m_random;
    std::map<std::string, owner_view> m_views;
    std::map<std::string, steady_time> m_budget_used_up_at; ///< By service.
};

} // namespace galenaroad
