#include "health/ejection_view.h"

#include <algorithm>

namespace galenaroad {

namespace {

// By this time after a pause, the messages that waited in the socket have been read.
constexpr std::chrono::seconds refusal_after_pause{1};

} // namespace

bool ejection_view::receive(const aged_row& received, steady_time now)
{
    if (m_refuse_until && now < *m_refuse_until) {
        return false;
    }
    known_row& known = m_rows[received.row.service];
    if (received.row.sequence < known.row.sequence) {
        return false;
    }
    const bool is_newer = received.row.sequence > known.row.sequence;
    std::map<upstream_id, known_grant> grants;
    for (const ejection_entry& entry : received.row.entries) {
        grants[entry.upstream] = grant_for(known, entry, received.age, now);
    }
    known.row = received.row;
    known.grants = std::move(grants);
    return is_newer;
}

// The end of a grant is fixed when the grant is first received. Later copies of the row, which may
// have been delayed or gossiped back, never extend it.
ejection_view::known_grant ejection_view::grant_for(const known_row& known,
                                                    const ejection_entry& entry,
                                                    std::chrono::milliseconds age, steady_time now)
{
    const auto found = known.grants.find(entry.upstream);
    if (found != known.grants.end() && found->second.grant_id == entry.grant_id &&
        found->second.end_is_known) {
        return found->second;
    }
    known_grant learned;
    learned.grant_id = entry.grant_id;
    learned.end_is_known = entry.remaining > age;
    learned.end = learned.end_is_known ? now + (entry.remaining - age) : now;
    return learned;
}

void ejection_view::on_control_loop_run(steady_time now)
{
    if (m_last_loop_run && now - *m_last_loop_run > max_pause) {
        m_refuse_until = now + refusal_after_pause;
    }
    m_last_loop_run = now;
}

std::map<upstream_id, upstream_eligibility>
ejection_view::eligibilities(const service_capacity& capacity, steady_time now) const
{
    std::map<upstream_id, upstream_eligibility> eligibilities;
    for (const capacity_member& member : capacity.members) {
        eligibilities[member.upstream] = upstream_eligibility::in_service;
    }
    const auto found = m_rows.find(capacity.service);
    if (found == m_rows.end()) {
        return eligibilities;
    }
    int live_slots = 0;
    for (const capacity_member& member : capacity.members) {
        const ejection_entry* entry = found->second.row.find(member.upstream);
        if (entry != nullptr && is_in_force(found->second, *entry, member, now)) {
            eligibilities[member.upstream] = upstream_eligibility::excluded;
        }
        else {
            live_slots += member.slots;
        }
    }
    if (live_slots >= capacity.floor_slots) {
        return eligibilities;
    }
    for (auto& [upstream, eligibility] : eligibilities) {
        if (eligibility == upstream_eligibility::excluded &&
            found->second.row.find(upstream)->kind == removal_kind::ejected) {
            eligibility = upstream_eligibility::least_preferred;
        }
    }
    return eligibilities;
}

bool ejection_view::has_drains(const service_id& service) const
{
    const auto found = m_rows.find(service);
    if (found == m_rows.end()) {
        return false;
    }
    const auto& entries = found->second.row.entries;
    return std::any_of(entries.begin(), entries.end(),
                       [](const auto& entry) { return entry.kind == removal_kind::drained; });
}

std::optional<aged_row> ejection_view::current_row(const service_id& service, steady_time now) const
{
    const auto found = m_rows.find(service);
    if (found == m_rows.end()) {
        return std::nullopt;
    }
    aged_row present{found->second.row, std::chrono::milliseconds(0)};
    for (ejection_entry& entry : present.row.entries) {
        const known_grant& grant = found->second.grants.at(entry.upstream);
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(grant.end - now);
        entry.remaining = std::max(left, std::chrono::milliseconds(0));
    }
    return present;
}

bool ejection_view::is_in_force(const known_row& known, const ejection_entry& entry,
                                const capacity_member& member, steady_time now)
{
    return entry.kind != removal_kind::released && entry.incarnation == member.incarnation &&
           known.grants.at(entry.upstream).end > now;
}

} // namespace galenaroad
