#pragma once

#include "action/daemon_identity.h"
#include "action/issued_key.h"
#include "action/recorded_response.h"
#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <unordered_map>

namespace galenaroad {

/// Limits of the memory for actions with issued keys.
struct issued_action_limits {
    std::size_t max_unused_keys = 20000;
    std::chrono::milliseconds unused_lifetime = std::chrono::minutes(10);
    std::size_t max_responses = 4096;
    std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
    std::chrono::milliseconds response_retention = std::chrono::minutes(10);
};

/// What came of asking to start an action with an issued key.
enum class issued_start_kind {
    run,             ///< The action may be dispatched, once.
    recorded,        ///< The action ran; its response is recorded.
    in_progress,     ///< The action is running.
    outcome_unknown, ///< The action may have run, or its record is gone; it never starts again.
    key_reused,      ///< The key belongs to a different request.
    invalid,         ///< The key was not issued by this daemon's incarnation.
};

/// Outcome of asking to start an action with an issued key.
struct issued_start_outcome {
    issued_start_kind kind = issued_start_kind::invalid;
    recorded_response response; ///< When recorded.
};

/// Actions with keys issued by this daemon's incarnation, in memory only. A key is started only
/// while it is known to be unused, so a record that is gone never leads to a second start. Safe for
/// use by several threads.
class issued_action_table {
public:
    /// @param daemon the issuing daemon.
    /// @param secret the secret of the keys' check values.
    /// @param time the clock; must outlive the table.
    /// @param limits the limits.
    issued_action_table(daemon_identity daemon, std::string secret, const clock& time,
                        issued_action_limits limits = {});

    /// Issues a key.
    /// @return the key's text, or `upstream_busy` when too many issued keys are unused.
    result<std::string> issue();

    /// Asks to start the action of a key.
    /// @param key the key.
    /// @param binding identifies the business and the request to which the key is bound.
    /// @return the outcome.
    issued_start_outcome begin(const issued_key& key, const std::string& binding);

    /// Records the response of a started action.
    /// @param serial the key's serial.
    /// @param response the complete response.
    void complete(std::uint64_t serial, recorded_response response);

    /// Makes a key startable again, because its action certainly did not run and never will.
    /// @param serial the key's serial.
    void release(std::uint64_t serial);

    /// Forgets a started action that may have run.
    /// @param serial the key's serial.
    void mark_unknown(std::uint64_t serial);

    /// @return the number of issued keys that may still be started.
    std::size_t unused_keys() const;

    /// @return the number of recorded responses.
    std::size_t responses() const;

private:
    struct unused_key {
        std::string binding; ///< Empty before the first request.
        steady_time since;
    };
    struct finished_action {
        std::string binding;
        recorded_response response;
        steady_time since;
    };

    issued_start_outcome begin_unused(std::uint64_t serial, const std::string& binding);
    void expire_unused();
    void evict_responses();
    void evict_oldest_response();

    const daemon_identity m_daemon;
    const std::string m_secret;
    const clock& m_clock;
    const issued_action_limits m_limits;
    mutable std::mutex m_mutex;
    std::uint64_t m_last_serial = 0;
    std::map<std::uint64_t, unused_key> m_unused;
    std::unordered_map<std::uint64_t, std::string> m_running; ///< Binding by serial.
    std::unordered_map<std::uint64_t, finished_action> m_finished;
    std::deque<std::uint64_t> m_finish_order;
    std::size_t m_response_bytes = 0;
};

} // namespace galenaroad
