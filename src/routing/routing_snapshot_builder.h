#pragma once

#include "membership/membership_view.h"
#include "model/contract.h"
#include "routing/routing_snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace galenaroad {

/// Builds routing snapshots for one entry daemon.
///
/// Only services whose upstreams or preferences have changed are rebuilt; all others share their
/// candidates with the previous snapshot. Not thread-safe; used by the control thread.
class routing_snapshot_builder {
public:
    /// Returns the preference weight of an upstream, from 0 to 1, or a negative number to exclude
    /// it.
    using preference_hook = std::function<double(const service_id&, const upstream_id&)>;
    using contract_list = std::vector<std::shared_ptr<const contract>>;

    /// @param own_name the name of this daemon's instance, from which its subsets are derived.
    /// @param location where this daemon runs.
    routing_snapshot_builder(std::string own_name, data_centre location);

    /// Sets the function that supplies the preference weights. Without it, all are 1.
    /// @param hook called once per upstream of each service that is rebuilt.
    /// @return this builder.
    routing_snapshot_builder& preference(preference_hook hook);

    /// Sets the maximum number of candidates per service.
    /// @param size the subset size.
    /// @return this builder.
    routing_snapshot_builder& subset_size(std::size_t size);

    /// Marks a service for rebuilding, because preferences of its upstreams have changed.
    /// @param service the service.
    void mark_changed(const service_id& service);

    /// Builds a snapshot.
    /// @param members the members of the fleet.
    /// @param contracts the contracts in force.
    /// @return the snapshot; the previous one when nothing has changed.
    std::shared_ptr<const routing_snapshot> build(const membership_view& members,
                                                  const contract_list& contracts);

private:
    struct upstream_reference {
        std::shared_ptr<const member_record> owner;
        std::uint32_t index = 0;
        bool is_suspect = false;
    };
    using reference_list = std::vector<upstream_reference>;

    void apply_member_changes(const membership_view& members);
    void remove_upstreams(const member& owner);
    void add_upstreams(const member& owner);
    std::shared_ptr<const service_candidates> build_service(const service_id& service) const;
    upstream_candidate make_candidate(const upstream_reference& reference, double preference) const;
    void order_by_distance(std::vector<upstream_candidate>& candidates) const;
    void limit_to_subset(std::vector<upstream_candidate>& candidates) const;
    void reuse_loads(const service_id& service, std::vector<upstream_candidate>& candidates) const;
    bool update_routes(const contract_list& contracts);

    std::string m_own_name;
    data_centre m_location;
    preference_hook m_preference;
    // With 23 upstreams per service on average, most services need no subset. The limit keeps the
    // number of connections per daemon independent of the size of the largest services.
    std::size_t m_subset_size = 32;
    std::vector<member> m_members;
    std::map<service_id, reference_list> m_references;
    std::set<service_id> m_changed;
    contract_list m_contracts;
    std::shared_ptr<const route_table> m_routes;
    std::shared_ptr<const routing_snapshot> m_current;
};

} // namespace galenaroad
