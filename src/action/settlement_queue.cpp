#include "action/settlement_queue.h"

#include <algorithm>
#include <utility>

namespace galenaroad {

settlement_queue::settlement_queue(std::size_t max_body_bytes) : m_max_body_bytes(max_body_bytes) {}

void settlement_queue::push(settlement entry)
{
    const std::lock_guard lock(m_mutex);
    if (m_body_bytes + entry.response.body.size() > m_max_body_bytes) {
        entry.kind = settlement_kind::unknown;
        entry.response = {};
    }
    m_body_bytes += entry.response.body.size();
    m_entries.push_back(std::move(entry));
}

std::optional<settlement> settlement_queue::pop()
{
    const std::lock_guard lock(m_mutex);
    if (m_entries.empty()) {
        return std::nullopt;
    }
    return remove_at(0);
}

std::optional<settlement> settlement_queue::take(const std::string& attempt_id)
{
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_entries.begin(), m_entries.end(), [&](const auto& entry) {
        return entry.claim.attempt_id == attempt_id;
    });
    if (found == m_entries.end()) {
        return std::nullopt;
    }
    return remove_at(static_cast<std::size_t>(found - m_entries.begin()));
}

std::size_t settlement_queue::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_entries.size();
}

std::size_t settlement_queue::count(settlement_kind kind) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [kind](const auto& entry) { return entry.kind == kind; }));
}

settlement settlement_queue::remove_at(std::size_t index)
{
    const auto position = m_entries.begin() + static_cast<std::ptrdiff_t>(index);
    settlement entry = std::move(*position);
    m_entries.erase(position);
    m_body_bytes -= entry.response.body.size();
    return entry;
}

} // namespace galenaroad
