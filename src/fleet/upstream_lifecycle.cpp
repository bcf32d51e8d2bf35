#include "fleet/upstream_lifecycle.h"

#include "base/unix_time.h"

#include <algorithm>

namespace galenaroad {

namespace {

constexpr std::size_t max_remembered_ends = 64;

} // namespace

void upstream_lifecycle::restore(const owner_record& record)
{
    if (record.state == announced_state::left || record.state == announced_state::draining) {
        remember_end(record.upstream_id, record.born_ms);
    }
    if (m_heard) {
        const auto ended = m_ended.find(m_latest.id);
        if (ended != m_ended.end() && m_latest.born_ms <= ended->second) {
            m_state = record.state;
        }
        return;
    }
    m_latest.id = record.upstream_id;
    m_latest.service = record.service;
    m_latest.born_ms = record.born_ms;
    m_latest.sequence = record.sequence;
    m_state = record.state;
}

lifecycle_change upstream_lifecycle::note(const upstream_heartbeat& beat)
{
    if (is_stale(beat)) {
        return lifecycle_change::stale;
    }
    const bool is_same = beat.id == m_latest.id && beat.born_ms == m_latest.born_ms;
    const auto before = m_state;
    const bool was_heard = m_heard;
    m_latest = beat;
    m_heard = true;
    const auto ended = m_ended.find(beat.id);
    const bool has_ended = ended != m_ended.end() && beat.born_ms <= ended->second;
    if (beat.is_draining || has_ended) {
        remember_end(beat.id, beat.born_ms);
        m_state = is_same && before == announced_state::left ? before : announced_state::draining;
        return is_same && m_state == before ? lifecycle_change::none : lifecycle_change::draining;
    }
    m_state = announced_state::ready;
    const bool is_known = is_same && was_heard && before == announced_state::ready;
    return is_known ? lifecycle_change::none : lifecycle_change::joined;
}

lifecycle_change upstream_lifecycle::note_departure(const std::string& id, system_time now)
{
    if (id != m_latest.id) {
        remember_end(id, unix_ms(now));
        return lifecycle_change::stale;
    }
    remember_end(id, m_latest.born_ms);
    const bool is_new = m_state != announced_state::left;
    m_state = announced_state::left;
    return is_new ? lifecycle_change::left : lifecycle_change::none;
}

const upstream_heartbeat* upstream_lifecycle::serving() const
{
    return m_heard && m_state == announced_state::ready ? &m_latest : nullptr;
}

bool upstream_lifecycle::is_stale(const upstream_heartbeat& beat) const
{
    if (m_latest.id.empty()) {
        return false;
    }
    if (beat.born_ms != m_latest.born_ms) {
        return beat.born_ms < m_latest.born_ms;
    }
    return beat.id == m_latest.id && beat.sequence <= m_latest.sequence;
}

void upstream_lifecycle::remember_end(const std::string& id, std::uint64_t born_ms)
{
    auto& held = m_ended[id];
    held = std::max(held, born_ms);
    if (m_ended.size() > max_remembered_ends) {
        const auto oldest =
            std::min_element(m_ended.begin(), m_ended.end(),
                             [](const auto& a, const auto& b) { return a.second < b.second; });
        m_ended.erase(oldest);
    }
}

} // namespace galenaroad
