#include "health/service_evaluation.h"

#include <algorithm>

namespace galenaroad {

namespace {

bool contains(const std::vector<upstream_id>& list, const upstream_id& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

} // namespace

std::vector<ejection_command>
service_evaluation::decide(const service_capacity& capacity,
                           const std::vector<ejection_candidate>& candidates, bool has_drains,
                           steady_time now)
{
    std::vector<ejection_command> commands;
    for (const auto& candidate : candidates) {
        if (!contains(m_ejected, candidate.upstream) && may_propose(candidate.upstream, now)) {
            commands.push_back({ejection_command_kind::propose,
                                capacity,
                                candidate.upstream,
                                candidate.reason,
                                {}});
        }
    }
    release_recovered(capacity, candidates, commands);
    if ((has_drains || !m_ejected.empty()) && now - m_last_renewal >= renewal_interval) {
        m_last_renewal = now;
        commands.push_back({ejection_command_kind::renew, capacity, {}, {}, m_ejected});
    }
    return commands;
}

void service_evaluation::on_granted(const upstream_id& upstream, steady_time now)
{
    if (!contains(m_ejected, upstream)) {
        m_ejected.push_back(upstream);
    }
    m_last_renewal = now;
}

bool service_evaluation::may_propose(const upstream_id& upstream, steady_time now)
{
    const auto last = m_last_proposals.find(upstream);
    if (last != m_last_proposals.end() && now - last->second < proposal_interval) {
        return false;
    }
    m_last_proposals[upstream] = now;
    return true;
}

void service_evaluation::release_recovered(const service_capacity& capacity,
                                           const std::vector<ejection_candidate>& candidates,
                                           std::vector<ejection_command>& commands)
{
    std::vector<upstream_id> kept;
    for (const auto& id : m_ejected) {
        const bool is_candidate =
            std::any_of(candidates.begin(), candidates.end(),
                        [&](const auto& candidate) { return candidate.upstream == id; });
        if (is_candidate) {
            kept.push_back(id);
            continue;
        }
        commands.push_back({ejection_command_kind::release, capacity, id, {}, {}});
    }
    m_ejected = std::move(kept);
}

} // namespace galenaroad
