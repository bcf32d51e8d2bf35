#pragma once

#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>

namespace galenaroad {

/// What the owner knows of an attempt.
enum class attempt_state {
    unknown, ///< Nothing can be said; never treated as not run.
    not_run, ///< Was not started and now never will be.
    running,
    finished,
};

/// Answer to a fence.
struct attempt_status {
    attempt_state state = attempt_state::unknown;
    int status = 0; ///< HTTP status of a finished attempt; 0 when it ended without one.
};

/// Whether an attempt may start.
enum class start_decision {
    started,
    duplicate,  ///< The attempt id was used before; it may have run.
    fenced,     ///< The entry daemon was promised that the attempt never starts.
    expired,    ///< Its remaining time has run out.
    table_full, ///< Too many attempts are remembered; not started.
};

/// The owner's record of attempts: starts each at most once and fences those not started.
///
/// Bounded; not thread-safe.
class attempt_registry {
public:
    /// A started attempt is remembered for this time after its deadline. The entry daemon fences
    /// only before its own deadline, which is never later than the owner's.
    static constexpr auto start_retention = std::chrono::seconds(60);
    /// The head of a fenced attempt may arrive late, for example after a pause of the process. A
    /// fence is remembered for longer than any deadline (1 hour).
    static constexpr auto fence_retention = std::chrono::minutes(65);

    /// @param capacity attempts to remember.
    explicit attempt_registry(std::size_t capacity);

    /// Starts an attempt.
    /// @param id the attempt id.
    /// @param deadline the end of its remaining time.
    /// @param now the current time.
    /// @return whether it may start; only `started` allows dispatch.
    start_decision start(const std::string& id, steady_time deadline, steady_time now);

    /// Ends an attempt that was started.
    /// @param id the attempt id.
    /// @param status the HTTP status, or 0 when it ended without one.
    void finish(const std::string& id, int status);

    /// Forbids an attempt to start.
    /// @param id the attempt id.
    /// @param now the current time.
    /// @return what is known of it; `not_run` is a promise, `unknown` when it cannot be given.
    attempt_status fence(const std::string& id, steady_time now);

    /// @return attempts that are remembered.
    std::size_t size() const { return m_attempts.size(); }

private:
    void forget_expired(steady_time now);
    bool remember(const std::string& id, attempt_state state, steady_time until);

    std::size_t m_capacity;
    std::unordered_map<std::string, attempt_status> m_attempts;
    std::multimap<steady_time, std::string> m_expiry;
};

} // namespace galenaroad
