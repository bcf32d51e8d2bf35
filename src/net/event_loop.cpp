#include "net/event_loop.h"

#include <algorithm>

namespace galenaroad {

namespace {

using Poco::Net::PollSet;

// Limits the delay before a signal is noticed.
constexpr auto max_poll_wait = std::chrono::milliseconds(200);

int poll_mode(socket_interest interest)
{
    switch (interest) {
    case socket_interest::none:
        return PollSet::POLL_ERROR;
    case socket_interest::read:
        return PollSet::POLL_READ | PollSet::POLL_ERROR;
    case socket_interest::write:
        return PollSet::POLL_WRITE | PollSet::POLL_ERROR;
    case socket_interest::read_write:
        break;
    }
    return PollSet::POLL_READ | PollSet::POLL_WRITE | PollSet::POLL_ERROR;
}

} // namespace

event_loop::event_loop(const clock& time) : m_clock(time) {}

event_loop::~event_loop()
{
    // Objects owned by timers may call unwatch() and cancel() when they are destroyed.
    const auto timers = std::move(m_timers);
    m_timers.clear();
}

void event_loop::watch(const Poco::Net::Socket& socket, socket_interest interest,
                       ready_handler on_ready)
{
    m_sockets[socket.impl()] = {socket, std::make_shared<ready_handler>(std::move(on_ready))};
    m_poll.add(socket, poll_mode(interest));
}

void event_loop::set_interest(const Poco::Net::Socket& socket, socket_interest interest)
{
    if (m_sockets.count(socket.impl()) > 0) {
        m_poll.update(socket, poll_mode(interest));
    }
}

void event_loop::unwatch(const Poco::Net::Socket& socket)
{
    if (m_sockets.erase(socket.impl()) > 0) {
        m_poll.remove(socket);
    }
}

event_loop::timer_id event_loop::after(std::chrono::nanoseconds delay, std::function<void()> action)
{
    const auto at = m_clock.steady_now() + delay;
    const auto id = ++m_last_timer;
    m_timers.emplace(timer_key{at, id}, std::move(action));
    m_timer_deadlines.emplace(id, at);
    return id;
}

void event_loop::cancel(timer_id id)
{
    const auto found = m_timer_deadlines.find(id);
    if (found == m_timer_deadlines.end()) {
        return;
    }
    m_timers.erase({found->second, id});
    m_timer_deadlines.erase(found);
}

void event_loop::run()
{
    m_stopping = false;
    while (!m_stopping) {
        dispatch_sockets(time_to_next_timer());
        dispatch_timers();
    }
}

std::chrono::milliseconds event_loop::time_to_next_timer() const
{
    if (m_timers.empty()) {
        return max_poll_wait;
    }
    const auto remaining = m_timers.begin()->first.first - m_clock.steady_now();
    // Rounded up: a wait that ended before the timer is due would have to be repeated.
    const auto rounded_up = std::chrono::duration_cast<std::chrono::milliseconds>(remaining) +
                            std::chrono::milliseconds(1);
    return std::clamp(rounded_up, std::chrono::milliseconds(0), max_poll_wait);
}

void event_loop::dispatch_sockets(std::chrono::milliseconds wait)
{
    const Poco::Timespan timeout(
        std::chrono::duration_cast<std::chrono::microseconds>(wait).count());
    // The result keeps the sockets alive, so that no SocketImpl address is reused during dispatch.
    const auto ready = m_poll.poll(timeout);
    for (const auto& [socket, mode] : ready) {
        const auto found = m_sockets.find(socket.impl());
        if (found == m_sockets.end()) {
            continue;
        }
        const bool failed = (mode & PollSet::POLL_ERROR) != 0;
        const auto handler = found->second.on_ready;
        (*handler)({failed || (mode & PollSet::POLL_READ) != 0,
                    failed || (mode & PollSet::POLL_WRITE) != 0});
    }
}

void event_loop::dispatch_timers()
{
    const auto now = m_clock.steady_now();
    while (!m_timers.empty() && m_timers.begin()->first.first <= now) {
        const auto action = std::move(m_timers.begin()->second);
        m_timer_deadlines.erase(m_timers.begin()->first.second);
        m_timers.erase(m_timers.begin());
        action();
    }
}

} // namespace galenaroad
