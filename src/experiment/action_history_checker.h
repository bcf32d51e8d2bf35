#pragma once

#include "base/error_kind.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// A backend server's start of an action.
struct action_start {
    std::string business;
    std::string key;     ///< Idempotency key; for an action without one, its request id.
    std::string request; ///< Id of the caller's request that led to the start.
    std::string digest;  ///< Identifies method, path and body.
};

/// A final answer to a caller's request.
struct action_answer {
    std::string business;
    std::string key;
    std::string request;
    std::string digest;
    run_state run = run_state::unknown;
    std::string body; ///< Body of a response with the run state `completed`.
};

/// Rule that a history breaks.
enum class action_rule {
    one_start,       ///< A key's action starts at most once.
    true_not_run,    ///< A request that is answered `not_run` does not start, before or after.
    started_first,   ///< A request is answered `completed` only if the action started.
    own_response,    ///< A completed answer carries a response of the key's own action.
    bound_to_digest, ///< A completed answer belongs to a request with the same digest.
};

/// A broken rule of a history.
struct action_violation {
    action_rule rule;
    std::string key;
    std::string request; ///< Empty when the rule concerns the key.
};

/// Judges a history of actions: what backend servers started and what callers were answered. It
/// shares no code with the system that it judges. Safe for use by several threads.
class action_history_checker {
public:
    /// Adds a start.
    /// @param start the start.
    void started(const action_start& start);

    /// Adds a response that a backend server produced.
    /// @param business the business.
    /// @param key the key.
    /// @param body the response's body.
    void responded(const std::string& business, const std::string& key, const std::string& body);

    /// Adds a caller's answer.
    /// @param answer the answer.
    void answered(const action_answer& answer);

    /// Judges the history so far. The order in which its parts were added does not matter.
    /// @return the broken rules.
    std::vector<action_violation> violations() const;

    /// @return the number of starts.
    std::size_t starts() const;

    /// Counts answers.
    /// @param run the run state.
    /// @return the number of answers with that run state.
    std::size_t answers(run_state run) const;

private:
    struct key_history {
        std::vector<action_start> starts;
        std::set<std::string> bodies;
    };

    std::vector<action_violation> violations_of_answer(const action_answer& answer) const;
    const key_history& history_of(const std::string& business, const std::string& key) const;

    mutable std::mutex m_mutex;
    std::map<std::string, key_history> m_keys;
    std::vector<action_answer> m_answers;
};

/// Names a rule for reports.
/// @param rule the rule.
/// @return its name.
std::string action_rule_name(action_rule rule);

} // namespace galenaroad
