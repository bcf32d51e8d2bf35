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

/// Limits of the memory that actions with issued keys use.
struct issued_action_limits {
    std::size_t max_unused_keys = 20000;
    std::chrono::milliseconds unused_lifetime = std::chrono::minutes(10);
    std::size_t max_responses = 4096;
    std::size_t max_response_bytes = std::size_t{8} * 1024 * 1024;
    std::chrono::milliseconds response_retention = std::chrono::minutes(10);
};

/// Result of a request to start the action of an issued key.
enum class issued_start_kind {
    run,             ///< The action may be dispatched once.
    recorded,        ///< The action ran; its response is recorded.
    in_progress,     ///< The action is running.
    outcome_unknown, ///< The action may have run, or its record was evicted; it is never started.
    key_reused,      ///< The key was used for a different request.
    invalid,         ///< The key was not issued by this daemon's incarnation.
};

/// Result of a request to start the action of an issued key, with the recorded response.
struct issued_start_outcome {
    issued_start_kind kind = issued_start_kind::invalid;
    recorded_response response; ///< For `recorded`.
};

/// Actions with keys that this incarnation of the daemon issued, in memory only. An action is
/// started only while its key is known to be unused, so an evicted record never leads to a second
/// start. Thread-safe.
class issued_action_table {
public:
    /// @param daemon the issuing daemon.
    /// @param secret the secret with which the keys' check values are computed.
    /// @param time the clock; must outlive the table.
    /// @param limits the limits.
    issued_action_table(daemon_identity daemon, std::string secret, const clock& time,
                        issued_action_limits limits = {});

    /// Issues a key.
    /// @return the key's text, or `upstream_busy` when too many issued keys are unused.
    result<std::string> issue();

    /// Starts the action of a key, if it may be started.
    /// @param key the key.
    /// @param binding identifies the business and the request to which the key is bound.
    /// @return whether to run the action, the recorded response, or why it cannot be started.
    issued_start_outcome begin(const issued_key& key, const std::string& binding);

    /// Records the response of a started action.
    /// @param serial the key's serial.
    /// @param response the complete response.
    void complete(std::uint64_t serial, recorded_response response);

    /// Makes a key unused again, because its started action certainly did not run and never will.
    /// @param serial the key's serial.
    void release(std::uint64_t serial);

    /// Removes a started action that may have run, so that its key is never started again.
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
