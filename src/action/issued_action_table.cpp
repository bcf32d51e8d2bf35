#include "action/issued_action_table.h"

#include "base/error_kind.h"

#include <utility>

namespace galenaroad {

namespace {

std::size_t size_of(const recorded_response& response)
{
    std::size_t bytes = response.body.size();
    for (const auto& header : response.headers) {
        bytes += header.name.size() + header.value.size();
    }
    return bytes;
}

} // namespace

issued_action_table::issued_action_table(daemon_identity daemon, std::string secret,
                                         const clock& time, issued_action_limits limits)
    : m_daemon(std::move(daemon)), m_secret(std::move(secret)), m_clock(time), m_limits(limits)
{
}

result<std::string> issued_action_table::issue()
{
    const std::lock_guard lock(m_mutex);
    expire_unused();
    if (m_unused.size() >= m_limits.max_unused_keys) {
        return tl::unexpected(make_error_code(error_kind::upstream_busy));
    }
    const auto serial = ++m_last_serial;
    m_unused[serial] = {{}, m_clock.steady_now()};
    return issued_key(m_daemon.peer_address, m_daemon.incarnation, serial, m_secret).text();
}

issued_start_outcome issued_action_table::begin(const issued_key& key, const std::string& binding)
{
    if (key.issuer_address() != m_daemon.peer_address ||
        key.incarnation() != m_daemon.incarnation || !key.is_authentic(m_secret)) {
        return {issued_start_kind::invalid, {}};
    }
    const std::lock_guard lock(m_mutex);
    expire_unused();
    evict_responses();
    const auto running = m_running.find(key.serial());
    if (running != m_running.end()) {
        const bool same = running->second == binding;
        return {same ? issued_start_kind::in_progress : issued_start_kind::key_reused, {}};
    }
    const auto finished = m_finished.find(key.serial());
    if (finished != m_finished.end()) {
        const bool same = finished->second.binding == binding;
        return same ? issued_start_outcome{issued_start_kind::recorded, finished->second.response}
                    : issued_start_outcome{issued_start_kind::key_reused, {}};
    }
    return begin_unused(key.serial(), binding);
}

void issued_action_table::complete(std::uint64_t serial, recorded_response response)
{
    const std::lock_guard lock(m_mutex);
    auto running = m_running.extract(serial);
    if (running.empty()) {
        return;
    }
    m_response_bytes += size_of(response);
    m_finished[serial] = {std::move(running.mapped()), std::move(response), m_clock.steady_now()};
    m_finish_order.push_back(serial);
    evict_responses();
}

void issued_action_table::release(std::uint64_t serial)
{
    const std::lock_guard lock(m_mutex);
    auto running = m_running.extract(serial);
    if (!running.empty()) {
        m_unused[serial] = {std::move(running.mapped()), m_clock.steady_now()};
    }
}

void issued_action_table::mark_unknown(std::uint64_t serial)
{
    const std::lock_guard lock(m_mutex);
    m_running.erase(serial);
}

std::size_t issued_action_table::unused_keys() const
{
    const std::lock_guard lock(m_mutex);
    return m_unused.size();
}

std::size_t issued_action_table::responses() const
{
    const std::lock_guard lock(m_mutex);
    return m_finished.size();
}

issued_start_outcome issued_action_table::begin_unused(std::uint64_t serial,
                                                       const std::string& binding)
{
    const auto unused = m_unused.find(serial);
    if (unused == m_unused.end()) {
        return {issued_start_kind::outcome_unknown, {}};
    }
    if (!unused->second.binding.empty() && unused->second.binding != binding) {
        return {issued_start_kind::key_reused, {}};
    }
    m_unused.erase(unused);
    m_running[serial] = binding;
    return {issued_start_kind::run, {}};
}

// Serials are in the order of issue. A released key got a new time, so it only delays the expiry of
// the keys with higher serials.
void issued_action_table::expire_unused()
{
    const auto oldest = m_clock.steady_now() - m_limits.unused_lifetime;
    while (!m_unused.empty() && m_unused.begin()->second.since < oldest) {
        m_unused.erase(m_unused.begin());
    }
}

void issued_action_table::evict_responses()
{
    const auto oldest = m_clock.steady_now() - m_limits.response_retention;
    while (!m_finish_order.empty()) {
        const bool too_many = m_finished.size() > m_limits.max_responses ||
                              m_response_bytes > m_limits.max_response_bytes;
        if (!too_many && m_finished[m_finish_order.front()].since >= oldest) {
            return;
        }
        evict_oldest_response();
    }
}

void issued_action_table::evict_oldest_response()
{
    const auto finished = m_finished.extract(m_finish_order.front());
    m_finish_order.pop_front();
    m_response_bytes -= size_of(finished.mapped().response);
}

} // namespace galenaroad
