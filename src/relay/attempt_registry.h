#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace galenaroad {

/// State of an attempt, as known to the owner.
enum class attempt_state {
    unknown, ///< Not known; must never be treated as not run.
    not_run, ///< Has not started and never will.
    running,
    finished,
};

/// Result of fencing an attempt.
struct attempt_status {
    attempt_state state = attempt_state::unknown;
    int status = 0; ///< HTTP status of a finished attempt; 0 if it ended without one.
};

/// Whether an attempt may start.
enum class start_decision {
    started,
    duplicate,  ///< The attempt id was used before; the attempt may have run.
    fenced,     ///< The entry daemon has been promised that the attempt never starts.
    expired,    ///< The deadline of the attempt has passed.
    table_full, ///< The registry is full; the attempt is not started.
};

/// Owner's registry of attempts: starts each attempt at most once and fences those that have not
/// started.
///
/// The number of attempts is bounded. Not thread-safe.
class attempt_registry {
public:
    /// A started attempt is kept for this time after its deadline. The entry daemon fences only
    /// before its own deadline, which is never later than the owner's.
    static constexpr auto start_retention = std::chrono::seconds(60);
    /// The head of a fenced attempt may arrive late, for example after the process was paused. A
    /// fence is kept for longer than the maximum deadline (1 hour).
    static constexpr auto fence_retention = std::chrono::minutes(65);

    /// @param capacity maximum number of attempts.
    explicit attempt_registry(std::size_t capacity);

    /// Starts an attempt.
    /// @param id the attempt id.
    /// @param deadline deadline of the attempt.
    /// @param now the current time.
    /// @return whether the attempt may start; it may be dispatched only on `started`.
    start_decision start(const std::string& id, steady_time deadline, steady_time now);

    /// Records the end of a started attempt.
    /// @param id the attempt id.
    /// @param status the HTTP status, or 0 if the attempt ended without one.
    void finish(const std::string& id, int status);

    /// Prevents an attempt from starting.
    /// @param id the attempt id.
    /// @param now the current time.
    /// @return the state of the attempt. `not_run` is a promise; `unknown` means that the promise
    /// cannot be given.
    attempt_status fence(const std::string& id, steady_time now);

    /// @return number of attempts in the registry.
    std::size_t size() const { return m_attempts.size(); }

private:
    void forget_expired(steady_time now);
    bool remember(const std::string& id, attempt_state state, steady_time until);

    std::size_t m_capacity;
    std::unordered_map<std::string, attempt_status> m_attempts;
    std::multimap<steady_time, std::string> m_expiry;
};

} // namespace galenaroad
