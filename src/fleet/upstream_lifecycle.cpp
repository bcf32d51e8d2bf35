#include "fleet/upstream_lifecycle.h"

#include "base/unix_time.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::size_t max_recorded_ends = 64;

} // namespace

void upstream_lifecycle::restore(const owner_record& record)
{
    if (record.state == announced_state::left || record.state == announced_state::draining) {
        record_end(record.upstream_id, record.start_time_ms);
    }
    // A store that has come back from a copy has an earlier record than peers had.
    const bool is_outdated = record.revision < m_restored_revision;
    m_restored_revision = std::max(m_restored_revision, record.revision);
    if (m_has_heartbeat || is_outdated) {
        // The heartbeat was sent before the departure that the record announces.
        if (m_state == announced_state::ready && has_ended(m_latest)) {
            m_state = record.state;
        }
        return;
    }
    m_latest.id = record.upstream_id;
    m_latest.service = record.service;
    m_latest.start_time_ms = record.start_time_ms;
    m_latest.sequence = record.sequence;
    const bool has_left = record.state == announced_state::ready && has_ended(m_latest);
    m_state = has_left ? announced_state::left : record.state;
}

lifecycle_change upstream_lifecycle::on_heartbeat(const upstream_heartbeat& heartbeat)
{
    if (is_stale(heartbeat)) {
        return lifecycle_change::stale;
    }
    const bool is_same =
        heartbeat.id == m_latest.id && heartbeat.start_time_ms == m_latest.start_time_ms;
    const auto before = m_state;
    const bool had_heartbeat = m_has_heartbeat;
    m_latest = heartbeat;
    m_has_heartbeat = true;
    if (heartbeat.is_draining || has_ended(heartbeat)) {
        record_end(heartbeat.id, heartbeat.start_time_ms);
        m_state = is_same && before == announced_state::left ? before : announced_state::draining;
        return is_same && m_state == before ? lifecycle_change::none : lifecycle_change::draining;
    }
    m_state = announced_state::ready;
    const bool is_known = is_same && had_heartbeat && before == announced_state::ready;
    return is_known ? lifecycle_change::none : lifecycle_change::joined;
}

lifecycle_change upstream_lifecycle::on_departure(const std::string& id, system_time now)
{
    if (id != m_latest.id) {
        record_end(id, unix_ms(now));
        return lifecycle_change::stale;
    }
    record_end(id, m_latest.start_time_ms);
    const bool is_new = m_state != announced_state::left;
    m_state = announced_state::left;
    return is_new ? lifecycle_change::left : lifecycle_change::none;
}

const upstream_heartbeat* upstream_lifecycle::serving() const
{
    const bool is_ready = m_has_heartbeat && m_state == announced_state::ready;
    return is_ready && !m_is_restoring ? &m_latest : nullptr;
}

bool upstream_lifecycle::has_ended(const upstream_heartbeat& heartbeat) const
{
    const auto ended = m_ended_starts.find(heartbeat.id);
    return ended != m_ended_starts.end() && heartbeat.start_time_ms <= ended->second;
}

bool upstream_lifecycle::is_stale(const upstream_heartbeat& heartbeat) const
{
    if (m_latest.id.empty()) {
        return false;
    }
    if (heartbeat.start_time_ms != m_latest.start_time_ms) {
        return heartbeat.start_time_ms < m_latest.start_time_ms;
    }
    return heartbeat.id == m_latest.id && heartbeat.sequence <= m_latest.sequence;
}

void upstream_lifecycle::record_end(const std::string& id, std::uint64_t start_time_ms)
{
    auto& held = m_ended_starts[id];
    held = std::max(held, start_time_ms);
    if (m_ended_starts.size() > max_recorded_ends) {
        const auto oldest =
            std::min_element(m_ended_starts.begin(), m_ended_starts.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        m_ended_starts.erase(oldest);
    }
}

} // namespace galenaroad
