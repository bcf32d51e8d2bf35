#pragma once

#include "base/clock.h"

#include <optional>

namespace galenaroad {

/// Decides which requests a daemon still starts between the begin of its planned stop and its exit.
///
/// A request that is in progress at the exit is cut off, and its caller cannot learn whether it has
/// run. Its deadline is the only time by which it is certain to have ended; the latency objective
/// and the usual service time are exceeded by some requests. Performs no I/O.
class stop_window {
public:
    /// Starts the window.
    /// @param clients_notified_at time by which clients have learned of the stop.
    /// @param exits_at time at which requests in progress are cut off; not before
    /// `clients_notified_at`.
    void begin(steady_time clients_notified_at, steady_time exits_at);

    /// Decides on a client's request. Until clients have learned of the stop, all requests are
    /// accepted: most end well before the exit, and a client that retries reaches the same daemon.
    /// @param deadline the request's deadline.
    /// @param now the current time.
    /// @return true if the request is accepted.
    bool accepts_request(steady_time deadline, steady_time now) const;

    /// @param deadline a request's deadline.
    /// @return true if the request is certain to have ended before the exit; always true before
    /// begin().
    bool ends_before_exit(steady_time deadline) const;

    /// Decides on a request for the owned upstream that has not been sent to it. Another owner can
    /// run it.
    /// @param deadline the request's deadline.
    /// @param may_be_interrupted true if its entry sends it to another owner after the exit has
    /// interrupted it.
    /// @param now the current time.
    /// @return true if the request may start: it ends before the exit, or may be interrupted and
    /// most likely is not.
    bool may_start_owned(steady_time deadline, bool may_be_interrupted, steady_time now) const;

    /// @return the time until which requests that may be interrupted are started; before begin()
    /// the start of the clock.
    steady_time starts_interruptible_until() const;

    /// @return true after begin().
    bool has_begun() const { return m_exits_at.has_value(); }

    /// @param now the current time.
    /// @return the time until the exit; 0 before begin() and after the exit.
    std::chrono::milliseconds time_until_exit(steady_time now) const;

private:
    steady_time m_clients_notified_at;
    std::optional<steady_time> m_exits_at; ///< Empty before begin().
};

} // namespace galenaroad
