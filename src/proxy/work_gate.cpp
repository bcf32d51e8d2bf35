#include "proxy/work_gate.h"

namespace galenaroad {

bool work_gate::enter_entry(int depth)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_leaving && (depth == 0 || m_owned == 0)) {
        return false;
    }
    ++m_entries;
    return true;
}

void work_gate::leave_entry()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_entries;
    m_changed.notify_all();
}

bool work_gate::enter_owner()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    if (m_leaving) {
        return false;
    }
    ++m_owned;
    return true;
}

void work_gate::leave_owner()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    --m_owned;
    m_changed.notify_all();
}

void work_gate::start_leaving()
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_leaving = true;
}

bool work_gate::is_leaving() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_leaving;
}

bool work_gate::wait_idle(std::chrono::milliseconds timeout)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    return m_changed.wait_for(lock, timeout, [this] { return m_entries == 0 && m_owned == 0; });
}

} // namespace galenaroad
