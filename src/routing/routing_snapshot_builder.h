#pragma once

#include "model/contract.h"
#include "model/instance.h"
#include "routing/routing_snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// Builds routing snapshots for one entry daemon and keeps the load records between them.
///
/// Used by the control thread only.
class routing_snapshot_builder {
public:
    /// Preference of an upstream between 0 and 1, or a negative number to leave it out.
    using preference_hook = std::function<double(const upstream&)>;

    /// @param own_name the name of this daemon's instance, which seeds the subsets.
    /// @param location where this daemon runs.
    routing_snapshot_builder(std::string own_name, data_centre location);

    /// Sets the steering hook.
    /// @param hook called once per upstream and build.
    /// @return this builder.
    routing_snapshot_builder& preference(preference_hook hook);

    /// Sets the greatest number of candidates per service.
    /// @param size the subset size.
    /// @return this builder.
    routing_snapshot_builder& subset_size(std::size_t size);

    /// Builds a snapshot.
    /// @param instances all known instances.
    /// @param contracts the contracts in force.
    /// @return the snapshot.
    std::shared_ptr<const routing_snapshot>
    build(const std::vector<instance>& instances,
          const std::vector<std::shared_ptr<const contract>>& contracts);

private:
    using service_map = std::map<service_id, service_candidates>;

    void add_upstreams(const instance& owner, service_map& services);
    void limit_to_subset(service_candidates& candidates) const;
    std::shared_ptr<upstream_load> load_of(const upstream_id& id);
    std::shared_ptr<const route_table>
    routes_of(const std::vector<std::shared_ptr<const contract>>& contracts);

    std::string m_own_name;
    data_centre m_location;
    preference_hook m_preference;
    // With 23 upstreams per service on average, most services are used whole; the bound keeps
    // connections per daemon independent of the size of the largest services.
    std::size_t m_subset_size = 32;
    std::map<upstream_id, std::shared_ptr<upstream_load>> m_loads;
    std::map<upstream_id, std::shared_ptr<upstream_load>> m_previous_loads;
    std::vector<std::shared_ptr<const contract>> m_indexed_contracts;
    std::shared_ptr<const route_table> m_routes;
};

} // namespace galenaroad
