#pragma once

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
    upstream_id id;
    std::string peer_address; ///< Address of the owner's daemon.
    std::uint64_t owner_incarnation = 0;
    int slots = 0;
    link_distance distance = link_distance::same_data_centre;
    /// Preference from 0 to 1. Steering lowers it; it never excludes a candidate.
    double preference = 1.0;
    std::shared_ptr<upstream_load> load;
};

/// Candidates of one service, nearest first.
struct service_candidates {
    std::vector<upstream_candidate> upstreams;
};

/// Immutable view of routes and upstreams that traffic threads read without locks.
class routing_snapshot {
public:
    routing_snapshot(std::shared_ptr<const route_table> routes,
                     std::map<service_id, service_candidates> services)
        : m_routes(std::move(routes)), m_services(std::move(services))
    {
    }

    /// @return the routes in force.
    const route_table& routes() const { return *m_routes; }

    /// Finds the candidates of a service.
    /// @param service the service.
    /// @return the candidates, or null when none is known.
    const service_candidates* candidates(const service_id& service) const
    {
        const auto found = m_services.find(service);
        return found == m_services.end() ? nullptr : &found->second;
    }

    /// @return all services with their candidates.
    const std::map<service_id, service_candidates>& services() const { return m_services; }

private:
    std::shared_ptr<const route_table> m_routes;
    std::map<service_id, service_candidates> m_services;
};

} // namespace galenaroad
