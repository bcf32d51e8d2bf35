#pragma once

#include "membership/member_record.h"
#include "model/instance.h"
#include "routing/route_table.h"
#include "routing/upstream_load.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenaroad {

/// An upstream that a request can be sent to, as one entry daemon sees it.
struct upstream_candidate {
    std::shared_ptr<const member_record> owner; ///< The owner: the daemon beside the upstream.
    std::uint32_t index = 0;                    ///< Position of the upstream in the record.
    /// Preference weight from 0 to 1. It is lowered for suspect and unhealthy upstreams, but never
    /// excludes a candidate.
    float preference = 1.0F;
    link_distance distance = link_distance::same_data_centre;
    std::shared_ptr<upstream_load> load; ///< Shared with earlier and later snapshots.

    /// @return the announced upstream.
    const member_upstream& announced() const { return owner->upstreams[index]; }

    /// @return the id of the upstream, unique in the fleet.
    upstream_id id() const { return {owner->name, announced().name}; }

    /// @param other the id of an upstream.
    /// @return whether this is that upstream.
    bool is(const upstream_id& other) const
    {
        return owner->name == other.instance && announced().name == other.name;
    }

    /// @return the peer address of the owner.
    const std::string& peer_address() const { return owner->peer_address; }

    /// @return the incarnation of the owner.
    std::uint64_t owner_incarnation() const { return owner->incarnation; }

    /// @return the number of requests that the upstream can run at the same time.
    int slots() const { return announced().slots; }
};

/// Candidates of one service, nearest first.
struct service_candidates {
    std::vector<upstream_candidate> upstreams;
};

/// Immutable snapshot of routes and upstreams, which traffic threads read without locks.
class routing_snapshot {
public:
    using service_map = std::map<service_id, std::shared_ptr<const service_candidates>>;

    routing_snapshot(std::shared_ptr<const route_table> routes, service_map services)
        : m_routes(std::move(routes)), m_services(std::move(services))
    {
    }

    /// @return the routes in force.
    const route_table& routes() const { return *m_routes; }

    /// Finds the candidates of a service.
    /// @param service the service.
    /// @return the candidates, or null for a service without candidates.
    const service_candidates* candidates(const service_id& service) const
    {
        const auto found = m_services.find(service);
        return found == m_services.end() ? nullptr : found->second.get();
    }

    /// @return all services with their candidates.
    const service_map& services() const { return m_services; }

private:
    std::shared_ptr<const route_table> m_routes;
    service_map m_services;
};

} // namespace galenaroad
