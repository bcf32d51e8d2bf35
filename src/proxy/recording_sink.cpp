#include "proxy/recording_sink.h"

#include "action/action_gate.h"

#include <algorithm>

namespace galenaroad {

recording_sink::recording_sink(answer_sink& next) : m_next(next) {}

bool recording_sink::begin(const answer_head& head)
{
    m_copy.status = head.status;
    for (const auto& field : head.headers) {
        m_copy.headers.push_back({field.name, field.value});
    }
    m_held_head = head;
    return true;
}

bool recording_sink::write(std::string_view bytes)
{
    const auto limit = action_gate::max_recorded_body_bytes + 1;
    const auto room = limit - std::min(limit, m_copy.body.size());
    m_copy.body.append(bytes.substr(0, room));
    flush();
    m_held_bytes = bytes;
    return true;
}

void recording_sink::flush()
{
    if (m_held_head) {
        m_receiver_gone = !m_next.begin(*m_held_head);
        m_held_head.reset();
    }
    if (!m_held_bytes.empty() && !m_receiver_gone) {
        m_receiver_gone = !m_next.write(m_held_bytes);
    }
    m_held_bytes.clear();
}

} // namespace galenaroad
