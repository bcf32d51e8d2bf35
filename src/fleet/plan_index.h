#pragma once

#include "fleet/routing_plan.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace galenaroad {

/// Finds the route of a request in one routing plan. Immutable.
class plan_index {
public:
    /// @param plan the plan.
    explicit plan_index(routing_plan plan);

    /// Finds the route with the longest prefix that the path starts with.
    /// @param host the host, with or without a port.
    /// @param target path and query.
    /// @return the route, or null.
    const route_rule* match(std::string_view host, std::string_view target) const;

    /// @return the plan.
    const routing_plan& plan() const { return m_plan; }

private:
    using routes_by_prefix = std::unordered_map<std::string_view, const route_rule*>;

    routing_plan m_plan;
    std::unordered_map<std::string, routes_by_prefix> m_hosts;
};

} // namespace galenaroad
