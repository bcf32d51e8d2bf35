#pragma once

#include "base/clock.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace galenaroad {

/// Runs short callbacks at given times on one thread, to cancel blocked calls.
class watchdog {
public:
    using callback = std::function<void()>;
    using ticket = std::pair<steady_time, std::uint64_t>;

    watchdog();
    watchdog(const watchdog&) = delete;
    watchdog& operator=(const watchdog&) = delete;
    watchdog(watchdog&&) = delete;
    watchdog& operator=(watchdog&&) = delete;
    ~watchdog();

    /// Schedules a callback.
    /// @param when the time, on the process's steady clock.
    /// @param action the callback; must not block.
    /// @return the ticket for disarm().
    ticket arm(steady_time when, callback action);

    /// Removes a callback. After the return it is neither pending nor running.
    /// @param armed the ticket.
    void disarm(const ticket& armed);

private:
    void run();

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<ticket, callback> m_pending;
    std::uint64_t m_last = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace galenaroad
