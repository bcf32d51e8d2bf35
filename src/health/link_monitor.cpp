#include "health/link_monitor.h"

namespace galenaroad {

fault_attribution link_monitor::record(const upstream_id& upstream, link_event event,
                                       steady_time now)
{
    if (event == link_event::responded) {
        m_links.erase(upstream.instance);
        m_last_response[upstream.instance] = now;
        return fault_attribution::none;
    }
    link_record& link = m_links[upstream.instance];
    if (event == link_event::connection_failed) {
        link.failed = true;
        link.last_failure = now;
        return fault_attribution::link;
    }
    link.timed_out[upstream.name] = now;
    std::size_t recent = 0;
    for (const auto& [name, time] : link.timed_out) {
        recent += now - time <= correlation_time ? 1U : 0U;
    }
    if (recent > 1) {
        link.failed = true;
    }
    if (!link.failed) {
        return fault_attribution::upstream;
    }
    link.last_failure = now;
    return fault_attribution::link;
}

bool link_monitor::is_failed(const std::string& instance, steady_time now) const
{
    const auto found = m_links.find(instance);
    return found != m_links.end() && found->second.failed &&
           now - found->second.last_failure <= failure_lifetime;
}

bool link_monitor::has_responded_since(const std::string& instance, steady_time since) const
{
    const auto found = m_last_response.find(instance);
    return found != m_last_response.end() && found->second >= since;
}

void link_monitor::forget(const std::string& instance)
{
    m_last_response.erase(instance);
    m_links.erase(instance);
}

} // namespace galenaroad
