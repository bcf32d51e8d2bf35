#include "health/link_monitor.h"

namespace galenaroad {

fault_attribution link_monitor::record(const upstream_id& upstream, link_event event,
                                       steady_time now)
{
    if (event == link_event::answered) {
        m_links.erase(upstream.instance);
        m_answered[upstream.instance] = now;
        return fault_attribution::none;
    }
    link_record& link = m_links[upstream.instance];
    if (event == link_event::connection_failed) {
        link.marked = true;
        link.last_failure = now;
        return fault_attribution::link;
    }
    link.timed_out[upstream.name] = now;
    std::size_t recent = 0;
    for (const auto& [name, time] : link.timed_out) {
        recent += now - time <= correlation_time ? 1U : 0U;
    }
    if (recent > 1) {
        link.marked = true;
    }
    if (!link.marked) {
        return fault_attribution::upstream;
    }
    link.last_failure = now;
    return fault_attribution::link;
}

bool link_monitor::is_marked(const std::string& instance, steady_time now) const
{
    const auto found = m_links.find(instance);
    return found != m_links.end() && found->second.marked &&
           now - found->second.last_failure <= mark_lifetime;
}

bool link_monitor::has_answered_since(const std::string& instance, steady_time since) const
{
    const auto found = m_answered.find(instance);
    return found != m_answered.end() && found->second >= since;
}

void link_monitor::depart(const std::string& instance)
{
    m_answered.erase(instance);
    m_links.erase(instance);
}

} // namespace galenaroad
