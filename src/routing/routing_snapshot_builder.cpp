#include "routing/routing_snapshot_builder.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace galenaroad {

namespace {

bool accepts_work(const instance& owner)
{
    return owner.state == instance_state::alive || owner.state == instance_state::suspect;
}

// A suspected daemon is used only when others are busy, since half of its calls may be lost.
constexpr double suspect_preference = 0.05;

std::uint64_t subset_rank(const std::string& entry, const upstream_id& id)
{
    const auto seed = XXH3_64bits(entry.data(), entry.size());
    const auto instance = XXH3_64bits_withSeed(id.instance.data(), id.instance.size(), seed);
    return XXH3_64bits_withSeed(id.name.data(), id.name.size(), instance);
}

} // namespace

routing_snapshot_builder::routing_snapshot_builder(std::string own_name, data_centre location)
    : m_own_name(std::move(own_name)), m_location(std::move(location))
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

std::shared_ptr<const routing_snapshot>
routing_snapshot_builder::build(const std::vector<instance>& instances,
                                const std::vector<std::shared_ptr<const contract>>& contracts)
{
    m_previous_loads = std::exchange(m_loads, {});
    service_map services;
    for (const auto& owner : instances) {
        if (accepts_work(owner)) {
            add_upstreams(owner, services);
        }
    }
    for (auto& entry : services) {
        limit_to_subset(entry.second);
    }
    m_previous_loads.clear();
    return std::make_shared<routing_snapshot>(routes_of(contracts), std::move(services));
}

void routing_snapshot_builder::add_upstreams(const instance& owner, service_map& services)
{
    for (const auto& announced : owner.upstreams) {
        if (announced.state == upstream_state::leaving) {
            continue;
        }
        double preference = m_preference ? m_preference(announced) : 1.0;
        if (preference < 0) {
            continue;
        }
        if (owner.state == instance_state::suspect) {
            preference = std::min(preference, suspect_preference);
        }
        upstream_candidate candidate;
        candidate.id = announced.id;
        candidate.peer_address = owner.peer_address;
        candidate.owner_incarnation = owner.incarnation;
        candidate.slots = announced.slots;
        candidate.distance = distance_between(m_location, owner.location);
        candidate.preference = preference;
        candidate.load = load_of(announced.id);
        services[announced.service].upstreams.push_back(std::move(candidate));
    }
}

void routing_snapshot_builder::limit_to_subset(service_candidates& candidates) const
{
    auto& list = candidates.upstreams;
    std::sort(list.begin(), list.end(), [&](const auto& a, const auto& b) {
        if (a.distance != b.distance) {
            return a.distance < b.distance;
        }
        return subset_rank(m_own_name, a.id) < subset_rank(m_own_name, b.id);
    });
    if (list.size() <= m_subset_size) {
        return;
    }
    // A quarter of the subset stays outside the own data centre, so that its loss leaves a choice.
    const auto near_end = std::find_if(list.begin(), list.end(), [](const auto& entry) {
        return entry.distance != link_distance::same_data_centre;
    });
    const auto near_count = static_cast<std::size_t>(near_end - list.begin());
    const std::size_t near_limit = std::min(near_count, m_subset_size - m_subset_size / 4);
    list.erase(list.begin() + static_cast<std::ptrdiff_t>(near_limit), near_end);
    if (list.size() > m_subset_size) {
        list.resize(m_subset_size);
    }
}

std::shared_ptr<upstream_load> routing_snapshot_builder::load_of(const upstream_id& id)
{
    auto& kept = m_loads[id];
    if (kept) {
        return kept;
    }
    const auto previous = m_previous_loads.find(id);
    kept =
        previous == m_previous_loads.end() ? std::make_shared<upstream_load>() : previous->second;
    return kept;
}

std::shared_ptr<const route_table>
routing_snapshot_builder::routes_of(const std::vector<std::shared_ptr<const contract>>& contracts)
{
    if (!m_routes || contracts != m_indexed_contracts) {
        m_indexed_contracts = contracts;
        m_routes = std::make_shared<route_table>(contracts);
    }
    return m_routes;
}

} // namespace galenaroad
