#pragma once

#include "fleet/routing_plan.h"

#include <map>
#include <string>
#include <vector>

namespace galenaroad {

/// Splits the requests of a route among its target services by weight.
///
/// Uses smooth weighted round robin, so that the shares are also accurate over few requests;
/// independent random choices would deviate.
class split_selector {
public:
    /// Chooses the service for the next request of a route.
    /// @param rule the route; must have at least one target.
    /// @return the service.
    const std::string& choose(const route_rule& rule);

private:
    struct split_state {
        std::vector<weighted_service> targets;
        std::vector<double> credit;
    };

    static bool has_same_targets(const split_state& state, const route_rule& rule);

    std::map<std::string, split_state> m_states;
};

} // namespace galenaroad
