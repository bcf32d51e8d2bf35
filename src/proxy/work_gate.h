#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace galenaroad {

/// Counts the work in flight and refuses new work once the daemon is leaving. Thread-safe.
class work_gate {
public:
    /// Admits a request of a caller.
    ///
    /// While leaving, nested calls are admitted as long as local backend servers run requests:
    /// refusing them would fail work that is already in flight.
    /// @param depth the request's call depth.
    /// @return false when it is refused; otherwise leave_entry() must follow.
    bool enter_entry(int depth);

    /// Ends a request of a caller.
    void leave_entry();

    /// Admits a forwarded request for a local backend server.
    /// @return false when it is refused; otherwise leave_owner() must follow.
    bool enter_owner();

    /// Ends a forwarded request.
    void leave_owner();

    /// Refuses new work from now on.
    void start_leaving();

    /// @return true after start_leaving().
    bool is_leaving() const;

    /// Waits until no work is in flight.
    /// @param timeout the longest wait.
    /// @return true when idle.
    bool wait_idle(std::chrono::milliseconds timeout);

private:
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_leaving = false;
    int m_entries = 0;
    int m_owned = 0;
};

} // namespace galenaroad
