#include "routing/routing_snapshot_builder.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace galenaroad {

namespace {

// A daemon that is suspected to be dead is used only when others are busy, since half of the calls
// to such daemons may be lost.
constexpr double suspect_preference = 0.05;

std::uint64_t subset_rank(const std::string& entry, const upstream_candidate& candidate)
{
    const auto& instance = candidate.owner->name;
    const auto& name = candidate.announced().name;
    const auto seed = XXH3_64bits(entry.data(), entry.size());
    const auto rank = XXH3_64bits_withSeed(instance.data(), instance.size(), seed);
    return XXH3_64bits_withSeed(name.data(), name.size(), rank);
}

bool is_same(const member& a, const member& b)
{
    return a.record == b.record && a.state == b.state;
}

} // namespace

routing_snapshot_builder::routing_snapshot_builder(std::string own_name, data_centre location)
    : m_own_name(std::move(own_name)),
      m_location(std::move(location)),
      m_routes(std::make_shared<route_table>(contract_list{}))
{
}

routing_snapshot_builder& routing_snapshot_builder::preference(preference_hook hook)
{
    m_preference = std::move(hook);
    return *this;
}

routing_snapshot_builder& routing_snapshot_builder::subset_size(std::size_t size)
{
    m_subset_size = size;
    return *this;
}

void routing_snapshot_builder::mark_changed(const service_id& service)
{
    m_changed.insert(service);
}

std::shared_ptr<const routing_snapshot>
routing_snapshot_builder::build(const membership_view& members, const contract_list& contracts)
{
    apply_member_changes(members);
    const bool has_new_routes = update_routes(contracts);
    if (m_current && m_changed.empty() && !has_new_routes) {
        return m_current;
    }
    auto services = m_current ? m_current->services() : routing_snapshot::service_map{};
    for (const auto& service : std::exchange(m_changed, {})) {
        auto candidates = build_service(service);
        if (candidates->upstreams.empty()) {
            services.erase(service);
            continue;
        }
        services[service] = std::move(candidates);
    }
    m_current = std::make_shared<routing_snapshot>(m_routes, std::move(services));
    return m_current;
}

// Both lists are sorted by name, so that one pass finds all differences.
void routing_snapshot_builder::apply_member_changes(const membership_view& members)
{
    auto previous = m_members.begin();
    for (const auto& current : members.members()) {
        while (previous != m_members.end() && previous->record->name < current.record->name) {
            remove_upstreams(*previous++);
        }
        const bool is_known =
            previous != m_members.end() && previous->record->name == current.record->name;
        if (is_known && is_same(*previous, current)) {
            ++previous;
            continue;
        }
        if (is_known) {
            remove_upstreams(*previous++);
        }
        add_upstreams(current);
    }
    for (; previous != m_members.end(); ++previous) {
        remove_upstreams(*previous);
    }
    m_members = members.members();
}

void routing_snapshot_builder::remove_upstreams(const member& owner)
{
    for (const auto& announced : owner.record->upstreams) {
        const auto found = m_references.find(*announced.service);
        if (found == m_references.end()) {
            continue;
        }
        auto& list = found->second;
        list.erase(std::remove_if(list.begin(), list.end(),
                                  [&](const auto& each) { return each.owner == owner.record; }),
                   list.end());
        m_changed.insert(found->first);
        if (list.empty()) {
            m_references.erase(found);
        }
    }
}

void routing_snapshot_builder::add_upstreams(const member& owner)
{
    if (!membership_view::accepts_requests(owner)) {
        return;
    }
    const bool is_suspect = owner.state == instance_state::suspect;
    const auto& upstreams = owner.record->upstreams;
    for (std::uint32_t index = 0; index < upstreams.size(); ++index) {
        if (upstreams[index].state == upstream_state::leaving) {
            continue;
        }
        const auto& service = *upstreams[index].service;
        m_references[service].push_back({owner.record, index, is_suspect});
        m_changed.insert(service);
    }
}

std::shared_ptr<const service_candidates>
routing_snapshot_builder::build_service(const service_id& service) const
{
    auto built = std::make_shared<service_candidates>();
    const auto found = m_references.find(service);
    if (found == m_references.end()) {
        return built;
    }
    auto& candidates = built->upstreams;
    candidates.reserve(found->second.size());
    for (const auto& reference : found->second) {
        const auto& name = reference.owner->upstreams[reference.index].name;
        const double preference =
            m_preference ? m_preference(service, {reference.owner->name, name}) : 1.0;
        if (preference >= 0) {
            candidates.push_back(make_candidate(reference, preference));
        }
    }
    order_by_distance(candidates);
    limit_to_subset(candidates);
    reuse_loads(service, candidates);
    candidates.shrink_to_fit();
    return built;
}

upstream_candidate routing_snapshot_builder::make_candidate(const upstream_reference& reference,
                                                            double preference) const
{
    upstream_candidate made;
    made.owner = reference.owner;
    made.index = reference.index;
    made.distance = distance_between(m_location, *reference.owner->location);
    made.preference = static_cast<float>(
        reference.is_suspect ? std::min(preference, suspect_preference) : preference);
    return made;
}

void routing_snapshot_builder::order_by_distance(std::vector<upstream_candidate>& candidates) const
{
    std::sort(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
        if (a.distance != b.distance) {
            return a.distance < b.distance;
        }
        return subset_rank(m_own_name, a) < subset_rank(m_own_name, b);
    });
}

void routing_snapshot_builder::limit_to_subset(std::vector<upstream_candidate>& candidates) const
{
    if (candidates.size() <= m_subset_size) {
        return;
    }
    // A quarter of the subset is outside the own data centre, so that candidates remain when the
    // data centre fails.
    const auto near_end = std::find_if(candidates.begin(), candidates.end(), [](const auto& entry) {
        return entry.distance != link_distance::same_data_centre;
    });
    const auto far_count = static_cast<std::size_t>(candidates.end() - near_end);
    const auto near_count = static_cast<std::size_t>(near_end - candidates.begin());
    const std::size_t far_reserve = std::min(far_count, m_subset_size / 4);
    const std::size_t near_limit = std::min(near_count, m_subset_size - far_reserve);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(near_limit), near_end);
    candidates.resize(std::min(candidates.size(), m_subset_size));
}

void routing_snapshot_builder::reuse_loads(const service_id& service,
                                           std::vector<upstream_candidate>& candidates) const
{
    const auto* const previous = m_current ? m_current->candidates(service) : nullptr;
    for (auto& candidate : candidates) {
        if (previous != nullptr) {
            const auto id = candidate.id();
            const auto found = std::find_if(previous->upstreams.begin(), previous->upstreams.end(),
                                            [&](const auto& each) { return each.is(id); });
            if (found != previous->upstreams.end()) {
                candidate.load = found->load;
                continue;
            }
        }
        candidate.load = std::make_shared<upstream_load>();
    }
}

bool routing_snapshot_builder::update_routes(const contract_list& contracts)
{
    if (contracts == m_contracts) {
        return false;
    }
    m_contracts = contracts;
    m_routes = std::make_shared<route_table>(contracts);
    return true;
}

} // namespace galenaroad
