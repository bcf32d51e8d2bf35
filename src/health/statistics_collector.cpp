#include "health/statistics_collector.h"

namespace galenaroad {

void statistics_collector::receive(const upstream_id& id,
                                   const std::vector<reported_statistics>& statistics,
                                   steady_time now)
{
    m_statistics[id] = {statistics, now};
    for (auto each = m_statistics.begin(); each != m_statistics.end();) {
        each = now - each->second.received_at >= statistics_lifetime ? m_statistics.erase(each)
                                                                     : std::next(each);
    }
}

std::vector<class_reference> statistics_collector::references_for(const upstream_id& id,
                                                                  steady_time now) const
{
    std::map<request_class, std::vector<class_statistics>> peers;
    for (const auto& [other, received] : m_statistics) {
        if (other == id || now - received.received_at >= statistics_lifetime) {
            continue;
        }
        for (const auto& reported : received.statistics) {
            peers[reported.work].push_back(reported.statistics);
        }
    }
    std::vector<class_reference> references;
    for (const auto& [work, statistics] : peers) {
        if (const auto reference = reference_from(statistics)) {
            references.push_back({work, *reference});
        }
    }
    return references;
}

} // namespace galenaroad
