#include "proxy/watchdog.h"

namespace galenaroad {

watchdog::watchdog() : m_thread([this] { run(); }) {}

watchdog::~watchdog()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

watchdog::ticket watchdog::arm(steady_time when, callback action)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const ticket made(when, ++m_last);
    const auto added = m_pending.emplace(made, std::move(action)).first;
    if (added == m_pending.begin()) {
        m_changed.notify_all();
    }
    return made;
}

void watchdog::disarm(const ticket& armed)
{
    // Callbacks run under the mutex, so none is running once it is held here.
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_pending.erase(armed);
}

void watchdog::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    while (!m_stopping) {
        if (m_pending.empty()) {
            m_changed.wait(lock);
            continue;
        }
        const auto first = m_pending.begin();
        const auto when = first->first.first;
        if (std::chrono::steady_clock::now() < when) {
            m_changed.wait_until(lock, when);
            continue;
        }
        first->second();
        m_pending.erase(first);
    }
}

} // namespace galenaroad
