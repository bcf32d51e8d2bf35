#include "proxy/backend_pool.h"

namespace galenaroad {

backend_pool::backend_pool(const clock& time, std::size_t max_idle_per_address)
    : m_clock(time), m_max_idle(max_idle_per_address)
{
}

std::unique_ptr<backend_connection> backend_pool::take_idle(const std::string& address)
{
    while (auto connection = take_latest(address)) {
        const auto idle = m_clock.steady_now() - connection->idle_since;
        if (idle < max_idle_time && !connection->has_stray_input()) {
            connection->reused = true;
            return connection;
        }
    }
    return nullptr;
}

void backend_pool::give_back(std::unique_ptr<backend_connection> connection)
{
    connection->idle_since = m_clock.steady_now();
    const std::lock_guard<std::mutex> lock(m_mutex);
    auto& idle = m_idle[connection->address()];
    if (idle.size() < m_max_idle) {
        idle.push_back(std::move(connection));
    }
}

void backend_pool::forget(const std::string& address)
{
    idle_list dropped;
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found != m_idle.end()) {
        dropped = std::move(found->second);
        m_idle.erase(found);
    }
}

std::unique_ptr<backend_connection> backend_pool::take_latest(const std::string& address)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found == m_idle.end() || found->second.empty()) {
        return nullptr;
    }
    auto latest = std::move(found->second.back());
    found->second.pop_back();
    return latest;
}

} // namespace galenaroad
