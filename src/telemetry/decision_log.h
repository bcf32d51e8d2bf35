#pragma once

#include "base/clock.h"
#include "telemetry/structured_log.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace galenaroad {

/// Bounds of a decision log.
struct decision_log_limits {
    double entries_per_second = 300; ///< Sustained rate; further entries are counted only.
    double burst = 600;              ///< Entries that may come at once.
    std::size_t queue_entries = 2048;
};

/// Writes one log entry for each decision without ever waiting for the output: a background thread
/// writes, and entries beyond the limits are dropped and counted in a later entry.
class decision_log {
public:
    /// @param time the clock of the rate limit; must outlive the log.
    /// @param limits the bounds.
    explicit decision_log(const clock& time, decision_log_limits limits = {});
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    decision_log(decision_log&&) = delete;
    decision_log& operator=(decision_log&&) = delete;

    /// Writes what waits, then ends the thread.
    ~decision_log();

    /// Queues an entry on a request.
    /// @param decision what was decided.
    /// @param request_id the request; empty for decisions on the daemon's own state.
    /// @param fields the inputs that decided it, and the outcome.
    void note(const char* decision, const std::string& request_id, log_fields fields);

    /// Queues an entry on a request that was refused for what its client had sent. Clients send
    /// such requests at any rate, so these entries leave half of the burst to others.
    /// @param decision, request_id, fields as for note().
    void note_refusal(const char* decision, const std::string& request_id, log_fields fields);

    /// Queues an entry that the rate limit does not drop: start, stop, reload, dependencies.
    void note_state(const char* event, log_fields fields);

    /// @return entries dropped so far.
    std::uint64_t dropped() const;

private:
    void note(const char* decision, const std::string& request_id, log_fields fields,
              double reserved_tokens);
    bool admit(double reserved_tokens);
    void push(log_entry entry);
    void run();

    const clock& m_clock;
    const decision_log_limits m_limits;
    double m_tokens;
    steady_time m_refilled_at;
    mutable std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<log_entry> m_queue;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_reported = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace galenaroad
