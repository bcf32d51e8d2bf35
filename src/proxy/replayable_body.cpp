#include "proxy/replayable_body.h"

#include <algorithm>
#include <cstring>
#include <vector>

namespace galenaroad {

namespace {

constexpr std::size_t read_step = std::size_t{16} * 1024;

} // namespace

replayable_body::replayable_body(body_source& source, std::size_t max_kept_bytes)
    : m_source(source), m_max_kept_bytes(max_kept_bytes)
{
}

body_read replayable_body::read(char* buffer, std::size_t capacity)
{
    if (m_replayable && m_position < m_kept.size()) {
        return replay(buffer, capacity);
    }
    if (m_source_state != body_state::more) {
        return {0, m_source_state};
    }
    const auto part = m_source.read(buffer, capacity);
    m_source_state = part.state;
    keep(buffer, part.size);
    return part;
}

body_state replayable_body::read_all()
{
    std::vector<char> buffer(read_step);
    while (m_source_state == body_state::more && m_replayable) {
        read(buffer.data(), std::min(buffer.size(), m_max_kept_bytes + 1 - m_kept.size()));
    }
    return m_source_state;
}

body_read replayable_body::replay(char* buffer, std::size_t capacity)
{
    const auto size = std::min(capacity, m_kept.size() - m_position);
    std::memcpy(buffer, m_kept.data() + m_position, size);
    m_position += size;
    const bool is_end = m_position == m_kept.size();
    return {size, is_end ? m_source_state : body_state::more};
}

void replayable_body::keep(const char* buffer, std::size_t size)
{
    if (!m_replayable) {
        return;
    }
    if (m_kept.size() + size > m_max_kept_bytes) {
        m_replayable = false;
        m_kept.clear();
        m_kept.shrink_to_fit();
        return;
    }
    m_kept.append(buffer, size);
    m_position = m_kept.size();
}

} // namespace galenaroad
