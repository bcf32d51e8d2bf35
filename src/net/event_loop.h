#pragma once

#include "base/clock.h"

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace galenaroad {

/// Events for which a socket is watched.
enum class socket_interest { none, read, write, read_write };

/// Operations for which a socket is ready. A failed socket is reported as ready for both.
struct socket_readiness {
    bool readable = false;
    bool writable = false;
};

/// Dispatches socket events and timers on the thread that calls run(). Not thread-safe: all members
/// must be called on that thread, or before run().
class event_loop {
public:
    using ready_handler = std::function<void(socket_readiness)>;
    using timer_id = std::uint64_t;

    /// Never the identifier of a timer.
    static constexpr timer_id no_timer = 0;

    /// @param time the clock of the timers; must outlive the loop.
    explicit event_loop(const clock& time);
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;
    ~event_loop();

    /// Starts watching a socket.
    /// @param socket the socket.
    /// @param interest the events to watch for.
    /// @param on_ready called when the socket is ready.
    void watch(const Poco::Net::Socket& socket, socket_interest interest, ready_handler on_ready);

    /// Changes the events for which a watched socket is watched.
    void set_interest(const Poco::Net::Socket& socket, socket_interest interest);

    /// Stops watching a socket. Its handler is not called again.
    void unwatch(const Poco::Net::Socket& socket);

    /// Calls a function once, after a delay.
    /// @param delay time from now.
    /// @param action the function.
    /// @return the timer's identifier.
    timer_id after(std::chrono::nanoseconds delay, std::function<void()> action);

    /// Cancels a timer. A timer that has fired or is not known is ignored.
    void cancel(timer_id id);

    /// Dispatches events until stop() is called.
    void run();

    /// Makes run() return after the current iteration.
    void stop() { m_stopping = true; }

    /// @return the clock of the timers.
    const clock& time() const { return m_clock; }

private:
    struct watched_socket {
        Poco::Net::Socket socket;
        std::shared_ptr<ready_handler> on_ready;
    };
    using timer_key = std::pair<steady_time, timer_id>;

    std::chrono::milliseconds time_to_next_timer() const;
    void dispatch_sockets(std::chrono::milliseconds wait);
    void dispatch_timers();

    const clock& m_clock;
    Poco::Net::PollSet m_poll;
    std::map<Poco::Net::SocketImpl*, watched_socket> m_sockets;
    std::map<timer_key, std::function<void()>> m_timers;
    std::map<timer_id, steady_time> m_timer_deadlines;
    timer_id m_last_timer = no_timer;
    bool m_stopping = false;
};

} // namespace galenaroad
