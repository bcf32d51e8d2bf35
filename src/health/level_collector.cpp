#include "health/level_collector.h"

namespace galenaroad {

void level_collector::receive(const upstream_id& id, const std::vector<reported_level>& levels,
                              steady_time now)
{
    m_levels[id] = {levels, now};
    for (auto each = m_levels.begin(); each != m_levels.end();) {
        each = now - each->second.at >= level_lifetime ? m_levels.erase(each) : std::next(each);
    }
}

std::vector<class_reference> level_collector::references_for(const upstream_id& id,
                                                             steady_time now) const
{
    std::map<request_class, std::vector<class_level>> peers;
    for (const auto& [other, held] : m_levels) {
        if (other == id || now - held.at >= level_lifetime) {
            continue;
        }
        for (const auto& reported : held.levels) {
            peers[reported.work].push_back(reported.level);
        }
    }
    std::vector<class_reference> references;
    for (const auto& [work, levels] : peers) {
        if (const auto reference = reference_from(levels)) {
            references.push_back({work, *reference});
        }
    }
    return references;
}

} // namespace galenaroad
